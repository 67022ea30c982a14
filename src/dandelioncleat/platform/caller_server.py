"""Accepts callers' connections within the configured limits."""

import asyncio
from typing import Any

import structlog
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from dandelioncleat.core.deployment import CallerLimits
from dandelioncleat.platform.callers import CallerHandler

_logger = structlog.get_logger(__name__)


class _CallerConnection(RequestHandler):
    """Closes a connection whose request head takes too long to arrive.

    aiohttp only limits the idle time between two requests.
    """

    def __init__(
        self, server: web.Server, *, header_s: float, **options: Any
    ) -> None:
        """Initialise.

        :param header_s: maximum time for a request head, in seconds
        """
        super().__init__(server, **options)
        self._header_s = header_s
        self._timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Receive bytes; the first ones of a head start its timer."""
        super().data_received(data)
        if self._messages or self._current_request is not None:
            self._stop_timer()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._header_s, self._close_overdue)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer of a closed connection."""
        self._stop_timer()
        super().connection_lost(exc)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_overdue(self) -> None:
        self._timer = None
        _logger.info('head of a request late', limit_s=self._header_s)
        self.force_close()


class _CallerServer(web.Server):
    """Creates connections that also limit the time of a request head."""

    def __init__(self, handler: CallerHandler, limits: CallerLimits) -> None:
        super().__init__(handler.handle, handler_cancellation=True)
        self._options: dict[str, Any] = {
            'header_s': limits.header_s,
            'keepalive_timeout': limits.idle_s,
            'max_line_size': limits.header_bytes,
            'max_field_size': limits.header_bytes,
            'access_log': None,
        }

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return _CallerConnection(self, loop=loop, **self._options)


def new_caller_server(
    handler: CallerHandler, limits: CallerLimits
) -> web.Server:
    """Return a server for callers; requires a running event loop."""
    return _CallerServer(handler, limits)


def stop_reading(server: web.Server) -> None:
    """Leave what callers send from now on unread.

    A process that is about to exit would close the connection of a request
    that it has read without an answer; one that was not read may be sent
    elsewhere.
    """
    for connection in server.connections:
        if connection.transport is not None:
            connection.transport.pause_reading()
