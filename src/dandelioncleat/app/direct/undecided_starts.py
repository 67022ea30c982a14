"""Keeps the starts of targets that may have crashed, until that is known."""

from collections.abc import Iterable

from dandelioncleat.app.direct.lost_runs import LostRuns
from dandelioncleat.core.crash_suspect import CrashSuspect


class UndecidedStarts:
    """What each start that may have crashed has lost."""

    def __init__(self) -> None:
        """Start without a loss."""
        self._lost_by_start: dict[str, LostRuns] = {}
        self._starts_by_target: dict[str, str] = {}

    def __bool__(self) -> bool:
        """Return whether any target may have crashed."""
        return bool(self._lost_by_start)

    def get(self, start: str) -> LostRuns | None:
        """Return what a start has lost, ``None`` if that is decided."""
        return self._lost_by_start.get(start)

    def of_target(self, target: str) -> LostRuns | None:
        """Return what the last such start of a target has lost."""
        return self.get(self._starts_by_target.get(target, ''))

    def add(self, lost: LostRuns) -> None:
        """Add a start."""
        start = lost.target.start
        self._lost_by_start[start] = lost
        self._starts_by_target[lost.target.id] = start

    def forget(self, lost: LostRuns) -> None:
        """Drop a start that is decided."""
        start = lost.target.start
        self._lost_by_start.pop(start, None)
        if self._starts_by_target.get(lost.target.id) == start:
            self._starts_by_target.pop(lost.target.id)

    def note_sound(self, suspects: Iterable[CrashSuspect]) -> None:
        """Note suspects that have run to a good end."""
        keys = [each.key for each in suspects]
        for lost in self._lost_by_start.values():
            lost.note_sound(keys)

    def may_have_crashed(self, suspect: CrashSuspect) -> bool:
        """Return whether a loss may be a crash under a suspect."""
        return any(lost.holds(suspect) for lost in self._lost_by_start.values())
