"""What a request holds that may crash the targets that run it.

The request as a whole is a suspect, as it comes again with a new id, and so is
each part of its prompt but the last, which belongs to the request alone.
"""

from typing import NamedTuple

from xxhash import xxh64_hexdigest

from dandelioncleat.core.direct_request import DirectRequest, ModelPrompt

# A whole request is more specific than any part of its prompt.
REQUEST_DEPTH = 1_000_000
# Bounds what one interrupted run adds to the store.
MAX_PARTS = 32


class CrashSuspect(NamedTuple):
    """A request or a prompt part that may crash targets.

    ``key`` is equal for repeats of the request and for equal parts. ``depth``
    is the place of a part in its prompt, or ``REQUEST_DEPTH``. It tells how
    specific the suspect is, as few prompts share a late part.
    """

    key: str
    depth: int

    @property
    def is_request(self) -> bool:
        """Return whether the suspect is a whole request."""
        return self.depth == REQUEST_DEPTH


def request_suspect(request: DirectRequest) -> CrashSuspect:
    """Return a whole request as a suspect."""
    return CrashSuspect(request.digest, REQUEST_DEPTH)


def part_suspects(prompt: ModelPrompt | None) -> tuple[CrashSuspect, ...]:
    """Return the parts of a prompt that other prompts may share."""
    if prompt is None:
        return ()
    shared = tuple(enumerate(prompt.parts[:-1]))
    return tuple(
        CrashSuspect(f'p{xxh64_hexdigest(part.id.encode())}', depth)
        for depth, part in shared[-MAX_PARTS:]
    )


def suspects_of(request: DirectRequest) -> tuple[CrashSuspect, ...]:
    """Return all suspects of a request."""
    return (request_suspect(request), *part_suspects(request.prompt))
