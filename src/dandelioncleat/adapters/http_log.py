"""The platform's log service over HTTP, read by long polls."""

from typing import Any
from urllib.parse import quote

import aiohttp
import msgspec

from dandelioncleat.adapters._http_call import FailureContext, call
from dandelioncleat.core.decoding import UnreadableError, decode_bytes
from dandelioncleat.core.failure import Code
from dandelioncleat.ports.log import Page

CALL_TIMEOUT_S = 5.0

_PAGE_DECODER = msgspec.msgpack.Decoder(Page)


class _Appended(msgspec.Struct):
    """The answer to an append."""

    offset: int


_APPENDED_DECODER = msgspec.json.Decoder(_Appended)


class HttpLog:
    """Implements the ``Log`` port.

    The timeout of a long-poll read is extended by ``wait_s``.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        """Take the session to call with and the log's base URL."""
        self._session = session
        self._url = url.rstrip('/')
        self._timeout_s = timeout_s

    async def append(self, stream: str, data: bytes) -> int:
        """Append one entry and return its offset."""
        context = FailureContext(Code.LOG, 'append', self._url)
        body = await self._call(
            'POST', stream, context, self._timeout_s, data=data
        )
        try:
            return decode_bytes(_APPENDED_DECODER.decode, body).offset
        except UnreadableError as error:
            raise context.failure(error) from error

    async def read(
        self,
        stream: str,
        *,
        start: int,
        limit: int = 500,
        wait_s: float = 0,
    ) -> Page:
        """Return entries from ``start`` on; wait if there are none yet."""
        context = FailureContext(Code.LOG, 'read', self._url)
        query = {'start': start, 'limit': limit, 'wait_s': wait_s}
        body = await self._call(
            'GET', stream, context, self._timeout_s + wait_s, params=query
        )
        try:
            return decode_bytes(_PAGE_DECODER.decode, body)
        except UnreadableError as error:
            raise context.failure(error) from error

    async def _call(
        self,
        method: str,
        stream: str,
        context: FailureContext,
        timeout_s: float,
        **options: Any,
    ) -> bytes:
        reply = await call(
            self._session,
            method,
            f'{self._url}/streams/{quote(stream, safe="")}/entries',
            context=context,
            timeout_s=timeout_s,
            **options,
        )
        return reply.check(context)
