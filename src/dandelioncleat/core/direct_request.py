"""A caller's request as the direct router sees it, and its answer."""

from enum import StrEnum
from typing import NamedTuple

from xxhash import xxh64_hexdigest

Headers = tuple[tuple[str, str], ...]


class PromptPart(NamedTuple):
    """A part of a prompt, which requests with the same ``id`` share."""

    id: str
    tokens: int


class ModelPrompt(NamedTuple):
    """What a request says of its prompt.

    ``output_tokens`` is the most that may be generated.
    """

    model: str
    input_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def max_total_tokens(self) -> int:
        """Return the tokens that the request takes at its most."""
        return self.input_tokens + self.output_tokens


class DirectRequest(NamedTuple):
    """One attempt of a caller.

    ``path`` includes the query. ``headers`` are those that are passed on as
    they are. ``is_forwarded`` says that another router sent the request.
    ``wait_s`` is how long the caller waits, if it says so;
    ``resume_after`` the last event that a resuming caller has.
    """

    id: str
    method: str
    host: str
    path: str
    headers: Headers
    body: bytes
    key: str | None = None
    wait_s: float | None = None
    prompt: ModelPrompt | None = None
    resume_after: str | None = None
    is_forwarded: bool = False

    @property
    def digest(self) -> str:
        """Return what stays the same when a caller sends it again."""
        parts = (self.path.encode(), (self.key or '').encode(), self.body)
        return xxh64_hexdigest(b'\0'.join(parts))


class RefusalReason(StrEnum):
    """Why a request is not answered with a target's answer."""

    NO_CONFIGURATION = 'no_configuration'
    NO_ROUTE = 'no_route'
    BAD_KEY = 'bad_key'
    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    PREPAID_SPENT = 'prepaid_spent'
    NO_TOKENS_HERE = 'no_tokens_here'
    NO_TARGET = 'no_target'
    NO_ROOM = 'no_room'
    NOT_IN_TIME = 'not_in_time'
    ANSWER_LOST = 'answer_lost'
    STOPPING = 'stopping'


class DirectRefusal(NamedTuple):
    """Ends a request that got no target's answer.

    ``has_run`` is false only if no target runs it, now or later.
    """

    reason: RefusalReason
    has_run: bool = False
    retry_after_s: float | None = None


class ResponseHead(NamedTuple):
    """The status and headers of a target's answer."""

    status: int
    reason: str
    headers: Headers


class CompleteResponse(NamedTuple):
    """A target's answer that is complete."""

    head: ResponseHead
    body: bytes
