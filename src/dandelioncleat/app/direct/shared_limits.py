"""Shares the limits that targets name with all routers, through the store.

Only a few hosts send to a limited target, so the others hear from these that a
limit has ended, and a router that has just started hears of it beforehand.
"""

import asyncio
import random
from collections.abc import Callable, Collection

import msgspec
import structlog

from dandelioncleat.app.direct.topic_follower import (
    TopicChange,
    TopicFollower,
)
from dandelioncleat.app.direct.topic_writer import TopicWriter
from dandelioncleat.core.decoding import UnreadableError, decode_bytes
from dandelioncleat.core.host_choice import HostChoice
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.ports.store import KeyedStore

LIMITS_TOPIC = 'limits'
READ_WAIT_S = 5.0
# Batches the limits that many targets name at once.
WRITE_PAUSE_S = 0.2
# A limit that differs less from the stored one is not written.
MIN_CHANGE = 0.1
# Limits of targets that are not listed for one to two of these are deleted.
CLEANUP_INTERVAL_S = 30.0

_DECODER = msgspec.msgpack.Decoder(float)

_logger = structlog.get_logger(__name__)


def differs(per_s: float, *, stored: float) -> bool:
    """Return whether a limit is told apart from the stored one."""
    return abs(per_s - stored) > MIN_CHANGE * stored


class SharedLimits:
    """Keeps the stored limits, by the id of a target's start.

    One host of the fleet, chosen by the start, writes again what a restored
    store may have lost, and deletes the limits of targets that are gone.
    """

    def __init__(
        self,
        store: KeyedStore,
        *,
        host: str,
        fleet: HostChoice,
        listed_starts: Callable[[], Collection[str]],
        on_change: Callable[[str, float | None], None],
    ) -> None:
        """Initialise with the store.

        :param host: host of this router
        :param fleet: the hosts that share the limits
        :param listed_starts: returns the starts of all listed targets
        :param on_change: called with a start and its limit in requests a
            second, or ``None`` if it has ended
        """
        self._host = host
        self._fleet = fleet
        self._listed_starts = listed_starts
        self._on_change = on_change
        self._source = random.Random(host)
        self._stored_by_start: dict[str, float] = {}
        self._writer = TopicWriter[float](
            store,
            LIMITS_TOPIC,
            encode=msgspec.msgpack.encode,
            pause_s=WRITE_PAUSE_S,
        )
        self._follower = TopicFollower(
            store, LIMITS_TOPIC, on_change=self._apply, read_wait_s=READ_WAIT_S
        )

    def put(self, start: str, per_s: float) -> None:
        """Tell all routers of a limit, in requests a second."""
        known = self._newest(start)
        if known is None or differs(per_s, stored=known):
            self._writer.put({start: per_s})

    def end(self, start: str) -> None:
        """Tell all routers that a limit has ended."""
        if self._newest(start) is not None:
            self._writer.put({start: None})

    async def run(self) -> None:
        """Follow and write the limits until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._writer.run())
            group.create_task(self._clean_up())

    def _newest(self, start: str) -> float | None:
        stored = self._stored_by_start.get(start)
        return self._writer.unwritten_by_key.get(start, stored)

    def _apply(self, change: TopicChange) -> None:
        if change.is_snapshot:
            self._apply_missing(change)
        for record in change.records:
            self._apply_record(record)

    def _apply_record(self, record: KeyedRecord) -> None:
        if not record.value:
            self._stored_by_start.pop(record.key, None)
            self._report(record.key, None)
            return
        try:
            per_s = decode_bytes(_DECODER.decode, record.value)
        except UnreadableError as error:
            _logger.warning(
                'limit cannot be decoded', start=record.key, reason=str(error)
            )
        else:
            self._stored_by_start[record.key] = per_s
            self._report(record.key, per_s)

    def _apply_missing(self, change: TopicChange) -> None:
        """Apply that a snapshot lacks limits that were stored."""
        listed = {record.key for record in change.records}
        for start in self._stored_by_start.keys() - listed:
            per_s = self._stored_by_start.pop(start)
            if not change.is_restored:
                self._report(start, None)
            elif self._is_first_for(start):
                self._writer.put({start: per_s})

    def _report(self, start: str, per_s: float | None) -> None:
        # What this router has not written yet is newer.
        if start not in self._writer.unwritten_by_key:
            self._on_change(start, per_s)

    def _is_first_for(self, start: str) -> bool:
        return self._fleet.is_among(start, self._host, most=1)

    async def _clean_up(self) -> None:
        unlisted: set[str] = set()
        while True:
            pause_s = CLEANUP_INTERVAL_S * (0.5 + self._source.random())
            await asyncio.sleep(pause_s)
            found = self._stored_by_start.keys() - set(self._listed_starts())
            for start in filter(self._is_first_for, unlisted & found):
                self.end(start)
            unlisted = found
