"""Calls between processes that share one event loop, with link faults."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import aclosing
from typing import NamedTuple

from dandelioncleat.adapters._peer_connection import unreachable
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import Message, refusal
from dandelioncleat.ports.peer import CallContext, PeerHandler

FAILURE_DETECTION_S = 4.0

Link = Callable[[str, str], float | None]
"""Returns the delay between two addresses in s; ``None`` if partitioned."""


class _Delivery(NamedTuple):
    arrives_at: float
    reply: Message | None
    is_reset: bool = False


class Endpoint:
    """One process of a network; its calls end when it is closed."""

    def __init__(self) -> None:
        """Start without a handler; calls wait for one."""
        self.handler: PeerHandler | None = None
        self.running = asyncio.Event()
        self.running.set()
        self.closed = asyncio.Event()
        self.calls: list[asyncio.Queue[_Delivery]] = []

    def answer(
        self,
        message: Message,
        context: CallContext,
    ) -> AsyncIterator[Message]:
        """Return the handler's replies."""
        if self.handler is None:
            raise LookupError('the endpoint has no handler')
        return self.handler.answer(message, context)

    def close(self) -> None:
        """Fail every call in progress."""
        self.closed.set()
        for queue in self.calls:
            queue.put_nowait(_Delivery(0, None, is_reset=True))


class MemoryNetwork:
    """Connects endpoints by address."""

    def __init__(self, link: Link) -> None:
        """Take the delays between addresses."""
        self.link = link
        self.endpoints_by_address: dict[str, Endpoint] = {}

    def open(self, address: str) -> Endpoint:
        """Open an address; its calls are refused until it has a handler."""
        endpoint = Endpoint()
        self.endpoints_by_address[address] = endpoint
        return endpoint

    def get_or_open(self, address: str) -> Endpoint:
        """Return the endpoint of an address; open it if there is none."""
        known = self.endpoints_by_address.get(address)
        return self.open(address) if known is None else known

    def serve(self, address: str, handler: PeerHandler) -> Endpoint:
        """Answer the calls to an address from now on."""
        endpoint = self.get_or_open(address)
        endpoint.handler = handler
        return endpoint

    def close(self, address: str) -> None:
        """End an endpoint and every call to it."""
        self.endpoints_by_address.pop(address).close()


class MemoryPeers:
    """Implements the peers port of one process on a memory network."""

    def __init__(
        self,
        network: MemoryNetwork,
        *,
        address: str,
        incarnation: Incarnation,
        version: Callable[[], int],
        on_version: Callable[[str, int], None],
    ) -> None:
        """Take the network and this process's identity."""
        self._network = network
        self._own = network.get_or_open(address)
        self._address = address
        self._incarnation = incarnation
        self._version = version
        self._on_version = on_version

    async def stream(
        self,
        address: str,
        message: Message,
        *,
        traceparent: str = '',
    ) -> AsyncGenerator[Message, None]:
        """Send a message and yield its replies until the last."""
        await self._own.running.wait()
        endpoint = await self._reach(address)
        context = CallContext(self._incarnation, self._version(), traceparent)
        queue: asyncio.Queue[_Delivery] = asyncio.Queue()
        endpoint.calls.append(queue)
        replies = endpoint.answer(message, context)
        pump = asyncio.create_task(self._pump(address, replies, queue))
        try:
            while True:
                reply = await self._receive(address, endpoint, queue)
                await self._own.running.wait()
                if reply is None:
                    return
                yield reply
        finally:
            endpoint.calls.remove(queue)
            await _cancel(pump)

    async def call(
        self,
        address: str,
        message: Message,
        *,
        timeout_s: float,
        traceparent: str = '',
    ) -> Message:
        """Send a message and return its only reply."""
        replies = self.stream(address, message, traceparent=traceparent)
        try:
            async with asyncio.timeout(timeout_s), aclosing(replies):
                async for reply in replies:
                    return reply
        except TimeoutError as error:
            raise unreachable('call', address, 'timed out') from error
        raise unreachable('call', address, 'ended without a reply')

    async def _reach(self, address: str) -> Endpoint:
        endpoint = self._network.endpoints_by_address.get(address)
        delay_s = self._network.link(self._address, address)
        if delay_s is None or self._own.closed.is_set():
            await asyncio.sleep(FAILURE_DETECTION_S)
            raise unreachable('connect', address, 'timed out')
        await asyncio.sleep(delay_s)
        if endpoint is None or endpoint.handler is None:
            raise unreachable('connect', address, 'connection refused')
        await endpoint.running.wait()
        if endpoint.closed.is_set():
            raise unreachable('connect', address, 'connection reset')
        return endpoint

    async def _pump(
        self,
        address: str,
        replies: AsyncIterator[Message],
        queue: asyncio.Queue[_Delivery],
    ) -> None:
        try:
            async with aclosing(replies):  # type: ignore[type-var]
                async for reply in replies:
                    self._send(address, reply, queue)
        except FailureError as error:
            self._send(address, refusal(error.failure, ran=True), queue)
        self._send(address, None, queue)

    def _send(
        self,
        address: str,
        reply: Message | None,
        queue: asyncio.Queue[_Delivery],
    ) -> None:
        delay_s = self._network.link(address, self._address)
        if delay_s is not None:
            now = asyncio.get_running_loop().time()
            queue.put_nowait(_Delivery(now + delay_s, reply))

    async def _receive(
        self,
        address: str,
        endpoint: Endpoint,
        queue: asyncio.Queue[_Delivery],
    ) -> Message | None:
        while True:
            try:
                async with asyncio.timeout(FAILURE_DETECTION_S):
                    delivery = await queue.get()
            except TimeoutError:
                self._check_link(address)
                continue
            if delivery.is_reset:
                raise unreachable('stream', address, 'connection reset')
            return await self._deliver(endpoint, delivery)

    async def _deliver(
        self, endpoint: Endpoint, delivery: _Delivery
    ) -> Message | None:
        delay_s = delivery.arrives_at - asyncio.get_running_loop().time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        await endpoint.running.wait()
        return delivery.reply

    def _check_link(self, address: str) -> None:
        if self._network.link(address, self._address) is None:
            raise unreachable('stream', address, 'heartbeat timed out')


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
