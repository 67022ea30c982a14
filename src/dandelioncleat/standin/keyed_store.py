"""A stand-in for the platform's store of keyed topics, with its faults."""

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
ANSWER_S = 0.004
REPEATS_KNOWN = 5

Records = tuple[tuple[str, bytes], ...]


class StoreFaults(NamedTuple):
    """How the store misbehaves; shares are of all appends.

    :param is_out: whether no call is answered
    :param slow_s: time that each answer takes more, in seconds
    :param lost_share: appends that are done and not answered
    :param late_share: appends that are not answered and done later
    :param late_s: how much later, in seconds
    """

    is_out: bool = False
    slow_s: float = 0
    lost_share: float = 0
    late_share: float = 0
    late_s: float = 3


class _ProducerState(NamedTuple):
    epoch: int
    sequence: int | None
    ends: tuple[tuple[int, int], ...]


class _Topic:
    """The records of one topic."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[KeyedRecord] = []
        self.newest: dict[str, KeyedRecord] = {}
        self.producers: dict[str, _ProducerState] = {}
        self.grown = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def add(self, records: Records) -> None:
        for key, value in records:
            record = KeyedRecord(key, value, self.end)
            self.records.append(record)
            self.newest[key] = record
            if not value:
                self.newest.pop(key)
        grown = self.grown
        self.grown = asyncio.Event()
        grown.set()


class MemoryKeyedStore:
    """Implements the ``KeyedStore`` port in memory.

    Each process uses a client of its own, so that it can be cut off alone.
    """

    def __init__(self, source: random.Random | None = None) -> None:
        """Start with no topic; the source draws which answers are lost."""
        self.faults = StoreFaults()
        self._source = source or random.Random(0)
        self._topics_by_name: dict[str, _Topic] = {}
        self._late: set[asyncio.Task[None]] = set()

    def client(self) -> 'StoreClient':
        """Return what one process calls the store with."""
        return StoreClient(self)

    def drop_history(self, topic: str) -> None:
        """Forget the records of a topic but the newest of each key."""
        state = self._topic(topic)
        state.first = state.end
        state.records = []

    async def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        await self._answer('newest')
        state = self._topic(topic)
        return KeyedPage(state.end, tuple(state.newest.values()))

    async def read(self, topic: str, *, start: int, wait_s: float) -> KeyedPage:
        """Return the records from ``start`` on."""
        await self._answer('read')
        state = self._topic(topic)
        if start < state.first:
            raise OutdatedReadError
        if start >= state.end:
            await wait_at_most(state.grown, wait_s)
            await self._answer('read')
        if start < state.first:
            raise OutdatedReadError
        records = tuple(state.records[start - state.first :])
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
        await self._answer('append')
        draw = self._source.random()
        if draw < self.faults.late_share:
            self._do_later(topic, records, at=at, producer=producer)
            raise _no_answer('append')
        end = self._append(topic, records, at=at, producer=producer)
        if draw < self.faults.late_share + self.faults.lost_share:
            raise _no_answer('append')
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
            _note_producer(state, producer)
        return state.end

    def _do_later(
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
        self._late.add(task)
        task.add_done_callback(self._late.discard)

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
            # Nobody waits for the answer.
            return

    async def _answer(self, step: str) -> None:
        await asyncio.sleep(ANSWER_S + self.faults.slow_s)
        if self.faults.is_out:
            raise _no_answer(step)

    def _topic(self, name: str) -> _Topic:
        return self._topics_by_name.setdefault(name, _Topic())


class StoreClient:
    """One process's way to the store, which may be cut."""

    def __init__(self, store: MemoryKeyedStore) -> None:
        """Take the store."""
        self.is_cut = False
        self._store = store

    async def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        await self._pass('newest')
        page = await self._store.newest(topic)
        await self._pass('newest')
        return page

    async def read(self, topic: str, *, start: int, wait_s: float) -> KeyedPage:
        """Return the records from ``start`` on."""
        await self._pass('read')
        page = await self._store.read(topic, start=start, wait_s=wait_s)
        await self._pass('read')
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
        await self._pass('append')
        end = await self._store.append(topic, records, at=at, producer=producer)
        await self._pass('append')
        return end

    async def _pass(self, step: str) -> None:
        if self.is_cut:
            await asyncio.sleep(ANSWER_S)
            raise _no_answer(step)


def _check_producer(state: _Topic, producer: Producer) -> int | None:
    """Return the end of a repeated append, ``None`` for a new one."""
    known = state.producers.get(producer.name)
    if known is None or producer.epoch > known.epoch:
        return None
    if producer.epoch < known.epoch:
        raise FencedError
    for sequence, end in known.ends:
        if sequence == producer.sequence:
            return end
    if known.sequence is not None and producer.sequence != known.sequence + 1:
        raise failure_error(
            Code.LOG, step='append', peer=PEER, text='not the next sequence'
        )
    return None


def _note_producer(state: _Topic, producer: Producer) -> None:
    known = state.producers.get(producer.name)
    ends: tuple[tuple[int, int], ...] = ()
    if known is not None and known.epoch == producer.epoch:
        ends = known.ends
    ends = (*ends, (producer.sequence, state.end))[-REPEATS_KNOWN:]
    state.producers[producer.name] = _ProducerState(
        producer.epoch, producer.sequence, ends
    )


def _no_answer(step: str) -> FailureError:
    return failure_error(Code.LOG, step=step, peer=PEER, text='no answer')
