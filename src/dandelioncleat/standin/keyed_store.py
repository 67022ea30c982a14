"""An in-memory store of keyed topics, with simulated faults."""

import asyncio
import random
from typing import NamedTuple

from dandelioncleat.app.event_wait import wait_at_most
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.ports.store import (
    ConflictError,
    FencedError,
    KeyedPage,
    OutdatedReadError,
    Producer,
)

PEER = 'store'
LATENCY_S = 0.004
MAX_REMEMBERED_APPENDS = 5

Records = tuple[tuple[str, bytes], ...]


class StoreFaults(NamedTuple):
    """The faults of the store; shares are of all appends.

    :param outage: whether every call fails
    :param slow_s: additional latency of each call in seconds
    :param lost_share: appends that take effect, but are not answered
    :param late_share: appends that fail and take effect later
    :param late_s: delay of the late appends in seconds
    """

    outage: bool = False
    slow_s: float = 0
    lost_share: float = 0
    late_share: float = 0
    late_s: float = 3


class _ProducerState(NamedTuple):
    epoch: int
    sequence: int | None
    recent_ends: tuple[tuple[int, int], ...]


class _Topic:
    """The records of one topic."""

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[KeyedRecord] = []
        self.newest_by_key: dict[str, KeyedRecord] = {}
        self.producers_by_name: dict[str, _ProducerState] = {}
        self.appended = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first_offset + len(self.records)

    def add(self, records: Records) -> None:
        for key, value in records:
            record = KeyedRecord(key, value, self.end)
            self.records.append(record)
            self.newest_by_key[key] = record
            if not value:
                self.newest_by_key.pop(key)
        appended = self.appended
        self.appended = asyncio.Event()
        appended.set()


class MemoryKeyedStore:
    """Implements the ``KeyedStore`` port in memory.

    Each process has its own client, so that each can be cut off alone.
    """

    def __init__(self, generator: random.Random | None = None) -> None:
        """Start empty; the generator determines which appends fail."""
        self.faults = StoreFaults()
        self._generator = generator or random.Random(0)
        self._topics_by_name: dict[str, _Topic] = {}
        self._late_appends: set[asyncio.Task[None]] = set()

    def client(self) -> 'StoreClient':
        """Return a client for one process."""
        return StoreClient(self)

    def drop_history(self, topic: str) -> None:
        """Drop all records of a topic but the newest of each key."""
        state = self._topic(topic)
        state.first_offset = state.end
        state.records = []

    async def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        await self._simulate_call('newest')
        state = self._topic(topic)
        return KeyedPage(state.end, tuple(state.newest_by_key.values()))

    async def read(self, topic: str, *, start: int, wait_s: float) -> KeyedPage:
        """Return the records from ``start`` on."""
        await self._simulate_call('read')
        state = self._topic(topic)
        if start < state.first_offset:
            raise OutdatedReadError
        if start >= state.end:
            await wait_at_most(state.appended, wait_s)
            await self._simulate_call('read')
        if start < state.first_offset:
            raise OutdatedReadError
        records = tuple(state.records[start - state.first_offset :])
        return KeyedPage(start + len(records), records)

    async def append(
        self,
        topic: str,
        records: Records,
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> int:
        """Append records and return the new end of the topic."""
        await self._simulate_call('append')
        sample = self._generator.random()
        if sample < self.faults.late_share:
            self._schedule_append(topic, records, at=at, producer=producer)
            raise _no_answer_error('append')
        end = self._append(topic, records, at=at, producer=producer)
        if sample < self.faults.late_share + self.faults.lost_share:
            raise _no_answer_error('append')
        return end

    def _append(
        self,
        topic: str,
        records: Records,
        *,
        at: int | None,
        producer: Producer | None,
    ) -> int:
        state = self._topic(topic)
        if at is not None and at != state.end:
            raise ConflictError
        if producer is not None:
            known = _check_producer(state, producer)
            if known is not None:
                return known
        state.add(records)
        if producer is not None:
            _remember_append(state, producer)
        return state.end

    def _schedule_append(
        self,
        topic: str,
        records: Records,
        *,
        at: int | None,
        producer: Producer | None,
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._append_late(topic, records, at=at, producer=producer)
        )
        self._late_appends.add(task)
        task.add_done_callback(self._late_appends.discard)

    async def _append_late(
        self,
        topic: str,
        records: Records,
        *,
        at: int | None,
        producer: Producer | None,
    ) -> None:
        await asyncio.sleep(self.faults.late_s)
        try:
            self._append(topic, records, at=at, producer=producer)
        except (ConflictError, FencedError, FailureError):
            # The caller already got the error of a missing answer.
            return

    async def _simulate_call(self, step: str) -> None:
        await asyncio.sleep(LATENCY_S + self.faults.slow_s)
        if self.faults.outage:
            raise _no_answer_error(step)

    def _topic(self, name: str) -> _Topic:
        return self._topics_by_name.setdefault(name, _Topic())


class StoreClient:
    """The connection of one process to the store."""

    def __init__(self, store: MemoryKeyedStore) -> None:
        """Start connected; ``is_cut_off`` makes every call fail."""
        self.is_cut_off = False
        self._store = store

    async def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        await self._check_connection('newest')
        page = await self._store.newest(topic)
        await self._check_connection('newest')
        return page

    async def read(self, topic: str, *, start: int, wait_s: float) -> KeyedPage:
        """Return the records from ``start`` on."""
        await self._check_connection('read')
        page = await self._store.read(topic, start=start, wait_s=wait_s)
        await self._check_connection('read')
        return page

    async def append(
        self,
        topic: str,
        records: Records,
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> int:
        """Append records and return the new end of the topic."""
        await self._check_connection('append')
        end = await self._store.append(topic, records, at=at, producer=producer)
        await self._check_connection('append')
        return end

    async def _check_connection(self, step: str) -> None:
        if self.is_cut_off:
            await asyncio.sleep(LATENCY_S)
            raise _no_answer_error(step)


def _check_producer(state: _Topic, producer: Producer) -> int | None:
    """Return the end of a repeated append, or ``None`` for a new one."""
    known = state.producers_by_name.get(producer.name)
    if known is None or producer.epoch > known.epoch:
        return None
    if producer.epoch < known.epoch:
        raise FencedError
    for sequence, end in known.recent_ends:
        if sequence == producer.sequence:
            return end
    if known.sequence is not None and producer.sequence != known.sequence + 1:
        raise failure_error(
            Code.LOG,
            step='append',
            peer=PEER,
            text='unexpected sequence number',
        )
    return None


def _remember_append(state: _Topic, producer: Producer) -> None:
    known = state.producers_by_name.get(producer.name)
    recent_ends: tuple[tuple[int, int], ...] = ()
    if known is not None and known.epoch == producer.epoch:
        recent_ends = known.recent_ends
    recent_ends = (*recent_ends, (producer.sequence, state.end))[
        -MAX_REMEMBERED_APPENDS:
    ]
    state.producers_by_name[producer.name] = _ProducerState(
        producer.epoch, producer.sequence, recent_ends
    )


def _no_answer_error(step: str) -> FailureError:
    return failure_error(Code.LOG, step=step, peer=PEER, text='no answer')
