"""Connects the components of a gateway."""

import asyncio
import socket
from typing import NamedTuple

import structlog
from aiohttp import web

from dandelioncleat.adapters.bounded_server import BoundedAppRunner
from dandelioncleat.adapters.connection_bound import ConnectionBound
from dandelioncleat.adapters.connection_memory import new_connection_memory
from dandelioncleat.adapters.listening import start_site
from dandelioncleat.adapters.peer_server import PeerServer, add_peer_routes
from dandelioncleat.adapters.system_clock import SystemClock
from dandelioncleat.app.direct.gateway_handler import GatewayHandler
from dandelioncleat.app.direct.process_directory import (
    PROCESSES_TOPIC,
    ProcessAnnouncement,
    ProcessEntry,
    ProcessRole,
)
from dandelioncleat.app.direct.topic_follower import (
    TopicChange,
    TopicFollower,
)
from dandelioncleat.daemons.direct_settings import GatewaySettings
from dandelioncleat.platform.sockets import enable_keepalive
from dandelioncleat.platform.status_page import StatusPage
from dandelioncleat.platform.store import PlatformStore, new_store_session
from dandelioncleat.ports.telemetry import Telemetry

STORE_CONNECT_TIMEOUT_S = 1.0
SHUTDOWN_TIMEOUT_S = 0.1
# A gateway reads the processes only to learn that the store was restored.
READ_WAIT_S = 10.0

_logger = structlog.get_logger(__name__)


class GatewaySockets(NamedTuple):
    """The listening sockets."""

    routers: socket.socket
    metrics: socket.socket


class StoreGateway:
    """Forwards routers' calls to the store until it is stopped."""

    def __init__(
        self,
        settings: GatewaySettings,
        *,
        sockets: GatewaySockets,
        telemetry: Telemetry,
        status_page: StatusPage,
    ) -> None:
        """Connect the components; needs a running event loop."""
        self._sockets = sockets
        self._status_page = status_page
        self._session = new_store_session(
            connect_timeout_s=STORE_CONNECT_TIMEOUT_S
        )
        store = PlatformStore(self._session, settings.store)
        self._announcement = ProcessAnnouncement(
            store,
            ProcessEntry(
                ProcessRole.GATEWAY,
                settings.host,
                settings.data_centre,
                settings.listen.routers,
            ),
        )
        self._processes = TopicFollower(
            store,
            PROCESSES_TOPIC,
            on_change=self._renew_if_restored,
            read_wait_s=READ_WAIT_S,
        )
        self._peers = PeerServer(
            GatewayHandler(
                store,
                host=settings.host,
                clock=SystemClock(),
                telemetry=telemetry,
            ),
            fleet_secret=settings.fleet_secret,
            version=int,
            on_version=_ignore_version,
        )
        self._memory = new_connection_memory(settings.memory_mb, telemetry)
        self._router_bound = ConnectionBound(
            'routers', most=settings.router_connections, telemetry=telemetry
        )
        self._runner: web.AppRunner | None = None

    async def run(self) -> None:
        """Listen and stay registered until cancelled."""
        await self._listen()
        _logger.info('ready')
        async with asyncio.TaskGroup() as group:
            group.create_task(self._announcement.run())
            group.create_task(self._processes.run())

    async def stop(self, *, limit_s: float) -> str:
        """Announce that the gateway leaves; routers then use another."""
        try:
            async with asyncio.timeout(limit_s):
                await self._announcement.leave()
        except TimeoutError:
            _logger.info('could not report the stop to the store')
        return ''

    def losses(self) -> str:
        """Return an empty text, as a gateway has no state to lose."""
        return ''

    async def close(self) -> None:
        """Close every connection."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self._status_page.stop()
        await self._session.close()

    async def _listen(self) -> None:
        for sock in self._sockets:
            enable_keepalive(sock)
        application = web.Application()
        add_peer_routes(application, self._peers)
        self._runner = BoundedAppRunner(
            application,
            memory=self._memory,
            bound=self._router_bound,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        await start_site(self._runner, self._sockets.routers)
        await self._status_page.start(
            (self._sockets.metrics,),
            memory=self._memory,
            is_ready=lambda: True,
        )

    def _renew_if_restored(self, change: TopicChange) -> None:
        if change.is_restored:
            self._announcement.renew()

    def reload(self, settings: GatewaySettings) -> None:
        """Change nothing: addresses change at the next start only."""
        _logger.info('new settings take effect at the next start')


def _ignore_version(address: str, version: int) -> None:
    """Do nothing: a gateway has no configuration."""
