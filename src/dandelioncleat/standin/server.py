"""Serves a stand-in over HTTP; while it is down, its port is closed."""

import asyncio
from typing import Protocol

from aiohttp import web

from dandelioncleat.app.signal import Signal

SHUTDOWN_S = 0.1
LOOPBACK = '127.0.0.1'


class Crashable(Protocol):
    """A stand-in that can crash and restart."""

    crashed: Signal

    @property
    def down_s(self) -> float:
        """Seconds until the restart, 0 if it is up."""


class StandinServer:
    """Serves one application; ``url`` is its base URL."""

    def __init__(
        self,
        application: web.Application,
        *,
        crashable: Crashable | None = None,
    ) -> None:
        """Take the application and the stand-in that may crash."""
        self.url = ''
        self._runner = web.AppRunner(application, shutdown_timeout=SHUTDOWN_S)
        self._crashable = crashable
        self._watch_task: asyncio.Task[None] | None = None
        self._address = (LOOPBACK, 0)

    async def start(self, host: str = LOOPBACK, port: int = 0) -> None:
        """Listen; port 0 picks a free port."""
        await self._runner.setup()
        await self._listen(host, port)
        self._address = self._runner.addresses[0][:2]
        self.url = 'http://{}:{}'.format(*self._address)
        if self._crashable is not None:
            self._watch_task = asyncio.create_task(self._close_while_down())

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        await self._runner.cleanup()

    async def _listen(self, host: str, port: int) -> web.TCPSite:
        site = web.TCPSite(self._runner, host, port, reuse_address=True)
        await site.start()
        return site

    async def _close_while_down(self) -> None:
        crashable = self._crashable
        while crashable is not None:
            await crashable.crashed.wait()
            for site in tuple(self._runner.sites):
                await site.stop()
            _abort_connections(self._runner)
            await asyncio.sleep(crashable.down_s)
            await self._listen(*self._address)


async def start_server(
    application: web.Application,
    *,
    host: str = LOOPBACK,
    port: int = 0,
    crashable: Crashable | None = None,
) -> StandinServer:
    """Start serving an application."""
    server = StandinServer(application, crashable=crashable)
    await server.start(host, port)
    return server


def json_response(body: bytes, status: int = 200) -> web.Response:
    """Return a response with an encoded JSON body."""
    return web.Response(
        body=body, status=status, content_type='application/json'
    )


def _abort_connections(runner: web.AppRunner) -> None:
    if runner.server is None:
        return
    for connection in runner.server.connections:
        if connection.transport is not None:
            connection.transport.abort()
