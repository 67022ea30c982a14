"""Serves one HTTP application; a stop lets open responses finish."""

import socket

from aiohttp import web

from dandelioncleat.adapters.bounded_server import BoundedAppRunner
from dandelioncleat.adapters.connection_bound import ConnectionBound
from dandelioncleat.adapters.connection_memory import ConnectionMemory
from dandelioncleat.adapters.listening import BACKLOG, start_site
from dandelioncleat.daemons.settings import Address, parse_address

SHUTDOWN_TIMEOUT_S = 5.0


class HttpServer:
    """A server whose socket is bound before it serves requests."""

    def __init__(self, listen: str) -> None:
        """Bind to ``ip:port``; port 0 lets the system choose one."""
        requested = parse_address(listen)
        family = socket.AF_INET6 if ':' in requested.ip else socket.AF_INET
        self._socket = socket.create_server(
            (requested.ip, requested.port),
            family=family,
            backlog=BACKLOG,
        )
        self.address = Address(requested.ip, self._socket.getsockname()[1])
        self._runner: web.AppRunner | None = None

    @property
    def text(self) -> str:
        """Return the address as ``ip:port``."""
        ip, port = self.address
        return f'[{ip}]:{port}' if ':' in ip else f'{ip}:{port}'

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://{self.text}'

    async def start(
        self,
        application: web.Application,
        *,
        memory: ConnectionMemory,
        most_connections: int,
    ) -> None:
        """Serve an application; a disconnect cancels the handler.

        :param memory: what all connections of the process may hold
        :param most_connections: number of connections that are kept open
        """
        self._runner = BoundedAppRunner(
            application,
            memory=memory,
            bound=ConnectionBound(
                self.text, most=most_connections, telemetry=memory.telemetry
            ),
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        await start_site(self._runner, self._socket)

    async def stop(self) -> None:
        """Close the socket and every connection."""
        if self._runner is not None:
            await self._runner.cleanup()
        self._socket.close()

    def abort(self) -> None:
        """Abort every connection at once, as a power loss does."""
        if self._runner is None or self._runner.server is None:
            return
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
