"""HTTP client sessions that tell a reset connection from a closed one."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler


class _ResetAwareProtocol(ResponseHandler):
    """Fails a body that a connection reset cut off.

    aiohttp otherwise treats a body without length or chunks as complete.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is being read if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f'connection lost: {exc}')
            )
        super().connection_lost(exc)


def new_connector(**options: Any) -> aiohttp.TCPConnector:
    """Return a connector that fails answers whose connection was reset.

    Needs a running event loop.

    :param options: those of ``aiohttp.TCPConnector``
    """
    connector = aiohttp.TCPConnector(**options)
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(  # type: ignore[assignment]
        _ResetAwareProtocol, loop=loop
    )
    return connector


def new_client_session() -> aiohttp.ClientSession:
    """Return a session with default options; needs a running event loop."""
    return aiohttp.ClientSession(connector=new_connector())
