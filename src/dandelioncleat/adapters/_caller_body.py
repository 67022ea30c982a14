"""Reads callers' bodies within limits of size, time and memory."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import web

from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.held_bytes import DEFAULT_MEMORY_MB, pool_bytes

MAX_BODY_BYTES = 4 * 1024 * 1024
# A body is kept twice as often on its way to a sidecar as to a target.
POOL_SHARE = 0.5
BODY_TIMEOUT_S = 30.0
STEP = 'body'


def total_body_bytes(memory_mb: float) -> int:
    """Return the maximum of all bodies together; the largest one fits.

    :param memory_mb: memory of the process, in MiB
    """
    return max(MAX_BODY_BYTES, int(POOL_SHARE * pool_bytes(memory_mb)))


class BodyMemory:
    """Limits the total size of the bodies in memory at one time."""

    def __init__(
        self,
        *,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_total_bytes: int | None = None,
        timeout_s: float = BODY_TIMEOUT_S,
    ) -> None:
        """Take the limits; ``timeout_s`` applies to each body."""
        self.used_bytes = 0
        self.max_body_bytes = max_body_bytes
        if max_total_bytes is None:
            max_total_bytes = total_body_bytes(DEFAULT_MEMORY_MB)
        self._max_total_bytes = max_total_bytes
        self._timeout_s = timeout_s

    @contextmanager
    def reserve(
        self, request: web.Request, *, max_body_bytes: int | None = None
    ) -> Iterator['ReservedBody']:
        """Reserve memory for a request's body while it is served.

        :param max_body_bytes: a lower limit than that of callers' bodies
        """
        limit = self.max_body_bytes
        if max_body_bytes is not None:
            limit = min(limit, max_body_bytes)
        body = ReservedBody(self, request, limit)
        body.grow_to(request.content_length or 0)
        try:
            yield body
        finally:
            self.used_bytes -= body.reserved_bytes

    def take(self, count: int) -> None:
        """Reserve some bytes more.

        :raises FailureError: if the bodies of other requests need them
        """
        if self.used_bytes + count > self._max_total_bytes:
            raise failure_error(
                Code.CAPACITY,
                step=STEP,
                peer='',
                text='the bodies of open requests exceed the memory limit',
            )
        self.used_bytes += count

    @property
    def timeout_s(self) -> float:
        """Return the time in which a body must arrive, in seconds."""
        return self._timeout_s


class ReservedBody:
    """The body of a request, with what is reserved for it."""

    def __init__(
        self, memory: BodyMemory, request: web.Request, max_bytes: int
    ) -> None:
        """Initialise without a reservation.

        :param max_bytes: maximum size of the body
        """
        self.reserved_bytes = 0
        self._memory = memory
        self._request = request
        self._max_bytes = max_bytes

    def grow_to(self, size: int) -> None:
        """Reserve what a body of some size needs.

        :raises FailureError: if it is too large, or does not fit
        """
        if size > self._max_bytes:
            raise failure_error(
                Code.TOO_LARGE,
                step=STEP,
                peer='',
                text=f'the body exceeds {self._max_bytes} bytes',
            )
        if size > self.reserved_bytes:
            self._memory.take(size - self.reserved_bytes)
            self.reserved_bytes = size

    async def read(self) -> bytes:
        """Return the whole body or raise ``FailureError``."""
        timeout_s = self._memory.timeout_s
        body = bytearray()
        try:
            async with asyncio.timeout(timeout_s):
                async for data in self._request.content.iter_any():
                    self.grow_to(len(body) + len(data))
                    body += data
        except TimeoutError as error:
            raise failure_error(
                Code.INVALID,
                step=STEP,
                peer='',
                text=f'the body did not arrive in {timeout_s} s',
            ) from error
        return bytes(body)
