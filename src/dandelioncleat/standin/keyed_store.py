"""An in-memory store of keyed topics, with simulated faults.

It can be restored from a copy of an earlier moment, as the platform's store
may be: what was appended since is gone, and its offsets are given out again.
"""

import asyncio
import random
from typing import NamedTuple

from dandelioncleat.app.event_wait import wait_at_most
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.ports.store import (
    Appended,
    ConflictError,
    FencedError,
    KeyedPage,
    OutdatedReadError,
    Producer,
    SequenceError,
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
    :param late_topic: the only topic with late appends, if any
    """

    outage: bool = False
    slow_s: float = 0
    lost_share: float = 0
    late_share: float = 0
    late_s: float = 3
    late_topic: str | None = None

    def late_share_of(self, topic: str) -> float:
        """Return the share of a topic's appends that take effect later."""
        if self.late_topic not in {None, topic}:
            return 0
        return self.late_share


class _Change(NamedTuple):
    """An append, or the dropping of all history if ``records`` is ``None``."""

    at: float
    records: Records | None
    producer: Producer | None = None


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
        self.changes: list[_Change] = []

    @property
    def end(self) -> int:
        return self.first_offset + len(self.records)

    def apply(self, change: _Change) -> None:
        self.changes.append(change)
        if change.records is None:
            self.first_offset = self.end
            self.records = []
            return
        self._add(change.records)
        if change.producer is not None:
            _remember_append(self, change.producer)

    def copy_of(self, moment: float) -> '_Topic':
        copy = _Topic()
        for change in self.changes:
            if change.at <= moment:
                copy.apply(change)
        return copy

    def wake_readers(self) -> None:
        appended = self.appended
        self.appended = asyncio.Event()
        appended.set()

    def _add(self, records: Records) -> None:
        for key, value in records:
            record = KeyedRecord(key, value, self.end)
            self.records.append(record)
            self.newest_by_key[key] = record
            if not value:
                self.newest_by_key.pop(key)
        self.wake_readers()


class MemoryKeyedStore:
    """Implements the ``KeyedStore`` port in memory.

    Each process has its own client, so that each can be cut off alone.
    """

    def __init__(self, generator: random.Random | None = None) -> None:
        """Start empty; the generator determines which appends fail."""
        self.faults = StoreFaults()
        self.era = 0
        self._generator = generator or random.Random(0)
        self._topics_by_name: dict[str, _Topic] = {}
        self._late_appends: set[asyncio.Task[None]] = set()

    def client(self) -> 'StoreClient':
        """Return a client for one process."""
        return StoreClient(self)

    def end(self, topic: str) -> int:
        """Return the end of a topic, 0 if nothing was written to it."""
        return self._topic(topic).end

    def drop_history(self, topic: str) -> None:
        """Drop all records of a topic but the newest of each key."""
        self._topic(topic).apply(_Change(_now(), None))

    def restore(self, age_s: float) -> None:
        """Go back to a copy of some seconds ago, and begin a new era."""
        self.era += 1
        for name, topic in self._topics_by_name.items():
            self._topics_by_name[name] = topic.copy_of(_now() - age_s)
            topic.wake_readers()

    async def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        await self._simulate_call('newest')
        state = self._topic(topic)
        records = tuple(state.newest_by_key.values())
        return KeyedPage(state.end, records, self.era)

    async def read(self, topic: str, *, start: int, wait_s: float) -> KeyedPage:
        """Return the records from ``start`` on."""
        await self._simulate_call('read')
        state = self._readable_topic(topic, start)
        if start >= state.end:
            await wait_at_most(state.appended, wait_s)
            await self._simulate_call('read')
            state = self._readable_topic(topic, start)
        records = tuple(state.records[start - state.first_offset :])
        return KeyedPage(start + len(records), records, self.era)

    async def append(
        self,
        topic: str,
        records: Records,
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> Appended:
        """Append records and return the new end of the topic."""
        await self._simulate_call('append')
        sample = self._generator.random()
        late_share = self.faults.late_share_of(topic)
        if sample < late_share:
            self._schedule_append(topic, records, at=at, producer=producer)
            raise _no_answer_error('append')
        end = self._append(topic, records, at=at, producer=producer)
        if sample < late_share + self.faults.lost_share:
            raise _no_answer_error('append')
        return Appended(end, self.era)

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
        state.apply(_Change(_now(), records, producer))
        return state.end

    def _readable_topic(self, name: str, start: int) -> _Topic:
        state = self._topic(name)
        if not state.first_offset <= start <= state.end:
            raise OutdatedReadError
        return state

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
        except (ConflictError, FencedError, SequenceError):
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
    ) -> Appended:
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
        raise SequenceError
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


def _now() -> float:
    return asyncio.get_running_loop().time()


def _no_answer_error(step: str) -> FailureError:
    return failure_error(Code.LOG, step=step, peer=PEER, text='no answer')
