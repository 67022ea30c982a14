"""Takes whole answers for successes once their targets have outlived them.

A target may crash under a request just after it has sent the whole answer.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from dandelioncleat.app.direct.lost_runs import (
    EndedRun,
    LostRuns,
    WatchedRun,
    ended_run,
)
from dandelioncleat.app.direct.undecided_starts import UndecidedStarts
from dandelioncleat.core.deployment import TargetEntry

# A crash later than this after a whole answer is not blamed on it.
OUTLIVED_S = 0.15
MAX_CRASHED_STARTS = 1000


class _Latest(NamedTuple):
    """The whole answers that a start of a target has yet to outlive."""

    target: TargetEntry
    runs: list[EndedRun]


class DeliveredRuns:
    """Keeps the latest whole answers of each start of a target.

    The bodies of their requests are not kept.
    """

    def __init__(
        self,
        undecided: UndecidedStarts,
        *,
        on_sound: Callable[[EndedRun], None],
    ) -> None:
        """Start without an answer.

        :param undecided: the starts that may have crashed
        :param on_sound: called with each run that has succeeded
        """
        self._undecided = undecided
        self._on_sound = on_sound
        self._latest_by_start: dict[str, _Latest] = {}
        self._crashed_starts: OrderedDict[str, None] = OrderedDict()

    def add(self, run: WatchedRun, target: TargetEntry) -> None:
        """Add a whole answer that has just come."""
        loop = asyncio.get_running_loop()
        delivered = ended_run(run, loop.time())
        latest = self._latest_by_start.setdefault(
            target.start, _Latest(target, [])
        )
        latest.runs.append(delivered)
        loop.call_later(
            OUTLIVED_S, self._note_outlived, delivered, target.start
        )

    def target(self, start: str) -> TargetEntry | None:
        """Return the entry of a start with such answers, else ``None``."""
        latest = self._latest_by_start.get(start)
        return None if latest is None else latest.target

    def note_crash(self, lost: LostRuns) -> tuple[EndedRun, ...]:
        """Return the whole answers that a crashed start has not outlived."""
        start = lost.target.start
        self._crashed_starts[start] = None
        while len(self._crashed_starts) > MAX_CRASHED_STARTS:
            self._crashed_starts.popitem(last=False)
        crashed_at = min(
            (each.lost_at for each in lost.runs), default=lost.since
        )
        latest = self._latest_by_start.get(start, _Latest(lost.target, []))
        return tuple(
            each
            for each in (*lost.delivered, *latest.runs)
            if crashed_at - OUTLIVED_S <= each.ended_at <= crashed_at
        )

    def note_alive(self, lost: LostRuns) -> None:
        """Take the whole answers of a start that lives for successes."""
        self._crashed_starts.pop(lost.target.start, None)
        for each in lost.delivered:
            self.note_sound(each)
        lost.delivered = []

    def note_sound(self, run: EndedRun) -> None:
        """Take a run for a success."""
        self._undecided.note_sound(run.suspects)
        self._on_sound(run)

    def _note_outlived(self, delivered: EndedRun, start: str) -> None:
        """Decide about a whole answer, unless its target may have crashed."""
        latest = self._latest_by_start[start]
        latest.runs.remove(delivered)
        if not latest.runs:
            self._latest_by_start.pop(start)
        lost = self._undecided.get(start)
        if lost is not None:
            lost.delivered.append(delivered)
        elif start not in self._crashed_starts:
            self.note_sound(delivered)
