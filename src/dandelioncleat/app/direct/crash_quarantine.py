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
from dandelioncleat.app.direct.crash_evidence import CrashEvidence
from dandelioncleat.app.direct.lost_runs import WatchedRun
from dandelioncleat.app.direct.shared_crash_records import SharedCrashRecords
from dandelioncleat.core.crash_cause import CrashCause
from dandelioncleat.core.crash_records import RECORD_AGE_S
from dandelioncleat.core.crash_suspect import (
    CrashSuspect,
    request_suspect,
    suspects_of,
)
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.core.quarantine_trial import QuarantineTrials
from dandelioncleat.ports.answer_watch import AnswerWatch
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
        self._listed = listed
        self._records = SharedCrashRecords(
            store, host=host, clock=clock, on_crash=self._note_crash
        )
        self._evidence = CrashEvidence(
            self._records,
            trials=self._trials,
            clock=clock,
            routers=lambda: len(cores_by_host()),
        )
        self._detector = CrashDetector(
            targets,
            listed,
            CrashListener(
                self._evidence.add,
                self._records.withdraw,
                self._evidence.note_outlived,
                self._evidence.note_success,
            ),
        )

    def find(self, request: DirectRequest) -> Quarantine | None:
        """Return the quarantine of a request, ``None`` if it may run."""
        causes_by_suspect = self._evidence.causes()
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

    def note_abandoned(
        self,
        run: WatchedRun,
        target: TargetEntry,
        *,
        leaves: Callable[[], bool],
        watch: AnswerWatch | None = None,
    ) -> None:
        """Remember a run that has ended while its target may go on with it.

        :param leaves: returns whether the target's end is planned
        :param watch: tells whether the target drops the run
        """
        request = request_suspect(run.request)
        if not self._evidence.successes.has(request, _now()):
            self._detector.note_abandoned(
                run, target, leaves=leaves, watch=watch
            )

    def note_unreachable(self, target: TargetEntry) -> None:
        """Note that a target could not be reached, or broke off a poll."""
        self._detector.note_doubt(target.start)

    def note_entry(self, entry: TargetEntry) -> None:
        """Note that an entry of a target was read from the list."""
        self._detector.note_entry(entry)

    def note_delivered(self, run: WatchedRun, target: TargetEntry) -> None:
        """Note a whole answer; it is a success if its target outlives it."""
        self._detector.delivered.add(run, target)

    async def run(self) -> None:
        """Follow and write the records until cancelled."""
        try:
            await self._records.run()
        finally:
            self._detector.close()

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
        if not self._records.known and not self._detector.undecided:
            return frozenset()
        suspects = suspects_of(request)
        known = self._records.known
        return frozenset(
            each
            for each in suspects
            if known.has(each)
            or self._detector.undecided.may_have_crashed(each)
        )

    def _note_crash(self, start: str) -> None:
        """Note that any router has found a start to have crashed."""
        self._listed.note_crash(start)
        self._detector.note_doubt(start)


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
