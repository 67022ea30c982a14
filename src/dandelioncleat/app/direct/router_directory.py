"""Tells the routers of a fleet of each other by way of the store."""

import asyncio

import msgspec
import structlog

from dandelioncleat.app.direct.topic_follower import (
    TopicChange,
    TopicFollower,
)
from dandelioncleat.core.failure import FailureError
from dandelioncleat.ports.store import KeyedStore

ROUTERS_TOPIC = 'routers'
RETRY_PAUSE_S = 0.2

_logger = structlog.get_logger(__name__)


class RouterEntry(msgspec.Struct, frozen=True, array_like=True):
    """Where a router takes requests, as ``ip:port``."""

    host: str
    data_centre: str
    address: str


class RouterDirectory:
    """Keeps the entries of the routers that have not said that they left.

    A router that died stays listed until its host's next process says more.
    """

    def __init__(self, store: KeyedStore, own: RouterEntry) -> None:
        """Take the store and the router's own entry."""
        self.others_by_host: dict[str, RouterEntry] = {}
        self._store = store
        self._own = own
        self._follower = TopicFollower(
            store, ROUTERS_TOPIC, on_change=self._take
        )

    @property
    def count(self) -> int:
        """Return the number of routers, this one included."""
        return 1 + len(self.others_by_host)

    async def run(self) -> None:
        """Announce the router and follow the others until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(
                self._write(msgspec.msgpack.encode(self._own)),
            )

    async def leave(self) -> None:
        """Say that the router takes no more requests."""
        await self._write(b'')

    async def _write(self, value: bytes) -> None:
        while True:
            try:
                await self._store.append(
                    ROUTERS_TOPIC, ((self._own.host, value),)
                )
            except FailureError as error:
                _logger.debug('entry unanswered', reason=str(error))
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                return

    def _take(self, change: TopicChange) -> None:
        for record in change.records:
            if record.key == self._own.host:
                continue
            if record.value:
                self._set(record.key, record.value)
            elif self.others_by_host.pop(record.key, None) is not None:
                _logger.info('router left', router=record.key)

    def _set(self, host: str, value: bytes) -> None:
        try:
            entry = msgspec.msgpack.decode(value, type=RouterEntry)
        except msgspec.DecodeError as error:
            _logger.warning(
                'router entry cannot be read', router=host, reason=str(error)
            )
            return
        self.others_by_host[host] = entry
        _logger.info('router listed', **msgspec.structs.asdict(entry))
