"""Runs that wait for a slot of the target, in order of priority."""

import heapq
from collections.abc import Callable
from typing import NamedTuple

from dandelioncleat.core.run import Run, RunState


class _Entry(NamedTuple):
    priority: int
    number: int
    run: Run


class RunQueue:
    """Priority queue of runs that have not started.

    A run that was sealed while it waited is dropped when it is reached.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._entries: list[_Entry] = []
        self._pushed = 0

    def __len__(self) -> int:
        """Return the number of runs that wait."""
        return sum(
            entry.run.state is RunState.DISPATCHED for entry in self._entries
        )

    def push(self, run: Run) -> None:
        """Add a run behind those of its priority."""
        self._pushed += 1
        entry = _Entry(run.dispatch.priority, self._pushed, run)
        heapq.heappush(self._entries, entry)

    def pop(self, may_start: Callable[[Run], bool]) -> Run | None:
        """Remove and return the first run that may start."""
        skipped: list[_Entry] = []
        found = None
        while self._entries and found is None:
            entry = heapq.heappop(self._entries)
            if entry.run.state is not RunState.DISPATCHED:
                continue
            if may_start(entry.run):
                found = entry.run
            else:
                skipped.append(entry)
        for entry in skipped:
            heapq.heappush(self._entries, entry)
        return found
