"""Reads callers' bodies within bounds of size, time and memory."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import web

from dandelioncleat.core.failure import Code, failure_error

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_BODIES_BYTES = 64 * 1024 * 1024
BODY_TIMEOUT_S = 30.0
STEP = 'body'


class BodyMemory:
    """Bounds the bytes of all bodies that are held at one time."""

    def __init__(
        self,
        *,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_bodies_bytes: int = MAX_BODIES_BYTES,
        timeout_s: float = BODY_TIMEOUT_S,
    ) -> None:
        """Take the bounds; ``timeout_s`` is for one body, in seconds."""
        self.used_bytes = 0
        self.max_body_bytes = max_body_bytes
        self._max_bodies_bytes = max_bodies_bytes
        self._timeout_s = timeout_s

    @contextmanager
    def held(self, request: web.Request) -> Iterator[None]:
        """Keep room for a request's body while it is served."""
        size = request.content_length
        size = self.max_body_bytes if size is None else size
        if size > self.max_body_bytes:
            raise failure_error(
                Code.TOO_LARGE,
                step=STEP,
                peer='',
                text=f'a body may have {self.max_body_bytes} bytes',
            )
        if self.used_bytes + size > self._max_bodies_bytes:
            raise failure_error(
                Code.CAPACITY,
                step=STEP,
                peer='',
                text='too many bodies are being served',
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
                text=f'a body may have {self.max_body_bytes} bytes',
            ) from error
