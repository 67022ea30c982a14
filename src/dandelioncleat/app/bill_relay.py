"""Batches the bills of a data centre, so that the log takes fewer appends.

A sender sends its entry to a router of its data centre, which appends the
envelopes of many senders as one entry. The ledger drops duplicates by
producer and sequence number, so a sender may append an entry itself that a
router appends later.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from dandelioncleat.app.typed_handler import TypedHandler
from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.decoding import UnreadableError
from dandelioncleat.core.envelope import Envelope, ledger_codec
from dandelioncleat.core.failure import Code, FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import (
    Accepted,
    AppendEnvelope,
    Message,
    Refusal,
    refusal,
)
from dandelioncleat.core.record import Bill, LedgerRecord
from dandelioncleat.core.relay import LiveRouter, bill_relay_order
from dandelioncleat.core.shard import ledger_stream
from dandelioncleat.ports.log import Log
from dandelioncleat.ports.peer import PeerHandler, Peers

LINGER_S = 0.05
RELAY_TIMEOUT_S = 1.0
AVOID_S = 10.0
MAX_DATA_BYTES = 262_144
MAX_WAITING_BYTES = 1_048_576


_Reply = Accepted | Refusal
_Envelopes = tuple[Envelope[LedgerRecord], ...]


class BillRelay:
    """Appends the bills of other processes in batches, by stream."""

    def __init__(
        self,
        *,
        log: Log,
        incarnation: Incarnation,
        configuration: Callable[[], Configuration],
    ) -> None:
        """Take the log, the relaying router and the configuration."""
        self._log = log
        self._incarnation = incarnation
        self._configuration = configuration
        self._codec = ledger_codec()
        self._queues_by_stream: dict[str, _StreamQueue] = {}
        self._queue_added = asyncio.Event()

    async def answer(self, message: AppendEnvelope) -> _Reply:
        """Accept bills once the log has confirmed them, or refuse them."""
        if not self._is_ledger(message.stream):
            return self._refuse(
                Code.INVALID, f'{message.stream} is not a ledger stream'
            )
        if len(message.data) > MAX_DATA_BYTES:
            return self._refuse(Code.TOO_LARGE, 'the entry is too large')
        try:
            envelopes = self._codec.decode(message.data)
        except UnreadableError as error:
            return self._refuse(Code.INVALID, f'not an entry: {error}')
        if not _has_bills_only(envelopes):
            return self._refuse(
                Code.INVALID, 'the entry does not consist of bills'
            )
        return await self._append(message, envelopes)

    async def run(self) -> None:
        """Append what was submitted until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                for queue in self._queues_by_stream.values():
                    queue.start(group)
                await self._queue_added.wait()
                self._queue_added.clear()

    async def _append(
        self,
        message: AppendEnvelope,
        envelopes: _Envelopes,
    ) -> _Reply:
        queue = self._queues_by_stream.get(message.stream)
        if queue is None:
            queue = _StreamQueue(self._log, message.stream)
            self._queues_by_stream[message.stream] = queue
            self._queue_added.set()
        if queue.waiting_bytes + len(message.data) > MAX_WAITING_BYTES:
            return self._refuse(Code.CAPACITY, 'too many bills are queued')
        return await queue.submit(envelopes, len(message.data))

    def _is_ledger(self, stream: str) -> bool:
        shards = self._configuration().policy.ledger_shards
        return stream in map(ledger_stream, range(max(shards, 1)))

    def _refuse(self, code: Code, text: str) -> Refusal:
        return Refusal(code, 'append_bills', self._incarnation, text)


def new_bill_handler(relay: BillRelay, handler: PeerHandler) -> PeerHandler:
    """Return a handler that relays bills and passes other messages on."""
    return TypedHandler(AppendEnvelope, relay.answer, handler)


class BillRelayClient:
    """Appends entries of bills through a relay, else to the log directly."""

    def __init__(
        self,
        *,
        log: Log,
        data_centre: str,
        peers: Peers,
        routers: Callable[[], tuple[LiveRouter, ...]],
    ) -> None:
        """Take the log, the sender's data centre, its peers and the routers."""
        self._log = log
        self._data_centre = data_centre
        self._peers = peers
        self._routers = routers
        self._avoid_until_by_address: dict[str, float] = {}

    async def append(self, stream: str, data: bytes) -> None:
        """Return once the entry is in the log."""
        address = self._relay_address(stream)
        if address and await self._append_through(
            address, AppendEnvelope(stream, data)
        ):
            return
        await self._log.append(stream, data)

    async def _append_through(
        self, address: str, message: AppendEnvelope
    ) -> bool:
        try:
            reply: Message | None = await self._peers.call(
                address,
                message,
                timeout_s=RELAY_TIMEOUT_S,
            )
        except FailureError:
            reply = None
        if isinstance(reply, Accepted):
            return True
        now = asyncio.get_running_loop().time()
        self._avoid_until_by_address[address] = now + AVOID_S
        return False

    def _relay_address(self, stream: str) -> str:
        now = asyncio.get_running_loop().time()
        self._avoid_until_by_address = {
            address: until
            for address, until in self._avoid_until_by_address.items()
            if until > now
        }
        order = bill_relay_order(self._data_centre, stream, self._routers())
        for router in order:
            if router.address not in self._avoid_until_by_address:
                return router.address
        return ''


class _Submission(NamedTuple):
    """Envelopes that a sender submitted, and the reply that it waits for."""

    envelopes: _Envelopes
    size: int
    reply: 'asyncio.Future[_Reply]'


class _StreamQueue:
    """The queued bills for one stream; one append is in flight at a time."""

    def __init__(self, log: Log, stream: str) -> None:
        self.waiting_bytes = 0
        self._log = log
        self._stream = stream
        self._codec = ledger_codec()
        self._submissions: list[_Submission] = []
        self._work = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self, group: asyncio.TaskGroup) -> None:
        if self._task is None:
            self._task = group.create_task(self._run())

    async def submit(self, envelopes: _Envelopes, size: int) -> _Reply:
        loop = asyncio.get_running_loop()
        submission = _Submission(envelopes, size, loop.create_future())
        self._submissions.append(submission)
        self.waiting_bytes += size
        self._work.set()
        return await submission.reply

    async def _run(self) -> None:
        while True:
            await self._work.wait()
            await asyncio.sleep(LINGER_S)
            batch = tuple(self._submissions)
            self._submissions.clear()
            self._work.clear()
            reply = await self._append(batch)
            self.waiting_bytes -= sum(submission.size for submission in batch)
            _resolve(batch, reply)

    async def _append(self, batch: tuple[_Submission, ...]) -> _Reply:
        envelopes = tuple(
            envelope
            for submission in batch
            for envelope in submission.envelopes
        )
        data = self._codec.encode(envelopes)
        try:
            await self._log.append(self._stream, data)
        except FailureError as error:
            return refusal(error.failure, ran=True)
        return Accepted()


def _has_bills_only(envelopes: _Envelopes) -> bool:
    records = [record for entry in envelopes for record in entry.records]
    return bool(records) and all(isinstance(bill, Bill) for bill in records)


def _resolve(batch: tuple[_Submission, ...], reply: _Reply) -> None:
    for submission in batch:
        if not submission.reply.done():
            submission.reply.set_result(reply)
