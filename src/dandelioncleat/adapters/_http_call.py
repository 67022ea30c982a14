"""Short HTTP calls, whose errors become failures with step and peer."""

import asyncio
from collections.abc import Mapping
from typing import Any, NamedTuple

import aiohttp

from dandelioncleat.core.failure import Code, FailureError, failure_error

CALL_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
CONNECT_STEP = 'connect'
ERROR_STATUS = 400


class Origin(NamedTuple):
    """The code, step and peer of what may go wrong in a call."""

    code: Code
    step: str
    peer: str

    def failure(self, error: Exception) -> FailureError:
        """Return the failure for an error that the call raised.

        The step becomes ``connect`` where nothing was sent.
        """
        step = self.step
        if isinstance(error, aiohttp.ClientConnectorError):
            step = CONNECT_STEP
        text = str(error) or type(error).__name__
        return failure_error(self.code, step=step, peer=self.peer, text=text)


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def check(self, origin: Origin) -> bytes:
        """Return the body; raise a failure unless the call succeeded."""
        if self.status >= ERROR_STATUS:
            raise failure_error(
                origin.code,
                step=origin.step,
                peer=origin.peer,
                text=f'HTTP status {self.status}',
            )
        return self.body


async def call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    origin: Origin,
    timeout_s: float,
    **options: Any,
) -> Reply:
    """Make a call and read its whole answer."""
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    if session.closed:
        raise origin.failure(OSError('this process has closed'))
    try:
        async with session.request(
            method, url, timeout=timeout, **options
        ) as response:
            body = await response.read()
            return Reply(response.status, response.headers, body)
    except CALL_ERRORS as error:
        raise origin.failure(error) from error
