"""The client side of a connection between two processes."""

import asyncio
import itertools
from collections.abc import AsyncGenerator, Callable

import aiohttp

from dandelioncleat.adapters.frames.codec import (
    Frame,
    FrameKind,
    decode_frame,
    encode_frame,
)
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.message import Message

MAX_QUEUED_FRAMES = 4096


class PeerConnection:
    """Multiplexes calls over one connection by call number.

    ``last_frame_at`` is when the peer last sent a frame, a loop time.
    """

    def __init__(
        self,
        socket: aiohttp.ClientWebSocketResponse,
        *,
        address: str,
        version: Callable[[], int],
        on_version: Callable[[str, int], None],
    ) -> None:
        """Take an open socket and start to read from it."""
        self._socket = socket
        self._address = address
        self._version = version
        self._on_version = on_version
        self._numbers = itertools.count(1)
        self._queues_by_call: dict[int, asyncio.Queue[Frame]] = {}
        self.last_frame_at = asyncio.get_running_loop().time()
        self._reader = asyncio.create_task(self._read())

    @property
    def closed(self) -> bool:
        """Return whether the connection accepts no more calls."""
        return self._socket.closed or self._reader.done()

    async def call(
        self,
        message: Message,
        traceparent: str,
    ) -> AsyncGenerator[Message, None]:
        """Send a message and yield its replies until the last."""
        number = next(self._numbers)
        queue: asyncio.Queue[Frame] = asyncio.Queue(MAX_QUEUED_FRAMES + 1)
        self._queues_by_call[number] = queue
        try:
            await self._send(FrameKind.CALL, number, message, traceparent)
            while True:
                frame = await queue.get()
                if frame.kind != FrameKind.REPLY or frame.body is None:
                    break
                yield frame.body
            if frame.kind != FrameKind.END:
                raise unreachable(
                    'stream', self._address, 'call was interrupted'
                )
            self._queues_by_call.pop(number, None)
        finally:
            await self._finish(number)

    async def close(self) -> None:
        """Close the socket and end every call."""
        await self._socket.close()
        self._reader.cancel()
        await asyncio.gather(self._reader, return_exceptions=True)

    async def _finish(self, number: int) -> None:
        if self._queues_by_call.pop(number, None) is None or self.closed:
            return
        await self._send(FrameKind.CANCEL, number)

    async def _send(
        self,
        kind: FrameKind,
        number: int,
        body: Message | None = None,
        traceparent: str = '',
    ) -> None:
        frame = Frame(number, kind, self._version(), traceparent, body)
        try:
            await self._socket.send_bytes(encode_frame(frame))
        except (aiohttp.ClientError, OSError) as error:
            raise unreachable('send', self._address, str(error)) from error

    async def _read(self) -> None:
        try:
            async for message in self._socket:
                if message.type != aiohttp.WSMsgType.BINARY:
                    break
                self._receive(decode_frame(message.data, peer=self._address))
        except FailureError:
            await self._socket.close()
        finally:
            self._fail_all()

    def _receive(self, frame: Frame) -> None:
        self.last_frame_at = asyncio.get_running_loop().time()
        self._on_version(self._address, frame.version)
        queue = self._queues_by_call.get(frame.call)
        if queue is None:
            return
        if queue.qsize() >= MAX_QUEUED_FRAMES:
            # The call fails; its reader resumes at the byte that it reached.
            self._fail(frame.call)
            return
        queue.put_nowait(frame)

    def _fail(self, number: int) -> None:
        queue = self._queues_by_call.pop(number)
        queue.put_nowait(Frame(number, FrameKind.FAILED, 0))

    def _fail_all(self) -> None:
        for number in tuple(self._queues_by_call):
            self._fail(number)


def unreachable(step: str, address: str, text: str) -> FailureError:
    """Return the error for a call without an answer."""
    return failure_error(
        Code.UNREACHABLE,
        step=step,
        peer=address,
        text=text,
    )
