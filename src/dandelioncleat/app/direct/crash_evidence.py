"""Records what may have crashed targets, and finds what has."""

import asyncio
from collections.abc import Callable

import structlog

from dandelioncleat.app.direct.lost_runs import EndedRun, LostRuns
from dandelioncleat.app.direct.shared_crash_records import SharedCrashRecords
from dandelioncleat.core.crash_cause import (
    MIN_CRASHES,
    CrashCause,
    find_causes,
)
from dandelioncleat.core.crash_records import CrashRecord
from dandelioncleat.core.crash_suspect import CrashSuspect
from dandelioncleat.core.outlived_runs import OutlivedRuns
from dandelioncleat.core.quarantine_trial import QuarantineTrials
from dandelioncleat.core.recent_success import RecentSuccesses
from dandelioncleat.ports.clock import Clock

# Runs whose connections their targets closed tell little one by one, since most
# targets drop them and some go on.
MIN_CLOSED_RUNS = 3

_logger = structlog.get_logger(__name__)


class CrashEvidence:
    """Weighs the records of all routers against what has run soundly."""

    def __init__(
        self,
        records: SharedCrashRecords,
        *,
        trials: QuarantineTrials,
        clock: Clock,
        routers: Callable[[], int],
    ) -> None:
        """Initialise with the records.

        :param trials: is told which quarantines begin and end
        :param routers: returns the number of routers
        """
        self.successes = RecentSuccesses()
        self._outlived = OutlivedRuns()
        self._outlived_closed = OutlivedRuns(least=MIN_CLOSED_RUNS)
        self._routers = routers
        self._records = records
        self._trials = trials
        self._clock = clock
        self._causes_by_suspect: dict[str, CrashCause] = {}
        self._changes_seen = 0

    def causes(self) -> dict[str, CrashCause]:
        """Return what crashes targets, by the keys of suspects."""
        known = self._records.known
        if known.changes != self._changes_seen:
            self._changes_seen = known.changes
            causes_by_suspect = find_causes(
                known.of_frequent(MIN_CRASHES),
                is_known=self.successes.knows,
                earlier=self._causes_by_suspect,
            )
            self._note_causes(causes_by_suspect)
            self._causes_by_suspect = causes_by_suspect
        return self._causes_by_suspect

    def add(self, lost: LostRuns) -> set[str]:
        """Record a crash; return the keys of its records."""
        now = self._clock.wall()
        records = [
            *self._of_lost_runs(lost, now),
            *self._of_abandoned_runs(lost, now),
        ]
        self._records.add(records)
        return {record.key for record in records}

    def note_success(self, run: EndedRun) -> None:
        """Withdraw what was recorded of all that has now succeeded."""
        self.successes.note(run.suspects, _now())
        keys = self._records.known.keys_of(run.suspects)
        if not keys:
            return
        _logger.info(
            'crash records withdrawn',
            request=run.request,
            digest=run.digest,
            records=len(keys),
        )
        self._records.withdraw(keys)

    def note_outlived(self, runs: list[EndedRun]) -> None:
        """Withdraw what was recorded of runs that their target outlived.

        What interrupted runs tell remains, and a quarantine is ended only by
        runs that were sent after the last crash. A run whose connection the
        target closed may have been dropped, so it withdraws nothing; it only
        speaks against blaming others of its kind.
        """
        keys: list[str] = []
        for run in runs:
            if run.closed_at is None:
                self._outlived.note(run.suspects, _now())
                keys += self._outlived_keys(run)
            else:
                self._outlived_closed.note(run.suspects, _now())
        if keys:
            _logger.info(
                'crash records of abandoned runs withdrawn', records=len(keys)
            )
            self._records.withdraw(keys)

    def _outlived_keys(self, run: EndedRun) -> list[str]:
        sent_at = self._clock.wall() - (_now() - run.sent_at)
        causes_by_suspect = self.causes()
        keys: list[str] = []
        for suspect in run.suspects:
            cause = causes_by_suspect.get(suspect.key)
            is_sound = self._is_cleared(suspect, self._outlived)
            if cause is not None:
                is_sound = cause.last_at < sent_at
            if is_sound:
                keys += self._records.known.abandoned_keys_of(suspect)
        return keys

    def _is_cleared(
        self, suspect: CrashSuspect, outlived: OutlivedRuns
    ) -> bool:
        """Return whether what targets outlived clears a suspect."""
        crashes = len(self._records.known.abandoned_keys_of(suspect))
        return outlived.clear(
            suspect, _now(), crashes=crashes, routers=self._routers()
        )

    def _is_cleared_by_closed(
        self, run: EndedRun, suspect: CrashSuspect
    ) -> bool:
        """Return whether a closed run is cleared by others of its kind."""
        return run.closed_at is not None and self._is_cleared(
            suspect, self._outlived_closed
        )

    def _note_causes(self, causes_by_suspect: dict[str, CrashCause]) -> None:
        for begun in causes_by_suspect.keys() - self._causes_by_suspect.keys():
            is_known = self.successes.knows(begun)
            self._trials.begin(
                begun,
                _now(),
                is_known=is_known,
                is_doubtful=self._records.known.is_doubtful(begun),
            )
            _logger.warning(
                'quarantine begins',
                suspect=begun,
                crashes=causes_by_suspect[begun].crashes,
                has_succeeded=is_known,
            )
        for ended in self._causes_by_suspect.keys() - causes_by_suspect.keys():
            self._trials.end(ended)
            _logger.info('quarantine ends', suspect=ended)

    def _of_lost_runs(self, lost: LostRuns, now: float) -> list[CrashRecord]:
        """Return records of the runs that a crash has interrupted."""
        start = lost.target.start
        return [
            CrashRecord(
                suspect.key,
                start,
                now,
                suspect.depth,
                suspect in each.run.repeated,
                is_waiting=not each.has_begun,
            )
            for each in lost.runs
            for suspect in each.suspects
            if not lost.is_sound(suspect)
            and not self.successes.has(suspect, each.lost_at)
        ]

    def _of_abandoned_runs(
        self, lost: LostRuns, now: float
    ) -> list[CrashRecord]:
        """Return records of the runs that nobody waited for any more."""
        start = lost.target.start
        return [
            CrashRecord(
                suspect.key,
                start,
                now,
                suspect.depth,
                suspect in run.repeated,
                is_abandoned=True,
            )
            for run in lost.abandoned
            for suspect in run.suspects
            if not self.successes.has(suspect, run.ended_at)
            and not self._is_cleared(suspect, self._outlived)
            and not self._is_cleared_by_closed(run, suspect)
        ]


def _now() -> float:
    return asyncio.get_running_loop().time()
