"""Finds the requests that crash targets, and shares them with all routers."""

import asyncio
import random
from typing import NamedTuple

import msgspec
import structlog

from dandelioncleat.app.direct.topic_follower import (
    TopicChange,
    TopicFollower,
)
from dandelioncleat.core.crash_records import (
    CrashRecord,
    CrashRecords,
    Quarantine,
)
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.core.failure import FailureError
from dandelioncleat.ports.clock import Clock
from dandelioncleat.ports.direct_target import DirectTargets
from dandelioncleat.ports.store import KeyedStore

CRASHES_TOPIC = 'crashes'
# The requests that one crash interrupts are reported within this time.
PROBE_DELAY_S = 0.05
RETRY_PAUSE_S = 0.2
READ_WAIT_S = 5.0
EXPIRY_INTERVAL_S = 30.0
# A crash may interrupt as many requests as a target runs.
MAX_LOGGED_REQUESTS = 64

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
        self._store = store
        self._targets = targets
        self._clock = clock
        self._source = random.Random(host)
        self._records = CrashRecords(host)
        self._ends_by_start: dict[str, list[_RunEnd]] = {}
        self._probes: set[asyncio.Task[None]] = set()
        self._values_by_key: dict[str, bytes] = {}
        self._write_due = asyncio.Event()
        self._follower = TopicFollower(
            store,
            CRASHES_TOPIC,
            on_change=self._apply,
            read_wait_s=READ_WAIT_S,
        )

    def find(self, request: DirectRequest) -> Quarantine | None:
        """Return the quarantine of a request, ``None`` if it may run."""
        if not self._records:
            return None
        return self._records.quarantine(request.digest, self._clock.wall())

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
        if not self._records:
            return
        withdrawn = self._records.withdraw(request.digest)
        if withdrawn:
            _logger.info(
                'crash records withdrawn',
                request=request.id,
                digest=request.digest,
                records=len(withdrawn),
            )
        self._write(dict.fromkeys(withdrawn, b''))

    async def run(self) -> None:
        """Follow and write the records until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follower.run())
                group.create_task(self._write_records())
                group.create_task(self._expire())
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
            self._add_crash(start, {each.request.digest for each in ends})
            return
        for end in ends:
            if end.looks_whole:
                self.note_delivered(end.request)

    def _add_crash(self, start: str, digests: set[str]) -> None:
        now = self._clock.wall()
        records = [
            self._records.add_crash(digest, start, now)
            for digest in sorted(digests)
        ]
        self._write(
            {each.key: msgspec.msgpack.encode(each) for each in records}
        )

    def _apply(self, change: TopicChange) -> None:
        if change.is_restored:
            # The store may have lost what this router wrote.
            self._write(
                {
                    each.key: msgspec.msgpack.encode(each)
                    for each in self._records.own()
                }
            )
        elif change.is_snapshot:
            self._records.clear()
        for stored in change.records:
            if not stored.value:
                self._records.remove(stored.key)
                continue
            try:
                record = msgspec.msgpack.decode(stored.value, type=CrashRecord)
            except msgspec.DecodeError as error:
                _logger.warning(
                    'crash record cannot be decoded',
                    key=stored.key,
                    reason=str(error),
                )
            else:
                self._records.put(record)

    def _write(self, values_by_key: dict[str, bytes]) -> None:
        self._values_by_key.update(values_by_key)
        if self._values_by_key:
            self._write_due.set()

    async def _write_records(self) -> None:
        while True:
            await self._write_due.wait()
            self._write_due.clear()
            values_by_key = self._values_by_key
            self._values_by_key = {}
            try:
                await self._store.append(
                    CRASHES_TOPIC, tuple(values_by_key.items())
                )
            except FailureError as error:
                _logger.debug('crash records not written', reason=str(error))
                # What changed meanwhile is newer.
                self._write({**values_by_key, **self._values_by_key})
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _expire(self) -> None:
        while True:
            # One of the routers is first, and the others see its deletions.
            pause_s = EXPIRY_INTERVAL_S * (0.5 + self._source.random())
            await asyncio.sleep(pause_s)
            expired = self._records.remove_expired(self._clock.wall())
            self._write(dict.fromkeys(expired, b''))


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
    )


def _start_of(target: TargetEntry) -> str:
    return f'{target.id}/{target.started_at}'
