"""Counts, by digest, the requests that were running when targets crashed."""

from typing import Any, NamedTuple, TypeVar

from dandelioncleat.core.identity import Digest
from dandelioncleat.core.record import Crash

KeyT = TypeVar('KeyT')

MAX_CRASHES = 4096
MAX_DIGESTS = 16384


class QuarantineState(NamedTuple):
    """The state in encodable form, oldest entries first."""

    crashes: tuple[str, ...] = ()
    counts: tuple[tuple[Digest, int], ...] = ()


class Quarantine:
    """Counts the crashes at which each digest was running.

    The memory is bounded; the digests with the oldest last crash are evicted
    first, which is deterministic: equal streams give equal counts.
    """

    def __init__(self, state: QuarantineState | None = None) -> None:
        """Start empty, or from a state that ``snapshot`` returned."""
        self._crashes: dict[str, None] = {}
        self._count_by_digest: dict[Digest, int] = {}
        self.restore(state or QuarantineState())

    def record(self, crash: Crash) -> bool:
        """Count a crash once; return whether it was new."""
        if crash.crash in self._crashes:
            return False
        self._crashes[crash.crash] = None
        for digest in dict.fromkeys(crash.digests):
            count = self._count_by_digest.pop(digest, 0)
            self._count_by_digest[digest] = count + 1
        _forget_oldest(self._crashes, MAX_CRASHES)
        _forget_oldest(self._count_by_digest, MAX_DIGESTS)
        return True

    def absolve(self, digest: Digest) -> bool:
        """Clear the count of a digest; return whether there was one."""
        return self._count_by_digest.pop(digest, 0) > 0

    def crashes(self, digest: Digest) -> int:
        """Return the number of crashes at which a digest was running."""
        return self._count_by_digest.get(digest, 0)

    def is_poison(self, digest: Digest, limit: int) -> bool:
        """Return whether the crashes of a digest reach the limit."""
        return self.crashes(digest) >= limit

    def snapshot(self) -> QuarantineState:
        """Return the whole state for a checkpoint."""
        return QuarantineState(
            tuple(self._crashes),
            tuple(self._count_by_digest.items()),
        )

    def restore(self, state: QuarantineState) -> None:
        """Replace the state with that of a checkpoint."""
        self._crashes = dict.fromkeys(state.crashes)
        self._count_by_digest = dict(state.counts)


def _forget_oldest(entries: dict[KeyT, Any], limit: int) -> None:
    while len(entries) > limit:
        entries.pop(next(iter(entries)))
