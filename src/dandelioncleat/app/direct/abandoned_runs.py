"""Remembers runs that ended without an answer while their targets may go on.

Their callers left, their time was over, or another run was quicker. Most
targets drop such a run at once; one that goes on with it may crash under it
while nobody waits for the answer.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from dandelioncleat.app.direct.lost_runs import (
    EndedRun,
    WatchedRun,
    ended_run,
)
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.ports.answer_watch import AnswerWatch

# A crash later than this after a run was given up is not blamed on it.
WORK_S = 2.0
# A crash is found out within this time, from the next entry of its target.
MAX_AGE_S = 10.0
MAX_RUNS = 1000
# Most targets drop a run as they close its connection, but some go on with it.
# A crash later than this after the close is not blamed on the run.
CLOSED_WORK_S = 0.5


class _Start(NamedTuple):
    """A start of a target, with the digests of the runs it was given."""

    target: TargetEntry
    leaves: Callable[[], bool]
    digests: set[str]


class AbandonedRuns:
    """Keeps the latest abandoned runs of each start, up to a number of all.

    Runs of equal requests at one start are kept as one.
    """

    def __init__(self) -> None:
        """Start without a run."""
        self._runs: OrderedDict[tuple[str, str], EndedRun] = OrderedDict()
        self._starts_by_target: defaultdict[str, dict[str, _Start]] = (
            defaultdict(dict)
        )

    def __len__(self) -> int:
        """Return the number of runs."""
        return len(self._runs)

    def add(
        self,
        run: WatchedRun,
        target: TargetEntry,
        *,
        now: float,
        leaves: Callable[[], bool],
        watch: AnswerWatch | None = None,
    ) -> None:
        """Add a run that ends now.

        :param now: event loop time in seconds
        :param leaves: returns whether the target's end is planned
        :param watch: tells whether the target closes the run's connection
        """
        starts = self._starts_by_target[target.id]
        start = starts.setdefault(target.start, _Start(target, leaves, set()))
        digest = run.request.digest
        start.digests.add(digest)
        key = (target.start, digest)
        ended = ended_run(run, now)._replace(watch=watch)
        known = self._runs.pop(key, None)
        if known is not None and known.closed_at is None:
            ended = ended._replace(
                sent_at=known.sent_at, first_ended_at=known.first_ended_at
            )
        self._runs[key] = ended
        self._drop_oldest(now)

    def target(self, start: str) -> TargetEntry | None:
        """Return the entry of a start that has runs, else ``None``."""
        found = self._start(start)
        return None if found is None else found.target

    def is_leaving(self, start: str) -> bool:
        """Return whether the end of a start is planned."""
        found = self._start(start)
        return found is not None and found.leaves()

    def earlier_starts(self, entry: TargetEntry) -> list[TargetEntry]:
        """Return the earlier starts of a target that have runs."""
        starts = self._starts_by_target.get(entry.id, {})
        return [
            each.target
            for each in starts.values()
            if each.target.started_at < entry.started_at
        ]

    def near(
        self, start: str, lost_at: Iterable[float], *, now: float
    ) -> tuple[EndedRun, ...]:
        """Return the runs that may have crashed a start.

        :param lost_at: when other runs there broke off, event loop times in
            seconds; without any the time of the crash is not known
        :param now: event loop time in seconds
        """
        found = self._start(start)
        if found is None or found.leaves():
            return ()
        all_runs = (self._runs[start, digest] for digest in found.digests)
        runs = [run for run in all_runs if run.ended_at >= now - MAX_AGE_S]
        moments = tuple(lost_at)
        if not moments:
            return tuple(runs)
        return tuple(
            run
            for run in runs
            if run.ended_at >= min(moments) - WORK_S
            and run.sent_at <= max(moments)
            and not _was_closed(run, min(moments) - CLOSED_WORK_S)
        )

    def take_survived(self, start: str, moment: float) -> list[EndedRun]:
        """Return what a start has outlived, and drop the runs that have ended.

        :param moment: when the start was alive, an event loop time in seconds
        """
        found = self._start(start)
        if found is None:
            return []
        survived: list[EndedRun] = []
        for digest in tuple(found.digests):
            run = self._runs[start, digest]
            if run.first_ended_at >= moment - WORK_S:
                continue
            survived.append(run)
            if run.ended_at < moment - WORK_S:
                self._drop(start, digest)
            else:
                # The target may still work on the latest of equal runs.
                self._runs[start, digest] = run._replace(
                    sent_at=run.ended_at, first_ended_at=run.ended_at
                )
        return survived

    def forget(self, start: str) -> None:
        """Drop the runs of a start that has ended."""
        found = self._start(start)
        if found is not None:
            for digest in tuple(found.digests):
                self._drop(start, digest)

    def _start(self, start: str) -> _Start | None:
        target = start.rpartition('/')[0]
        return self._starts_by_target.get(target, {}).get(start)

    def _drop_oldest(self, now: float) -> None:
        while self._runs:
            (start, digest), run = next(iter(self._runs.items()))
            if len(self) <= MAX_RUNS and run.ended_at >= now - MAX_AGE_S:
                return
            self._drop(start, digest)

    def _drop(self, start: str, digest: str) -> None:
        self._runs.pop((start, digest))
        target = start.rpartition('/')[0]
        starts = self._starts_by_target[target]
        starts[start].digests.discard(digest)
        if not starts[start].digests:
            starts.pop(start)
        if not starts:
            self._starts_by_target.pop(target)


def _was_closed(run: EndedRun, moment: float) -> bool:
    """Return whether a target had closed a run's connection by a moment."""
    return run.closed_at is not None and run.closed_at < moment
