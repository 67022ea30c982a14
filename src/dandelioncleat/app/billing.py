"""Appends bills to the ledger, batched and repeated until they stand there.

A bill needs no verdict, so a sender does not follow the ledger: an append
that the log confirmed is enough, and the fold drops what arrives twice.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.envelope import Envelope, ledger_codec
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.record import Bill, LedgerRecord
from dandelioncleat.core.shard import ledger_stream, shard_of

LINGER_S = 0.02
RETRY_DELAY_S = 0.25
MAX_BATCH_BILLS = 500


class Appends(Protocol):
    """Appends entries, as a log does; raises ``FailureError``."""

    async def append(self, stream: str, data: bytes) -> object:
        """Return once the entry is in the log."""


class BillSender:
    """Queues bills by ledger shard and appends them in batches."""

    def __init__(
        self,
        *,
        log: Appends,
        incarnation: Incarnation,
        configuration: Callable[[], Configuration],
        linger_s: float = LINGER_S,
    ) -> None:
        """Take the log and the process that sends.

        :param linger_s: time for which a bill waits for others, in seconds
        """
        self._log = log
        self._producer = Incarnation(f'{incarnation}/bills')
        self._configuration = configuration
        self._linger_s = linger_s
        self._lanes_by_stream: dict[str, _Lane] = {}
        self._new_lane = asyncio.Event()

    @property
    def pending(self) -> int:
        """Return the number of bills that the log has not confirmed."""
        return sum(lane.pending for lane in self._lanes_by_stream.values())

    def submit(self, bill: Bill) -> None:
        """Queue a bill; it is repeated until the log confirms it."""
        shards = self._configuration().policy.ledger_shards
        stream = ledger_stream(shard_of(bill.budget, shards))
        lane = self._lanes_by_stream.get(stream)
        if lane is None:
            lane = _Lane(self._log, stream, self._producer, self._linger_s)
            self._lanes_by_stream[stream] = lane
            self._new_lane.set()
        lane.submit(bill)

    async def flush(self) -> None:
        """Wait until all submitted bills are in the log."""
        for lane in tuple(self._lanes_by_stream.values()):
            await lane.empty.wait()

    async def run(self) -> None:
        """Append what is submitted until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._start_lanes(group)
                await self._new_lane.wait()
                self._new_lane.clear()

    def _start_lanes(self, group: asyncio.TaskGroup) -> None:
        for lane in self._lanes_by_stream.values():
            if lane.task is None:
                lane.task = group.create_task(lane.run())


class _Lane:
    """The bills for one stream; one append is in flight at a time."""

    def __init__(
        self,
        log: Appends,
        stream: str,
        producer: Incarnation,
        linger_s: float,
    ) -> None:
        self.task: asyncio.Task[None] | None = None
        self.empty = asyncio.Event()
        self.empty.set()
        self._log = log
        self._stream = stream
        self._producer = producer
        self._linger_s = linger_s
        self._codec = ledger_codec()
        self._queue: list[Bill] = []
        self._in_flight = 0
        self._sequence = 0
        self._work = asyncio.Event()

    @property
    def pending(self) -> int:
        """Return the number of bills that are not confirmed."""
        return len(self._queue) + self._in_flight

    def submit(self, bill: Bill) -> None:
        """Queue a bill."""
        self._queue.append(bill)
        self.empty.clear()
        self._work.set()

    async def run(self) -> None:
        """Append batches until cancelled."""
        while True:
            await self._work.wait()
            await asyncio.sleep(self._linger_s)
            await self._append_batch()
            if not self._queue:
                self._work.clear()
                self.empty.set()

    async def _append_batch(self) -> None:
        batch: tuple[LedgerRecord, ...] = tuple(self._queue[:MAX_BATCH_BILLS])
        self._queue = self._queue[MAX_BATCH_BILLS:]
        self._in_flight = len(batch)
        self._sequence += 1
        envelope = Envelope(self._producer, self._sequence, batch)
        data = self._codec.encode((envelope,))
        await self._append(data)
        self._in_flight = 0

    async def _append(self, data: bytes) -> None:
        while True:
            try:
                await self._log.append(self._stream, data)
            except FailureError:
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                return
