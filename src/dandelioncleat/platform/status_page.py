"""Serves the readiness and the metrics of a process over HTTP."""

import socket
from collections.abc import Callable, Iterable

from aiohttp import web

from dandelioncleat.adapters.bounded_server import BoundedAppRunner
from dandelioncleat.adapters.connection_bound import ConnectionBound
from dandelioncleat.adapters.connection_memory import ConnectionMemory
from dandelioncleat.adapters.listening import start_site
from dandelioncleat.platform.names import METRICS_PATH, READY_PATH

NOT_READY = 503
SHUTDOWN_S = 0.1
# The platform and a collector of metrics need a few.
MAX_CONNECTIONS = 32


class StatusPage:
    """Serves the readiness page and the metrics page."""

    def __init__(self, metrics_page: Callable[[], bytes]) -> None:
        """Initialise.

        :param metrics_page: returns the page of metrics
        """
        self._metrics_page = metrics_page
        self._is_ready: Callable[[], bool] = bool
        self._runner: web.AppRunner | None = None

    async def start(
        self,
        sockets: Iterable[socket.socket],
        *,
        memory: ConnectionMemory,
        is_ready: Callable[[], bool],
    ) -> None:
        """Serve both pages at each address.

        :param memory: what all connections of the process may hold
        """
        self._is_ready = is_ready
        application = web.Application()
        application.router.add_get(READY_PATH, self._show_ready)
        application.router.add_get(METRICS_PATH, self._show_metrics)
        self._runner = BoundedAppRunner(
            application,
            memory=memory,
            bound=ConnectionBound(
                'status', most=MAX_CONNECTIONS, telemetry=memory.telemetry
            ),
            access_log=None,
            shutdown_timeout=SHUTDOWN_S,
        )
        await self._runner.setup()
        for sock in sockets:
            await start_site(self._runner, sock)

    async def stop(self) -> None:
        """Stop serving the pages."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _show_ready(self, request: web.Request) -> web.Response:
        if self._is_ready():
            return web.Response(text='ready')
        return web.Response(status=NOT_READY, text='not ready')

    async def _show_metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=self._metrics_page())
