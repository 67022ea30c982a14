"""Finds the requests that crash targets."""

import asyncio
from typing import NamedTuple

import structlog

from dandelioncleat.app.direct.shared_crash_records import SharedCrashRecords
from dandelioncleat.core.crash_records import CrashRecord, Quarantine
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.ports.clock import Clock
from dandelioncleat.ports.direct_target import DirectTargets
from dandelioncleat.ports.store import KeyedStore

# The requests that one crash interrupts are reported within this time.
PROBE_DELAY_S = 0.05
# A crash may interrupt as many requests as a target runs.
MAX_LOGGED_REQUESTS = 64
MAX_LOGGED_PARTS = 16

_logger = structlog.get_logger(__name__)


class _RunEnd(NamedTuple):
    """The end of a run that a crash of its target may have caused.

    ``looks_whole`` says that the answer may be whole.
    """

    request: DirectRequest
    looks_whole: bool


class CrashQuarantine:
    """Records which requests were running when their targets crashed.

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
    ) -> None:
        """Initialise with the store and the client of targets."""
        self._targets = targets
        self._clock = clock
        self._records = SharedCrashRecords(store, host=host, clock=clock)
        self._ends_by_start: dict[str, list[_RunEnd]] = {}
        self._probes: set[asyncio.Task[None]] = set()

    def find(self, request: DirectRequest) -> Quarantine | None:
        """Return the quarantine of a request, ``None`` if it may run."""
        if not self._records.known:
            return None
        found = self._records.known.quarantine(
            request.digest, self._clock.wall()
        )
        if found is not None:
            _logger.warning(
                'request is quarantined',
                request=request.id,
                digest=request.digest,
                crashes=found.crashes,
            )
        return found

    def note_lost(self, request: DirectRequest, target: TargetEntry) -> None:
        """Find out whether the target of a lost answer has crashed."""
        self._probe_soon(_RunEnd(request, looks_whole=False), target)

    def note_closed(self, request: DirectRequest, target: TargetEntry) -> None:
        """Find out whether an answer that ended by its connection is whole.

        It counts as a success only if the target has not crashed.
        """
        self._probe_soon(_RunEnd(request, looks_whole=True), target)

    def note_delivered(self, request: DirectRequest) -> None:
        """Withdraw what was recorded of a request that has succeeded."""
        if not self._records.known:
            return
        keys = self._records.known.keys_of(request.digest)
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

    def _probe_soon(self, end: _RunEnd, target: TargetEntry) -> None:
        start = _start_of(target)
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
        start = _start_of(target)
        ends = self._ends_by_start.pop(start)
        _log_probe(target, ends, has_crashed=has_crashed)
        if has_crashed:
            now = self._clock.wall()
            digests = {each.request.digest for each in ends}
            self._records.add(
                CrashRecord(digest, start, now) for digest in digests
            )
            return
        for end in ends:
            if end.looks_whole:
                self.note_delivered(end.request)


def _log_probe(
    target: TargetEntry, ends: list[_RunEnd], *, has_crashed: bool
) -> None:
    log = _logger.warning if has_crashed else _logger.info
    log(
        'target crashed' if has_crashed else 'target did not crash',
        target=target.id,
        start=_start_of(target),
        runs=len(ends),
        digests_by_request={
            each.request.id: each.request.digest
            for each in ends[:MAX_LOGGED_REQUESTS]
        },
        parts_by_request={
            each.request.id: _part_ids(each.request)
            for each in ends[:MAX_LOGGED_REQUESTS]
        },
    )


def _part_ids(request: DirectRequest) -> list[str]:
    if request.prompt is None:
        return []
    return [part.id for part in request.prompt.parts[:MAX_LOGGED_PARTS]]


def _start_of(target: TargetEntry) -> str:
    return f'{target.id}/{target.started_at}'
