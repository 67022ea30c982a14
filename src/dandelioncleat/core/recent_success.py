"""Remembers when suspects of crashes have succeeded."""

from collections import OrderedDict
from collections.abc import Iterable

from dandelioncleat.core.crash_suspect import CrashSuspect

# A part that crashes targets never succeeds; one that has just succeeded ran
# beside the cause. It may begin to crash them later.
SOUND_S = 2.0
MAX_REMEMBERED = 20_000


class RecentSuccesses:
    """Keeps when each suspect succeeded last, for a bounded number."""

    def __init__(self) -> None:
        """Start without a success."""
        self._at_by_key: OrderedDict[str, float] = OrderedDict()

    def note(self, suspects: Iterable[CrashSuspect], now: float) -> None:
        """Note a success.

        :param now: event loop time in seconds
        """
        for suspect in suspects:
            self._at_by_key[suspect.key] = now
            self._at_by_key.move_to_end(suspect.key)
        while len(self._at_by_key) > MAX_REMEMBERED:
            self._at_by_key.popitem(last=False)

    def has(self, suspect: CrashSuspect, now: float) -> bool:
        """Return whether a suspect has just succeeded."""
        at = self._at_by_key.get(suspect.key)
        return at is not None and now - at < SOUND_S

    def knows(self, suspect: str) -> bool:
        """Return whether the suspect of a key has succeeded before."""
        return suspect in self._at_by_key
