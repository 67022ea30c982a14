"""Calls to other processes over WebSocket connections of aiohttp."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

import aiohttp

from dandelioncleat.adapters._peer_connection import (
    PeerConnection,
    unreachable,
)
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import Message

HEARTBEAT_S = 4.0
CONNECT_TIMEOUT_S = 2.0
PEERS_PATH = '/peers'
INCARNATION_HEADER = 'X-Incarnation'
MAX_FRAME_BYTES = 32 * 1024 * 1024


class WebSocketPeers:
    """Keeps one connection to each address that is called."""

    def __init__(
        self,
        *,
        incarnation: Incarnation,
        fleet_secret: str,
        version: Callable[[], int],
        on_version: Callable[[str, int], None],
    ) -> None:
        """Take this process's identity and its configuration version.

        :param on_version: called with the address and version of each frame
        """
        self._headers = {
            INCARNATION_HEADER: incarnation,
            'Authorization': credential(fleet_secret),
        }
        self._version = version
        self._on_version = on_version
        self._session: aiohttp.ClientSession | None = None
        self._connections_by_address: dict[str, PeerConnection] = {}
        self._locks_by_address: dict[str, asyncio.Lock] = {}
        self._closing: set[asyncio.Task[None]] = set()

    async def stream(
        self,
        address: str,
        message: Message,
        *,
        traceparent: str = '',
    ) -> AsyncIterator[Message]:
        """Send a message and yield its replies until the last."""
        connection = await self._connection(address)
        replies = connection.call(message, traceparent)
        async with aclosing(replies):
            async for reply in replies:
                yield reply

    async def call(
        self,
        address: str,
        message: Message,
        *,
        timeout_s: float,
        traceparent: str = '',
    ) -> Message:
        """Send a message and return its only reply.

        A connection that was silent all the while is not used again.
        """
        started_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._first_reply(address, message, traceparent)
        except TimeoutError as error:
            self._drop_if_silent(address, started_at)
            raise unreachable('call', address, 'timed out') from error

    async def close(self) -> None:
        """Close every connection."""
        for connection in tuple(self._connections_by_address.values()):
            await connection.close()
        self._connections_by_address.clear()
        for task in tuple(self._closing):
            task.cancel()
        if self._session is not None:
            await self._session.close()

    async def abort(self) -> None:
        """Drop every connection without a closing handshake."""
        if self._session is not None:
            await self._session.close()

    def _drop_if_silent(self, address: str, since: float) -> None:
        connection = self._connections_by_address.get(address)
        if connection is None or connection.last_frame_at > since:
            return
        self._connections_by_address.pop(address)
        task = asyncio.create_task(connection.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _first_reply(
        self,
        address: str,
        message: Message,
        traceparent: str,
    ) -> Message:
        replies = self.stream(address, message, traceparent=traceparent)
        async with aclosing(replies):  # type: ignore[type-var]
            async for reply in replies:
                return reply
        raise unreachable('call', address, 'ended without a reply')

    async def _connection(self, address: str) -> PeerConnection:
        lock = self._locks_by_address.setdefault(address, asyncio.Lock())
        async with lock:
            connection = self._connections_by_address.get(address)
            if connection is None or connection.closed:
                connection = await self._connect(address)
                self._connections_by_address[address] = connection
            return connection

    async def _connect(self, address: str) -> PeerConnection:
        if self._session is None:
            self._session = aiohttp.ClientSession(headers=self._headers)
        if self._session.closed:
            raise unreachable('connect', address, 'the HTTP session is closed')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                socket = await self._session.ws_connect(
                    f'http://{address}{PEERS_PATH}',
                    heartbeat=HEARTBEAT_S,
                    max_msg_size=MAX_FRAME_BYTES,
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            text = str(error) or 'timed out'
            raise unreachable('connect', address, text) from error
        return PeerConnection(
            socket,
            address=address,
            version=self._version,
            on_version=self._on_version,
        )


def credential(fleet_secret: str) -> str:
    """Return the header that proves that a process is in the fleet.

    :param fleet_secret: empty if the network admits no other processes
    """
    return f'Bearer {fleet_secret}'.rstrip()
