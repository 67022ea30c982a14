"""HTTP servers that keep little of what a faulty peer sends."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from dandelioncleat.adapters.bounded_requests import BoundedRequests
from dandelioncleat.adapters.connection_bound import ConnectionBound
from dandelioncleat.adapters.connection_memory import ConnectionMemory
from dandelioncleat.adapters.unread_answers import FREE_UNREAD_BYTES


class BoundedRequestHandler(BoundedRequests):
    """Closes a connection that takes what the process needs for others."""

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

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection, if there may be one more."""
        super().connection_made(transport)
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=FREE_UNREAD_BYTES)
        if self._bound is not None:
            self._bound.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget a connection that is closed."""
        if self._bound is not None:
            self._bound.remove(self)
        self._memory.unread.remove(self)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Note that the peer reads late."""
        super().pause_writing()
        if self.transport is not None:
            unread = self.transport.get_write_buffer_size()
            self._memory.unread.add(self, unread)

    def resume_writing(self) -> None:
        """Note that the peer has read."""
        self._memory.unread.remove(self)
        super().resume_writing()

    async def finish_response(
        self, *args: Any, **options: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Send an answer; the connection then waits for its next request."""
        finished = await super().finish_response(*args, **options)
        if self._bound is not None:
            self._bound.note_answered(self)
        return finished


class BoundedServer(web.Server):
    """Creates connections that keep little of what a faulty peer sends."""

    bound: ConnectionBound | None = None
    memory: ConnectionMemory | None = None

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return BoundedRequestHandler(
            self,
            bound=self.bound,
            memory=self.memory,
            loop=loop,
            **self._kwargs,
        )


class BoundedAppRunner(web.AppRunner):
    """Serves an application by a ``BoundedServer``."""

    def __init__(
        self,
        application: web.Application,
        *,
        memory: ConnectionMemory,
        bound: ConnectionBound | None = None,
        **options: Any,
    ) -> None:
        """Initialise with the application.

        :param memory: what all connections of the process may hold
        :param bound: limits the connections that are open
        """
        super().__init__(application, **options)
        self._memory = memory
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
        bounded.memory = self._memory
        return bounded
