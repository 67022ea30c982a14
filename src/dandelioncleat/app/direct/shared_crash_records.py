"""Shares the records of crashes with all routers, through the store."""

import asyncio
import random
from collections.abc import Callable, Iterable

import msgspec
import structlog

from dandelioncleat.app.direct.topic_follower import (
    TopicChange,
    TopicFollower,
)
from dandelioncleat.app.direct.topic_writer import TopicWriter
from dandelioncleat.core.crash_records import CrashRecord, CrashRecords
from dandelioncleat.core.decoding import UnreadableError, decode_bytes
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.ports.clock import Clock
from dandelioncleat.ports.store import KeyedStore

CRASHES_TOPIC = 'crashes'
READ_WAIT_S = 5.0
EXPIRY_INTERVAL_S = 30.0

_DECODER = msgspec.msgpack.Decoder(CrashRecord)

_logger = structlog.get_logger(__name__)


class SharedCrashRecords:
    """Keeps the records of all routers, and writes those of this one."""

    def __init__(
        self,
        store: KeyedStore,
        *,
        host: str,
        clock: Clock,
        on_crash: Callable[[str], None],
    ) -> None:
        """Initialise with the store.

        :param host: host of this router
        :param on_crash: called with the start of a target that has crashed
        """
        self.known = CrashRecords()
        self._on_crash = on_crash
        self._clock = clock
        self._source = random.Random(host)
        self._own_keys: set[str] = set()
        self._writer = TopicWriter[CrashRecord](
            store, CRASHES_TOPIC, encode=msgspec.msgpack.encode
        )
        self._follower = TopicFollower(
            store,
            CRASHES_TOPIC,
            on_change=self._apply,
            read_wait_s=READ_WAIT_S,
        )

    def add(self, records: Iterable[CrashRecord]) -> None:
        """Add what this router has seen."""
        records_by_key = {each.key: each for each in records}
        for record in records_by_key.values():
            self._note(record)
        self._own_keys.update(records_by_key)
        self._writer.put(records_by_key)

    def withdraw(self, keys: Iterable[str]) -> None:
        """Withdraw records everywhere."""
        for key in keys:
            self.known.remove(key)
        self._own_keys.difference_update(keys)
        self._writer.put(dict.fromkeys(keys))

    async def run(self) -> None:
        """Follow and write the records until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._writer.run())
            group.create_task(self._expire())

    def _apply(self, change: TopicChange) -> None:
        if change.is_restored:
            # The store may have lost what this router wrote.
            own = (self.known.get(key) for key in self._own_keys)
            self._writer.put(
                {each.key: each for each in own if each is not None}
            )
        elif change.is_snapshot:
            self.known.clear()
        for stored in change.records:
            self._apply_record(stored)
        for record in self._writer.unwritten_by_key.values():
            if record is not None:
                self.known.put(record)

    def _apply_record(self, stored: KeyedRecord) -> None:
        if not stored.value:
            self.known.remove(stored.key)
            return
        try:
            record = decode_bytes(_DECODER.decode, stored.value)
        except UnreadableError as error:
            _logger.warning(
                'crash record cannot be decoded',
                key=stored.key,
                reason=str(error),
            )
        else:
            self._note(record)

    def _note(self, record: CrashRecord) -> None:
        is_new = self.known.get(record.key) is None
        self.known.put(record)
        if is_new:
            self._on_crash(record.start)

    async def _expire(self) -> None:
        while True:
            # One of the routers is first, and the others see its deletions.
            pause_s = EXPIRY_INTERVAL_S * (0.5 + self._source.random())
            await asyncio.sleep(pause_s)
            self.withdraw(self.known.expired_keys(self._clock.wall()))
