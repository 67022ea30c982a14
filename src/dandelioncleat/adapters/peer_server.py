"""Serves the calls of other processes over WebSocket connections."""

import asyncio
import hmac
from collections.abc import Callable
from contextlib import aclosing, suppress

from aiohttp import WSMsgType, web

from dandelioncleat.adapters.frames.codec import (
    Frame,
    FrameKind,
    decode_frame,
    encode_frame,
)
from dandelioncleat.adapters.websocket_peers import (
    HEARTBEAT_S,
    INCARNATION_HEADER,
    MAX_FRAME_BYTES,
    PEERS_PATH,
    credential,
)
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import Message, refusal
from dandelioncleat.ports.peer import CallContext, PeerHandler


class PeerServer:
    """Serves connections that present the fleet's secret."""

    def __init__(
        self,
        handler: PeerHandler,
        *,
        fleet_secret: str,
        version: Callable[[], int],
        on_version: Callable[[str, int], None],
    ) -> None:
        """Take the handler of calls and this process's version."""
        self.handler = handler
        self.version = version
        self.on_version = on_version
        self._expected = credential(fleet_secret).encode()
        self._sockets: set[web.WebSocketResponse] = set()

    async def accept(self, request: web.Request) -> web.StreamResponse:
        """Serve one connection until it closes."""
        given = request.headers.get('Authorization', '').encode()
        if not hmac.compare_digest(self._expected, given):
            raise web.HTTPUnauthorized(text='wrong fleet secret')
        socket = web.WebSocketResponse(
            heartbeat=HEARTBEAT_S,
            max_msg_size=MAX_FRAME_BYTES,
        )
        await socket.prepare(request)
        self._sockets.add(socket)
        sender = Incarnation(request.headers.get(INCARNATION_HEADER, ''))
        await _ServerConnection(self, socket, sender).run()
        self._sockets.discard(socket)
        return socket

    async def close(self, _application: web.Application) -> None:
        """Close every connection, so that the callers notice at once."""
        for socket in tuple(self._sockets):
            await socket.close(message=b'stopping')


class _ServerConnection:
    """Runs the calls of one connection, a task for each."""

    def __init__(
        self,
        server: PeerServer,
        socket: web.WebSocketResponse,
        sender: Incarnation,
    ) -> None:
        self._server = server
        self._socket = socket
        self._sender = sender
        self._tasks_by_call: dict[int, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Read frames until the connection closes."""
        try:
            async for message in self._socket:
                if message.type != WSMsgType.BINARY:
                    break
                self._receive(decode_frame(message.data, peer=self._sender))
        except FailureError:
            await self._socket.close(message=b'malformed frame')
        finally:
            await self._cancel_all()

    def _receive(self, frame: Frame) -> None:
        self._server.on_version(self._sender, frame.version)
        if frame.kind == FrameKind.CANCEL:
            task = self._tasks_by_call.get(frame.call)
            if task is not None:
                task.cancel()
        elif frame.kind == FrameKind.CALL and frame.body is not None:
            self._start(frame, frame.body)

    def _start(self, frame: Frame, message: Message) -> None:
        task = asyncio.create_task(self._answer(frame, message))
        self._tasks_by_call[frame.call] = task
        task.add_done_callback(
            lambda _task: self._tasks_by_call.pop(frame.call, None),
        )

    async def _answer(self, frame: Frame, message: Message) -> None:
        context = CallContext(
            self._sender,
            frame.version,
            frame.traceparent,
        )
        replies = self._server.handler.answer(message, context)
        last = FrameKind.FAILED
        try:
            async with aclosing(replies):  # type: ignore[type-var]
                async for reply in replies:
                    await self._send(frame.call, FrameKind.REPLY, reply)
            last = FrameKind.END
        except FailureError as error:
            refused = refusal(error.failure, ran=True)
            await self._send(frame.call, FrameKind.REPLY, refused)
            last = FrameKind.END
        finally:
            await self._send(frame.call, last)

    async def _send(
        self,
        call: int,
        kind: FrameKind,
        body: Message | None = None,
    ) -> None:
        if self._socket.closed:
            return
        frame = Frame(call, kind, self._server.version(), body=body)
        with suppress(ConnectionError):
            await self._socket.send_bytes(encode_frame(frame))

    async def _cancel_all(self) -> None:
        tasks = tuple(self._tasks_by_call.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def add_peer_routes(application: web.Application, server: PeerServer) -> None:
    """Serve the calls of other processes from an application."""
    application.on_shutdown.append(server.close)
    application.router.add_get(PEERS_PATH, server.accept)
