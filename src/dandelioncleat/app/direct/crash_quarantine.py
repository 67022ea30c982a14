"""Finds the requests and prompt parts that crash targets, and refuses them."""

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple

import structlog

from dandelioncleat.app.direct.crash_detector import (
    CrashDetector,
    CrashListener,
    TargetList,
)
from dandelioncleat.app.direct.lost_runs import LostRun, LostRuns, WatchedRun
from dandelioncleat.app.direct.shared_crash_records import SharedCrashRecords
from dandelioncleat.core.crash_cause import (
    MIN_CRASHES,
    CrashCause,
    find_causes,
)
from dandelioncleat.core.crash_records import RECORD_AGE_S, CrashRecord
from dandelioncleat.core.crash_suspect import CrashSuspect, suspects_of
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.core.quarantine_trial import QuarantineTrials
from dandelioncleat.core.recent_success import RecentSuccesses
from dandelioncleat.ports.clock import Clock
from dandelioncleat.ports.direct_target import DirectTargets
from dandelioncleat.ports.store import KeyedStore

_logger = structlog.get_logger(__name__)


class Quarantine(NamedTuple):
    """A refusal of a request that crashes targets."""

    crashes: int
    left_s: float


class CrashQuarantine:
    """Records what was running at targets when they crashed."""

    def __init__(
        self,
        store: KeyedStore,
        targets: DirectTargets,
        *,
        host: str,
        clock: Clock,
        cores_by_host: Callable[[], Mapping[str, float]],
        listed: TargetList,
    ) -> None:
        """Initialise with the store and the client of targets.

        :param host: host of this router
        :param cores_by_host: returns the hosts of all routers
        :param listed: what the platform's list says about targets
        """
        self._cores_by_host = cores_by_host
        self._trials = QuarantineTrials(host)
        self._clock = clock
        self._detector = CrashDetector(
            targets,
            listed,
            CrashListener(self._add_crash, self._note_alive),
        )
        self._records = SharedCrashRecords(
            store, host=host, clock=clock, on_crash=listed.note_crash
        )
        self._causes_by_suspect: dict[str, CrashCause] = {}
        self._changes_seen = 0
        self._successes = RecentSuccesses()

    def find(self, request: DirectRequest) -> Quarantine | None:
        """Return the quarantine of a request, ``None`` if it may run."""
        causes_by_suspect = self._causes()
        if not causes_by_suspect:
            return None
        for suspect in suspects_of(request):
            cause = causes_by_suspect.get(suspect.key)
            if cause is not None and not self._may_try(request, suspect):
                _log_quarantined(request, suspect, cause)
                left_s = cause.last_at + RECORD_AGE_S - self._clock.wall()
                return Quarantine(cause.crashes, max(float(0), left_s))
        return None

    def watch(
        self,
        request: DirectRequest,
        *,
        is_after_loss: bool,
        is_after_crash: bool = False,
    ) -> WatchedRun:
        """Return a run that is about to be sent to a target.

        :param is_after_loss: whether an earlier answer to the request was lost
        :param is_after_crash: whether the target is known to have crashed
        """
        return WatchedRun(
            request,
            self._repeated(request, is_after_loss=is_after_loss),
            sent_at=_now(),
            is_after_crash=is_after_crash,
        )

    def note_lost(
        self,
        run: WatchedRun,
        target: TargetEntry,
        *,
        has_begun: bool = True,
        is_leaving: bool = False,
    ) -> None:
        """Find out whether the target of a lost answer has crashed.

        :param has_begun: whether the answer had begun
        :param is_leaving: whether the target was known to leave
        """
        self._detector.note_lost(
            run, target, has_begun=has_begun, is_leaving=is_leaving
        )

    def note_closed(
        self, run: WatchedRun, target: TargetEntry, *, is_leaving: bool = False
    ) -> None:
        """Find out whether an answer that ended by its connection is whole.

        It counts as a success only if the target has not crashed.

        :param is_leaving: whether the target was known to leave
        """
        self._detector.note_lost(
            run,
            target,
            has_begun=True,
            looks_whole=True,
            is_leaving=is_leaving,
        )

    def note_entry(self, entry: TargetEntry) -> None:
        """Note that an entry of a target was read from the list."""
        self._detector.note_entry(entry)

    def note_delivered(self, request: DirectRequest) -> None:
        """Withdraw what was recorded of all that has now succeeded."""
        suspects = suspects_of(request)
        self._successes.note(suspects, _now())
        self._detector.note_sound(suspects)
        if not self._records.known:
            return
        keys = self._records.known.keys_of(suspects)
        if keys:
            _logger.info(
                'crash records withdrawn',
                request=request.id,
                digest=request.digest,
                records=len(keys),
            )
        self._records.withdraw(keys)

    async def run(self) -> None:
        """Follow and write the records until cancelled."""
        try:
            await self._records.run()
        finally:
            self._detector.close()

    def _causes(self) -> dict[str, CrashCause]:
        known = self._records.known
        if known.changes != self._changes_seen:
            self._changes_seen = known.changes
            causes_by_suspect = find_causes(known.of_frequent(MIN_CRASHES))
            self._note_causes(causes_by_suspect)
            self._causes_by_suspect = causes_by_suspect
        return self._causes_by_suspect

    def _note_causes(self, causes_by_suspect: dict[str, CrashCause]) -> None:
        for begun in causes_by_suspect.keys() - self._causes_by_suspect.keys():
            is_known = self._successes.knows(begun)
            self._trials.begin(begun, _now(), is_known=is_known)
            _logger.warning(
                'quarantine begins',
                suspect=begun,
                crashes=causes_by_suspect[begun].crashes,
                has_succeeded=is_known,
            )
        for ended in self._causes_by_suspect.keys() - causes_by_suspect.keys():
            self._trials.end(ended)
            _logger.info('quarantine ends', suspect=ended)

    def _may_try(self, request: DirectRequest, suspect: CrashSuspect) -> bool:
        """Return whether a quarantined request may run, as a trial."""
        cores_by_host = self._cores_by_host()
        if not self._trials.take(
            suspect.key, _now(), cores_by_host=cores_by_host
        ):
            return False
        _logger.info(
            'quarantined request is tried',
            request=request.id,
            suspect=suspect.key,
        )
        return True

    def _repeated(
        self, request: DirectRequest, *, is_after_loss: bool
    ) -> frozenset[CrashSuspect]:
        """Return the suspects under which a target may have crashed."""
        if is_after_loss:
            return frozenset(suspects_of(request))
        if not self._records.known and not self._detector.is_undecided:
            return frozenset()
        suspects = suspects_of(request)
        known = self._records.known
        return frozenset(
            each
            for each in suspects
            if known.has(each) or self._detector.may_have_crashed(each)
        )

    def _add_crash(self, lost: LostRuns) -> set[str]:
        """Record a crash; return the keys of its records."""
        now = self._clock.wall()
        records = [
            CrashRecord(
                suspect.key,
                lost.target.start,
                now,
                suspect.depth,
                suspect in each.run.repeated,
            )
            for each in lost.runs
            for suspect in each.suspects
            if not lost.is_sound(suspect)
            and not self._successes.has(suspect, each.lost_at)
        ]
        self._records.add(records)
        return {record.key for record in records}

    def _note_alive(self, runs: list[LostRun], wrong_keys: set[str]) -> None:
        """Note that a target lives that had lost some runs."""
        self._records.withdraw(wrong_keys)
        for each in runs:
            if each.looks_whole:
                self.note_delivered(each.run.request)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _log_quarantined(
    request: DirectRequest, suspect: CrashSuspect, cause: CrashCause
) -> None:
    _logger.warning(
        'request is quarantined',
        request=request.id,
        digest=request.digest,
        part=_part_id(request, suspect),
        crashes=cause.crashes,
    )


def _part_id(request: DirectRequest, suspect: CrashSuspect) -> str | None:
    """Return the id of a suspected part, ``None`` for a whole request."""
    if suspect.is_request or request.prompt is None:
        return None
    return request.prompt.parts[suspect.depth].id
