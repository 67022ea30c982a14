"""The router daemon."""

import asyncio

import structlog
from aiohttp import ClientSession, web

from dandelioncleat.adapters._caller_body import BodyMemory, total_body_bytes
from dandelioncleat.adapters.caller_http import (
    CallerBackend,
    new_caller_application,
)
from dandelioncleat.adapters.client_session import new_client_session
from dandelioncleat.adapters.connection_memory import new_connection_memory
from dandelioncleat.adapters.operator_http import add_operator_routes
from dandelioncleat.adapters.system_clock import SystemClock
from dandelioncleat.adapters.telemetry import OtelTelemetry
from dandelioncleat.core.account import Balance
from dandelioncleat.core.fleet import ROUTER
from dandelioncleat.core.identity import BudgetId, Incarnation
from dandelioncleat.core.record import Join
from dandelioncleat.daemons.http_server import HttpServer
from dandelioncleat.daemons.router_process import (
    RouterProcess,
    new_router_process,
)
from dandelioncleat.daemons.settings import RouterSettings

_logger = structlog.get_logger(__name__)


class RouterDaemon:
    """A router process with its servers."""

    def __init__(
        self,
        process: RouterProcess,
        *,
        settings: RouterSettings,
        session: ClientSession,
        telemetry: OtelTelemetry,
        callers: HttpServer,
        peers: HttpServer,
    ) -> None:
        """Take the connected components from ``new_router_daemon``."""
        self.process = process
        self._settings = settings
        self.callers = callers
        self.peers = peers
        self._session = session
        self._telemetry = telemetry

    @property
    def url(self) -> str:
        """Return the base URL for callers and operators."""
        return self.callers.url

    async def run(self) -> None:
        """Listen and run every task until cancelled."""
        shared = self.process.shared
        handler = self.process.handler
        settings = self._settings
        memory = new_connection_memory(
            settings.limits.memory_mb, self._telemetry
        )
        for server, application in (
            (self.peers, shared.peer_application(handler)),
            (self.callers, self._caller_application()),
        ):
            await server.start(
                application,
                memory=memory,
                most_connections=settings.most_connections,
            )
        _logger.info(
            'listening',
            callers=self.callers.text,
            peers=self.peers.text,
        )
        async with asyncio.TaskGroup() as group:
            for task in self.process.tasks:
                group.create_task(task.run())

    async def stop(self, *, limit_s: float) -> str:
        """Finish open requests; return a description of what was lost."""
        report = await self.process.router.stop(limit_s=limit_s)
        return report.text

    def losses(self) -> str:
        """Return what would be lost if the process ended now."""
        return self.process.router.report(is_ended=False).text

    async def close(self) -> None:
        """Close the servers and every connection."""
        await self.callers.stop()
        await self.peers.stop()
        await self.process.shared.peers.close()
        await self._session.close()

    async def abort(self) -> None:
        """Abort every connection at once, as a power loss does."""
        await self._session.close()
        await self.process.shared.peers.abort()
        self.peers.abort()
        self.callers.abort()

    def _caller_application(self) -> web.Application:
        configuration = self.process.shared.configuration
        backend = CallerBackend(
            server=self.process.router,
            configuration=lambda: configuration.current,
            balance_of=self._balance_of,
            metrics_page=self._telemetry.metrics_page,
            clock=SystemClock(),
        )
        memory_mb = self._settings.limits.memory_mb
        bodies = BodyMemory(max_total_bytes=total_body_bytes(memory_mb))
        application = new_caller_application(backend, bodies)
        add_operator_routes(application, self.process.backend, bodies)
        return application

    def _balance_of(self, budget: BudgetId) -> Balance:
        shard = self.process.budgets.shards.of(budget)
        return shard.fold.accounts.balance(budget)


def new_router_daemon(
    settings: RouterSettings,
    *,
    telemetry: OtelTelemetry,
    incarnation: Incarnation,
) -> RouterDaemon:
    """Bind the sockets and connect the components.

    Needs a running event loop.
    """
    callers = HttpServer(settings.listen.callers)
    peers = HttpServer(settings.listen.peers)
    address = settings.listen.advertise or peers.text
    join = Join(incarnation, ROUTER, settings.data_centre, address)
    session = new_client_session()
    process = new_router_process(
        settings,
        join=join,
        session=session,
        telemetry=telemetry,
    )
    return RouterDaemon(
        process,
        settings=settings,
        session=session,
        telemetry=telemetry,
        callers=callers,
        peers=peers,
    )
