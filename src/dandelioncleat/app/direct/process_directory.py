"""Service discovery: processes of a fleet find each other in the store."""

import asyncio
from collections.abc import Callable, Iterable
from enum import StrEnum

import msgspec
import structlog

from dandelioncleat.app.direct.topic_follower import (
    TopicChange,
    TopicFollower,
)
from dandelioncleat.core.decoding import UnreadableError, decode_bytes
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.gateway_choice import GatewayEndpoint
from dandelioncleat.ports.store import KeyedStore

PROCESSES_TOPIC = 'processes'
RETRY_PAUSE_S = 0.2
UNKNOWN_DATA_CENTRE = ''

_logger = structlog.get_logger(__name__)


class ProcessRole(StrEnum):
    """The service that a process offers to others."""

    ROUTER = 'router'
    GATEWAY = 'gateway'


class ProcessEntry(msgspec.Struct, frozen=True, array_like=True):
    """A process, its address as ``ip:port``, and its processor cores.

    Cores that the host's link can't keep busy don't count.
    """

    role: ProcessRole
    host: str
    data_centre: str
    address: str
    cores: float = 1.0

    @property
    def key(self) -> str:
        """Return the key of the entry's record."""
        return f'{self.role}/{self.host}'


_DECODER = msgspec.msgpack.Decoder(ProcessEntry)


class ProcessAnnouncement:
    """Registers a process in the store and removes it.

    It is registered again if the store was restored from a copy.
    """

    def __init__(
        self,
        store: KeyedStore,
        entry: ProcessEntry,
        *,
        on_join: Callable[[], None] | None = None,
    ) -> None:
        """Initialise with the store and the process's entry.

        :param on_join: called whenever the store has confirmed the entry
        """
        self.entry = entry
        self._on_join = on_join
        self._store = store
        self._is_due = asyncio.Event()
        self._is_due.set()
        self._is_leaving = False

    async def run(self) -> None:
        """Register the process whenever it is due, until it leaves."""
        while not self._is_leaving:
            await self._is_due.wait()
            self._is_due.clear()
            await self.join()

    async def join(self) -> None:
        """Register the process; return once the store has confirmed it."""
        await self._write(msgspec.msgpack.encode(self.entry))
        if self._on_join is not None and not self._is_leaving:
            self._on_join()

    def renew(self) -> None:
        """Register the process again, as the store may have lost its entry."""
        if not self._is_leaving:
            _logger.info('process entry renewed', process=self.entry.key)
        self._is_due.set()

    async def leave(self) -> None:
        """Remove the process; return once the store has confirmed it."""
        self._is_leaving = True
        await self._write(b'')

    async def _write(self, value: bytes) -> None:
        records = ((self.entry.key, value),)
        while not (value and self._is_leaving):
            try:
                await self._store.append(PROCESSES_TOPIC, records)
            except FailureError as error:
                _logger.debug('process entry append failed', reason=str(error))
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                return


class ProcessDirectory:
    """Keeps the entries of the registered processes.

    A crashed process stays listed until the next process of its host
    registers.
    """

    def __init__(
        self,
        store: KeyedStore,
        own: ProcessEntry,
        *,
        configured_gateways: Iterable[str],
        on_change: Callable[[], None] | None = None,
        on_own_lost: Callable[[], None] | None = None,
    ) -> None:
        """Initialise with the store and the process's own entry.

        :param configured_gateways: addresses of gateways that are known
            before the store was read
        :param on_change: called after the entries have changed
        :param on_own_lost: called if the store may have lost the own entry:
            it was restored, or an earlier process of the host left late
        """
        self._own = own
        self._on_change = on_change
        self._on_own_lost = on_own_lost
        self._configured_gateways = tuple(configured_gateways)
        self._entries_by_key: dict[str, ProcessEntry] = {}
        self.topic = TopicFollower(
            store, PROCESSES_TOPIC, on_change=self._apply
        )

    @property
    def other_routers_by_host(self) -> dict[str, ProcessEntry]:
        """Return all routers except this one."""
        routers = self._entries(ProcessRole.ROUTER)
        return {entry.host: entry for entry in routers}

    @property
    def cores_by_router_host(self) -> dict[str, float]:
        """Return the processor cores of all routers' hosts, and its own."""
        entries = (*self._entries(ProcessRole.ROUTER), self._own)
        return {entry.host: entry.cores for entry in entries}

    @property
    def router_count(self) -> int:
        """Return the number of routers, this one included."""
        return 1 + len(self._entries(ProcessRole.ROUTER))

    @property
    def gateways(self) -> tuple[GatewayEndpoint, ...]:
        """Return the configured and the registered gateways."""
        by_address = {
            address: GatewayEndpoint(UNKNOWN_DATA_CENTRE, address)
            for address in self._configured_gateways
        }
        for entry in self._entries(ProcessRole.GATEWAY):
            place = GatewayEndpoint(entry.data_centre, entry.address)
            by_address[entry.address] = place
        return tuple(by_address.values())

    async def run(self) -> None:
        """Follow the entries until cancelled."""
        await self.topic.run()

    def _entries(self, role: ProcessRole) -> list[ProcessEntry]:
        entries = self._entries_by_key.values()
        return [entry for entry in entries if entry.role is role]

    def _apply(self, change: TopicChange) -> None:
        if change.is_snapshot:
            self._entries_by_key.clear()
        if change.is_restored:
            self._report_own_lost()
        for record in change.records:
            if record.key == self._own.key:
                self._check_own(record.value)
            elif record.value:
                self._apply_entry(record.key, record.value)
            elif self._entries_by_key.pop(record.key, None) is not None:
                _logger.info('process left', process=record.key)
        if self._on_change is not None:
            self._on_change()

    def _check_own(self, value: bytes) -> None:
        if value != msgspec.msgpack.encode(self._own):
            self._report_own_lost()

    def _report_own_lost(self) -> None:
        if self._on_own_lost is not None:
            self._on_own_lost()

    def _apply_entry(self, key: str, value: bytes) -> None:
        try:
            entry = decode_bytes(_DECODER.decode, value)
        except UnreadableError as error:
            _logger.warning(
                'process entry cannot be decoded',
                process=key,
                reason=str(error),
            )
            return
        self._entries_by_key[key] = entry
        _logger.info('process listed', **msgspec.structs.asdict(entry))
