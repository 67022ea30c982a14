"""HTTP client sessions that trust no bytes beyond what was asked for."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

# Interim answers (RFC 9110, 15.2) have lower statuses.
_FIRST_FINAL_STATUS = 200


class _StrictProtocol(ResponseHandler):
    """Fails a body that a reset cut off, and closes on unexpected bytes.

    aiohttp otherwise treats a body without length or chunks as complete, and
    bytes on an idle connection as the answer to the next request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a request."""
        super().__init__(loop=loop)
        self._is_answer_due = False

    def set_response_params(self, **params: Any) -> None:
        """Expect an answer."""
        self._is_answer_due = True
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer; close the connection if none is due."""
        payload = self._payload
        is_reading = payload is not None and not payload.is_eof()
        # aiohttp resumes its parser with no data.
        if data and not self._is_answer_due and not is_reading:
            self.close()
            return
        super().data_received(data)

    def feed_data(self, message: Any, size: int = 0) -> None:
        """Note whether the head that has arrived is the answer's."""
        head, _ = message
        if head.code >= _FIRST_FINAL_STATUS:
            self._is_answer_due = False
        super().feed_data(message, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is being read if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f'connection lost: {exc}')
            )
        super().connection_lost(exc)


def new_connector(**options: Any) -> aiohttp.TCPConnector:
    """Return a connector whose connections follow the protocol strictly.

    Needs a running event loop.

    :param options: those of ``aiohttp.TCPConnector``
    """
    connector = aiohttp.TCPConnector(**options)
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(  # type: ignore[assignment]
        _StrictProtocol, loop=loop
    )
    return connector


def new_client_session() -> aiohttp.ClientSession:
    """Return a session with default options; needs a running event loop."""
    return aiohttp.ClientSession(connector=new_connector())
