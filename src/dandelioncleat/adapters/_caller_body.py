"""Reads callers' bodies within limits of size, time and memory."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import web

from dandelioncleat.core.failure import Code, failure_error

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_TOTAL_BYTES = 64 * 1024 * 1024
BODY_TIMEOUT_S = 30.0
STEP = 'body'


class BodyMemory:
    """Limits the total size of the bodies in memory at one time."""

    def __init__(
        self,
        *,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
        timeout_s: float = BODY_TIMEOUT_S,
    ) -> None:
        """Take the limits; ``timeout_s`` applies to each body."""
        self.used_bytes = 0
        self.max_body_bytes = max_body_bytes
        self._max_total_bytes = max_total_bytes
        self._timeout_s = timeout_s

    @contextmanager
    def reserve(self, request: web.Request) -> Iterator[None]:
        """Reserve memory for a request's body while it is served."""
        size = request.content_length
        size = self.max_body_bytes if size is None else size
        if size > self.max_body_bytes:
            raise failure_error(
                Code.TOO_LARGE,
                step=STEP,
                peer='',
                text=f'the body exceeds {self.max_body_bytes} bytes',
            )
        if self.used_bytes + size > self._max_total_bytes:
            raise failure_error(
                Code.CAPACITY,
                step=STEP,
                peer='',
                text='the bodies of open requests exceed the memory limit',
            )
        self.used_bytes += size
        try:
            yield
        finally:
            self.used_bytes -= size

    async def read(self, request: web.Request) -> bytes:
        """Return the whole body or raise ``FailureError``."""
        try:
            async with asyncio.timeout(self._timeout_s):
                return await request.read()
        except TimeoutError as error:
            raise failure_error(
                Code.INVALID,
                step=STEP,
                peer='',
                text=f'the body did not arrive in {self._timeout_s} s',
            ) from error
        except web.HTTPRequestEntityTooLarge as error:
            raise failure_error(
                Code.TOO_LARGE,
                step=STEP,
                peer='',
                text=f'the body exceeds {self.max_body_bytes} bytes',
            ) from error
