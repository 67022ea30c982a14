"""Scripted handlers and WebSocket servers for tests of peers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from dandelioncleat.adapters.peer_server import PeerServer, add_peer_routes
from dandelioncleat.adapters.websocket_peers import WebSocketPeers
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import (
    AskStatus,
    Message,
    Resume,
    SealRun,
    WatchLoad,
)
from dandelioncleat.ports.peer import CallContext
from tests.builders.message import chunk

SECRET = 'fleet-secret'


class ScriptedHandler:
    """Gives a fixed answer to each kind of message."""

    def __init__(self) -> None:
        self.cancelled = asyncio.Event()
        self.contexts: list[CallContext] = []

    async def answer(
        self,
        message: Message,
        context: CallContext,
    ) -> AsyncIterator[Message]:
        self.contexts.append(context)
        match message:
            case Resume():
                for start in range(3):
                    yield chunk(start=start)
            case WatchLoad():
                yield chunk()
                try:
                    await asyncio.Event().wait()
                finally:
                    self.cancelled.set()
            case SealRun():
                raise failure_error(
                    Code.LOG, step='seal', peer='log', text='out'
                )
            case AskStatus():
                raise ZeroDivisionError


@asynccontextmanager
async def served(
    handler: ScriptedHandler,
    versions: list[tuple[str, int]],
    *,
    secret: str = SECRET,
) -> AsyncIterator[tuple[WebSocketPeers, str, web.AppRunner]]:
    application = web.Application()
    server = PeerServer(
        handler,
        fleet_secret=SECRET,
        version=lambda: 5,
        on_version=lambda *_: None,
    )
    add_peer_routes(application, server)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    peers = WebSocketPeers(
        incarnation=Incarnation('router-1/a'),
        fleet_secret=secret,
        version=lambda: 3,
        on_version=lambda address, version: versions.append((address, version)),
    )
    try:
        yield peers, f'127.0.0.1:{port}', runner
    finally:
        await peers.close()
        await runner.cleanup()
