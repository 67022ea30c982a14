"""Tells the processes of a fleet of each other by way of the store."""

import asyncio
from collections.abc import Iterable
from enum import StrEnum

import msgspec
import structlog

from dandelioncleat.app.direct.topic_follower import (
    TopicChange,
    TopicFollower,
)
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.gateway_choice import GatewayEndpoint
from dandelioncleat.ports.store import KeyedStore

PROCESSES_TOPIC = 'processes'
RETRY_PAUSE_S = 0.2
UNKNOWN_DATA_CENTRE = ''

_logger = structlog.get_logger(__name__)


class ProcessRole(StrEnum):
    """What a process does for the others."""

    ROUTER = 'router'
    GATEWAY = 'gateway'


class ProcessEntry(msgspec.Struct, frozen=True, array_like=True):
    """Where a process takes requests, as ``ip:port``."""

    role: ProcessRole
    host: str
    data_centre: str
    address: str

    @property
    def key(self) -> str:
        """Return the key of the entry's record."""
        return f'{self.role}/{self.host}'


class ProcessAnnouncement:
    """Says in the store that a process takes requests, or no more."""

    def __init__(self, store: KeyedStore, entry: ProcessEntry) -> None:
        """Take the store and the process's entry."""
        self.entry = entry
        self._store = store

    async def join(self) -> None:
        """Announce the process; returns once the store has confirmed it."""
        await self._write(msgspec.msgpack.encode(self.entry))

    async def leave(self) -> None:
        """Say that the process takes no more requests."""
        await self._write(b'')

    async def _write(self, value: bytes) -> None:
        records = ((self.entry.key, value),)
        while True:
            try:
                await self._store.append(PROCESSES_TOPIC, records)
            except FailureError as error:
                _logger.debug('entry unanswered', reason=str(error))
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                return


class ProcessDirectory:
    """Keeps the entries of the processes that have not said that they left.

    One that died stays listed until its host's next process says more.
    """

    def __init__(
        self,
        store: KeyedStore,
        own: ProcessEntry,
        *,
        stated_gateways: Iterable[str],
    ) -> None:
        """Take the store and the entry of the process itself.

        :param stated_gateways: addresses of gateways that may be asked
            before the store has named any
        """
        self._own = own
        self._stated_gateways = tuple(stated_gateways)
        self._entries_by_key: dict[str, ProcessEntry] = {}
        self._follower = TopicFollower(
            store, PROCESSES_TOPIC, on_change=self._take
        )

    @property
    def other_routers_by_host(self) -> dict[str, ProcessEntry]:
        """Return the routers but this one."""
        routers = self._entries(ProcessRole.ROUTER)
        return {entry.host: entry for entry in routers}

    @property
    def router_count(self) -> int:
        """Return the number of routers, this one included."""
        return 1 + len(self._entries(ProcessRole.ROUTER))

    @property
    def gateways(self) -> tuple[GatewayEndpoint, ...]:
        """Return the gateways to the store."""
        by_address = {
            address: GatewayEndpoint(UNKNOWN_DATA_CENTRE, address)
            for address in self._stated_gateways
        }
        for entry in self._entries(ProcessRole.GATEWAY):
            place = GatewayEndpoint(entry.data_centre, entry.address)
            by_address[entry.address] = place
        return tuple(by_address.values())

    async def run(self) -> None:
        """Follow the entries until cancelled."""
        await self._follower.run()

    def _entries(self, role: ProcessRole) -> list[ProcessEntry]:
        entries = self._entries_by_key.values()
        return [entry for entry in entries if entry.role is role]

    def _take(self, change: TopicChange) -> None:
        if change.is_whole:
            self._entries_by_key.clear()
        for record in change.records:
            if record.key == self._own.key:
                continue
            if record.value:
                self._set(record.key, record.value)
            elif self._entries_by_key.pop(record.key, None) is not None:
                _logger.info('process left', process=record.key)

    def _set(self, key: str, value: bytes) -> None:
        try:
            entry = msgspec.msgpack.decode(value, type=ProcessEntry)
        except msgspec.DecodeError as error:
            _logger.warning(
                'process entry cannot be read', process=key, reason=str(error)
            )
            return
        self._entries_by_key[key] = entry
        _logger.info('process listed', **msgspec.structs.asdict(entry))
