"""Remembers when suspects of crashes have succeeded."""

from collections import OrderedDict
from collections.abc import Iterable

from dandelioncleat.core.crash_suspect import CrashSuspect

# What crashes targets never succeeds; what has just succeeded ran beside the
# cause. It may begin to crash them later.
SOUND_S = 2.0
MAX_PARTS = 20_000
# Most requests come only once.
MAX_REQUESTS = 4_000


class RecentSuccesses:
    """Keeps when each suspect succeeded last, for a bounded number."""

    def __init__(self) -> None:
        """Start without a success."""
        self._at_by_part: OrderedDict[str, float] = OrderedDict()
        self._at_by_request: OrderedDict[str, float] = OrderedDict()

    def note(self, suspects: Iterable[CrashSuspect], now: float) -> None:
        """Note a success.

        :param now: event loop time in seconds
        """
        for suspect in suspects:
            at_by_key = self._at_by_part
            if suspect.is_request:
                at_by_key = self._at_by_request
            at_by_key[suspect.key] = now
            at_by_key.move_to_end(suspect.key)
        _drop_oldest(self._at_by_part, MAX_PARTS)
        _drop_oldest(self._at_by_request, MAX_REQUESTS)

    def has(self, suspect: CrashSuspect, now: float) -> bool:
        """Return whether a suspect has just succeeded."""
        at = self._at(suspect.key)
        return at is not None and now - at < SOUND_S

    def knows(self, suspect: str) -> bool:
        """Return whether the suspect of a key has succeeded before."""
        return self._at(suspect) is not None

    def _at(self, key: str) -> float | None:
        return self._at_by_part.get(key, self._at_by_request.get(key))


def _drop_oldest(at_by_key: OrderedDict[str, float], most: int) -> None:
    while len(at_by_key) > most:
        at_by_key.popitem(last=False)
