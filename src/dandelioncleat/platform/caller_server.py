"""Accepts callers' connections within the configured limits."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from dandelioncleat.adapters.connection_bound import ConnectionBound
from dandelioncleat.adapters.connection_memory import ConnectionMemory
from dandelioncleat.core.deployment import CallerLimits
from dandelioncleat.platform.caller_connection import CallerConnection
from dandelioncleat.platform.callers import CallerHandler


class _CallerServer(web.Server):
    """Creates connections that also limit the time of a request head."""

    def __init__(
        self,
        handler: CallerHandler,
        limits: CallerLimits,
        bound: ConnectionBound | None,
        memory: ConnectionMemory | None,
    ) -> None:
        super().__init__(handler.handle, handler_cancellation=True)
        self._options: dict[str, Any] = {
            'bound': bound,
            'memory': memory,
            'header_s': limits.header_s,
            'keepalive_timeout': limits.idle_s,
            'head_bytes': limits.header_bytes,
            'access_log': None,
            # Targets get the bytes that the caller has sent.
            'auto_decompress': False,
        }

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return CallerConnection(self, loop=loop, **self._options)


def new_caller_server(
    handler: CallerHandler,
    limits: CallerLimits,
    *,
    bound: ConnectionBound | None = None,
    memory: ConnectionMemory | None = None,
) -> web.Server:
    """Return a server for callers; requires a running event loop.

    :param bound: limits the connections of all callers
    :param memory: what all connections of the process may hold
    """
    return _CallerServer(handler, limits, bound, memory)


def stop_reading(server: web.Server) -> None:
    """Leave what callers send from now on unread.

    A process that is about to exit would close the connection of a request
    that it has read without an answer; one that was not read may be sent
    elsewhere.
    """
    for connection in server.connections:
        if connection.transport is not None:
            connection.transport.pause_reading()
