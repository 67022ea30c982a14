"""Short HTTP calls; errors become failures with step and peer."""

import asyncio
from collections.abc import Mapping
from typing import Any, NamedTuple

import aiohttp

from dandelioncleat.app.stall_timeout import stall_timeout
from dandelioncleat.core.failure import Code, FailureError, failure_error

CALL_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
CONNECT_STEP = 'connect'
ERROR_STATUS = 400
# The longest replies are pages of the store, about 1 MiB in base64.
MAX_REPLY_BYTES = 8 * 1024 * 1024
_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)


class FailureContext(NamedTuple):
    """The code, step and peer for a failure of a call."""

    code: Code
    step: str
    peer: str

    def failure(self, error: Exception) -> FailureError:
        """Return the failure for an error that the call raised.

        The step is ``connect`` if the connection failed: nothing was sent.
        """
        step = self.step
        if isinstance(error, aiohttp.ClientConnectorError):
            step = CONNECT_STEP
        text = str(error) or type(error).__name__
        return failure_error(self.code, step=step, peer=self.peer, text=text)


class Reply(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def check(self, context: FailureContext) -> bytes:
        """Return the body; raise ``FailureError`` on an error status."""
        if self.status >= ERROR_STATUS:
            raise failure_error(
                context.code,
                step=context.step,
                peer=context.peer,
                text=f'HTTP status {self.status}',
            )
        return self.body


async def read_bounded(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_REPLY_BYTES
) -> bytes:
    """Return the body of a short reply.

    :raises aiohttp.ClientPayloadError: above ``max_bytes``
    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > max_bytes:
            raise aiohttp.ClientPayloadError(
                f'the body exceeds {max_bytes} bytes'
            )
    return bytes(body)


async def call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    context: FailureContext,
    timeout_s: float,
    max_bytes: int = MAX_REPLY_BYTES,
    **options: Any,
) -> Reply:
    """Make a call and read the complete response.

    :param max_bytes: maximum size of its body
    """
    if session.closed:
        raise context.failure(OSError('the HTTP session is closed'))
    try:
        async with stall_timeout(timeout_s):
            async with session.request(
                method, url, timeout=_NO_TIMEOUT, **options
            ) as response:
                body = await read_bounded(response, max_bytes)
                return Reply(response.status, response.headers, body)
    except CALL_ERRORS as error:
        raise context.failure(error) from error
