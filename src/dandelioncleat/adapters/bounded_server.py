"""HTTP servers that keep little of what a faulty peer sends."""

import asyncio
from typing import Any

import structlog
from aiohttp import StreamReader, web
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from dandelioncleat.adapters.connection_bound import ConnectionBound
from dandelioncleat.adapters.read_limit import PacedProtocol

FAILED = 500
# Bounds what is logged of bytes that are no request, in characters.
MAX_REASON_LENGTH = 120

_logger = structlog.get_logger(__name__)


class BoundedRequestHandler(PacedProtocol, RequestHandler):
    """Discards all that follows bytes that are no request.

    aiohttp would keep an error for each piece of them until it has closed the
    connection.
    """

    def __init__(
        self,
        server: web.Server,
        *,
        bound: ConnectionBound | None = None,
        **options: Any,
    ) -> None:
        """Initialise for one connection.

        :param bound: limits the connections that are open
        """
        super().__init__(server, **options)
        self._has_failed = False
        self._bound = bound

    @property
    def is_waiting(self) -> bool:
        """Return whether no request has arrived whole that is not answered."""
        request = self._current_request
        if request is None:
            return not self._messages
        return not request.content.is_eof()

    @property
    def has_unsent(self) -> bool:
        """Return whether the peer has yet to read a part of an answer."""
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def _note_failure(self, message: object, payload: StreamReader) -> None:
        """Discard what follows an error, and the bytes that it quotes."""
        if not isinstance(message, _ErrInfo):
            return
        self._has_failed = True
        reason = message.message[:MAX_REASON_LENGTH]
        short = _ErrInfo(
            status=message.status, exc=BadHttpMessage(reason), message=reason
        )
        self._messages[-1] = (short, payload)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer what is no request, or could not be handled.

        aiohttp would log and send back all that the peer has sent.
        """
        _logger.info(
            'request cannot be read' if status < FAILED else 'request failed',
            peer=request.remote,
            status=status,
            reason=(message or repr(exc))[:MAX_REASON_LENGTH],
            exc_info=exc if status >= FAILED else None,
        )
        response = web.Response(status=status)
        response.force_close()
        return response

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection, if there may be one more."""
        super().connection_made(transport)
        if self._bound is not None:
            self._bound.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget a connection that is closed."""
        if self._bound is not None:
            self._bound.remove(self)
        super().connection_lost(exc)

    async def finish_response(
        self, *args: Any, **options: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Send an answer; the connection then waits for its next request."""
        finished = await super().finish_response(*args, **options)
        if self._bound is not None:
            self._bound.note_answered(self)
        return finished

    def data_received(self, data: bytes) -> None:
        """Receive bytes of requests."""
        if self._has_failed:
            return
        if data:
            self.note_lines(data)
        super().data_received(data)
        if self._messages:
            self._note_failure(*self._messages[-1])


class BoundedServer(web.Server):
    """Creates connections that keep little of what a faulty peer sends."""

    bound: ConnectionBound | None = None

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return BoundedRequestHandler(
            self, bound=self.bound, loop=loop, **self._kwargs
        )


class BoundedAppRunner(web.AppRunner):
    """Serves an application by a ``BoundedServer``."""

    def __init__(
        self,
        application: web.Application,
        *,
        bound: ConnectionBound | None = None,
        **options: Any,
    ) -> None:
        """Initialise with the application.

        :param bound: limits the connections that are open
        """
        super().__init__(application, **options)
        self._bound = bound

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        bounded = BoundedServer(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )
        bounded.bound = self._bound
        return bounded
