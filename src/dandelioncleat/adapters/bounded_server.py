"""HTTP servers that keep little of what a faulty peer sends."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from dandelioncleat.adapters.read_limit import PacedProtocol


class BoundedRequestHandler(PacedProtocol, RequestHandler):
    """Discards all that follows bytes that are no request.

    aiohttp would keep an error for each piece of them until it has closed the
    connection.
    """

    def __init__(self, server: web.Server, **options: Any) -> None:
        """Initialise for one connection."""
        super().__init__(server, **options)
        self._has_failed = False

    def data_received(self, data: bytes) -> None:
        """Receive bytes of requests."""
        if self._has_failed:
            return
        if data:
            self.note_lines(data)
        super().data_received(data)
        messages = self._messages
        self._has_failed = bool(messages) and _is_error(messages[-1][0])


class BoundedServer(web.Server):
    """Creates connections that keep little of what a faulty peer sends."""

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return BoundedRequestHandler(self, loop=loop, **self._kwargs)


class BoundedAppRunner(web.AppRunner):
    """Serves an application by a ``BoundedServer``."""

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return BoundedServer(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )


def _is_error(message: object) -> bool:
    return isinstance(message, _ErrInfo)
