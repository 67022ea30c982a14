"""Finds the requests and prompt parts that crash targets, and refuses them."""

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple

import structlog

from dandelioncleat.app.direct.shared_crash_records import SharedCrashRecords
from dandelioncleat.core.crash_cause import (
    MIN_CRASHES,
    CrashCause,
    find_causes,
)
from dandelioncleat.core.crash_records import RECORD_AGE_S, CrashRecord
from dandelioncleat.core.crash_suspect import (
    CrashSuspect,
    part_suspects,
    request_suspect,
    suspects_of,
)
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.core.quarantine_trial import QuarantineTrials
from dandelioncleat.core.recent_success import RecentSuccesses
from dandelioncleat.ports.clock import Clock
from dandelioncleat.ports.direct_target import DirectTargets
from dandelioncleat.ports.store import KeyedStore

# The runs that one crash interrupts are reported within this time.
PROBE_DELAY_S = 0.05
# A crash may interrupt as many requests as a target runs.
MAX_LOGGED_REQUESTS = 64
MAX_LOGGED_PARTS = 16

_logger = structlog.get_logger(__name__)


class WatchedRun(NamedTuple):
    """A run of a request at a target.

    ``repeated`` are the suspects under which another target had crashed, or
    may have, when the run was sent.
    """

    request: DirectRequest
    repeated: frozenset[CrashSuspect] = frozenset()


class Quarantine(NamedTuple):
    """A refusal of a request that crashes targets."""

    crashes: int
    left_s: float


class _RunEnd(NamedTuple):
    """The end of a run that a crash of its target may have caused.

    ``has_begun`` says that the answer had begun, ``looks_whole`` that it may
    be whole.
    """

    run: WatchedRun
    has_begun: bool
    looks_whole: bool = False

    @property
    def suspects(self) -> tuple[CrashSuspect, ...]:
        """Return what may have caused a crash.

        A part crashes its target as the answer begins, and not before.
        """
        if self.has_begun:
            return suspects_of(self.run.request)
        return (request_suspect(self.run.request),)


class CrashQuarantine:
    """Records what was running at targets when they crashed.

    A connection that breaks off may mean a crash, a reset or a cut, and one
    that ends an answer may mean a crash, too. A target that refuses a new
    connection right afterwards has crashed.
    """

    def __init__(
        self,
        store: KeyedStore,
        targets: DirectTargets,
        *,
        host: str,
        clock: Clock,
        cores_by_host: Callable[[], Mapping[str, float]],
    ) -> None:
        """Initialise with the store and the client of targets.

        :param host: host of this router
        :param cores_by_host: returns the hosts of all routers
        """
        self._cores_by_host = cores_by_host
        self._trials = QuarantineTrials(host)
        self._targets = targets
        self._clock = clock
        self._records = SharedCrashRecords(store, host=host, clock=clock)
        self._causes_by_suspect: dict[str, CrashCause] = {}
        self._changes_seen = 0
        self._successes = RecentSuccesses()
        self._ends_by_start: dict[str, list[_RunEnd]] = {}
        self._probes: set[asyncio.Task[None]] = set()

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
        self, request: DirectRequest, *, is_after_loss: bool
    ) -> WatchedRun:
        """Return a run that is about to be sent to a target.

        :param is_after_loss: whether an earlier answer to the request was lost
        """
        known = self._records.known
        if is_after_loss:
            return WatchedRun(request, frozenset(suspects_of(request)))
        if not known:
            return WatchedRun(request)
        repeated = (each for each in suspects_of(request) if known.has(each))
        return WatchedRun(request, frozenset(repeated))

    def note_lost(
        self, run: WatchedRun, target: TargetEntry, *, has_begun: bool = True
    ) -> None:
        """Find out whether the target of a lost answer has crashed.

        :param has_begun: whether the answer had begun
        """
        self._probe_soon(_RunEnd(run, has_begun), target)

    def note_closed(self, run: WatchedRun, target: TargetEntry) -> None:
        """Find out whether an answer that ended by its connection is whole.

        It counts as a success only if the target has not crashed.
        """
        self._probe_soon(_RunEnd(run, has_begun=True, looks_whole=True), target)

    def note_delivered(self, request: DirectRequest) -> None:
        """Withdraw what was recorded of all that has now succeeded."""
        self._successes.note(part_suspects(request.prompt), _now())
        if not self._records.known:
            return
        keys = self._records.known.keys_of(suspects_of(request))
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
            for probe in self._probes:
                probe.cancel()

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

    def _probe_soon(self, end: _RunEnd, target: TargetEntry) -> None:
        start = target.start
        ends = self._ends_by_start.get(start)
        if ends is not None:
            ends.append(end)
            return
        self._ends_by_start[start] = [end]
        probe = asyncio.get_running_loop().create_task(self._probe(target))
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def _probe(self, target: TargetEntry) -> None:
        await asyncio.sleep(PROBE_DELAY_S)
        has_crashed = await self._targets.refuses_connections(target)
        start = target.start
        ends = self._ends_by_start.pop(start)
        _log_probe(target, ends, has_crashed=has_crashed)
        if has_crashed:
            self._add_crash(start, ends)
            return
        for end in ends:
            if end.looks_whole:
                self.note_delivered(end.run.request)

    def _add_crash(self, start: str, ends: list[_RunEnd]) -> None:
        now = self._clock.wall()
        self._records.add(
            CrashRecord(
                suspect.key,
                start,
                now,
                suspect.depth,
                suspect in end.run.repeated,
            )
            for end in ends
            for suspect in end.suspects
            if not self._successes.has(suspect, _now())
        )


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


def _log_probe(
    target: TargetEntry, ends: list[_RunEnd], *, has_crashed: bool
) -> None:
    requests = [each.run.request for each in ends[:MAX_LOGGED_REQUESTS]]
    log = _logger.warning if has_crashed else _logger.info
    log(
        'target crashed' if has_crashed else 'target did not crash',
        target=target.id,
        start=target.start,
        runs=len(ends),
        begun=sum(each.has_begun for each in ends),
        digests_by_request={each.id: each.digest for each in requests},
        parts_by_request={each.id: _part_ids(each) for each in requests},
    )


def _part_ids(request: DirectRequest) -> list[str]:
    if request.prompt is None:
        return []
    return [part.id for part in request.prompt.parts[:MAX_LOGGED_PARTS]]


def _part_id(request: DirectRequest, suspect: CrashSuspect) -> str | None:
    """Return the id of a suspected part, ``None`` for a whole request."""
    if suspect.is_request or request.prompt is None:
        return None
    return request.prompt.parts[suspect.depth].id
