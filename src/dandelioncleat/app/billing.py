"""Appends bills to the ledger in batches, repeated until confirmed.

A bill needs no verdict, so a sender does not follow the ledger: it is
enough that the log confirms the append, and the fold drops duplicates.
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


class SupportsAppend(Protocol):
    """Appends entries to streams, as the log does."""

    async def append(self, stream: str, data: bytes) -> object:
        """Return once the entry is in the log.

        :raises FailureError: if that is not confirmed
        """


class BillSender:
    """Queues bills by ledger shard and appends them in batches."""

    def __init__(
        self,
        *,
        log: SupportsAppend,
        incarnation: Incarnation,
        configuration: Callable[[], Configuration],
        linger_s: float = LINGER_S,
    ) -> None:
        """Take the log, the sending process and the configuration.

        :param linger_s: time for which a bill waits for others, in seconds
        """
        self._log = log
        self._producer = Incarnation(f'{incarnation}/bills')
        self._configuration = configuration
        self._linger_s = linger_s
        self._queues_by_stream: dict[str, _StreamQueue] = {}
        self._queue_added = asyncio.Event()

    @property
    def pending(self) -> int:
        """Return the number of bills that the log has not confirmed."""
        return sum(queue.pending for queue in self._queues_by_stream.values())

    def submit(self, bill: Bill) -> None:
        """Queue a bill; its append is repeated until the log confirms it."""
        shards = self._configuration().policy.ledger_shards
        stream = ledger_stream(shard_of(bill.budget, shards))
        queue = self._queues_by_stream.get(stream)
        if queue is None:
            queue = _StreamQueue(
                self._log, stream, self._producer, self._linger_s
            )
            self._queues_by_stream[stream] = queue
            self._queue_added.set()
        queue.submit(bill)

    async def flush(self) -> None:
        """Wait until all submitted bills are in the log."""
        for queue in tuple(self._queues_by_stream.values()):
            await queue.empty.wait()

    async def run(self) -> None:
        """Append what is submitted until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._start_queues(group)
                await self._queue_added.wait()
                self._queue_added.clear()

    def _start_queues(self, group: asyncio.TaskGroup) -> None:
        for queue in self._queues_by_stream.values():
            if queue.task is None:
                queue.task = group.create_task(queue.run())


class _StreamQueue:
    """The queued bills for one stream; one append is in flight at a time."""

    def __init__(
        self,
        log: SupportsAppend,
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
