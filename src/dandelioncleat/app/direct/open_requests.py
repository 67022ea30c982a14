"""The requests that are being served, which a planned stop may end."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager


class RequestEndedError(Exception):
    """A planned stop has ended the request."""


class OpenRequests:
    """Keeps the open requests; ``idle`` is set while there is none."""

    def __init__(self) -> None:
        """Start without a request."""
        self.idle = asyncio.Event()
        self.idle.set()
        self._ids: list[str] = []
        self._timers: set[asyncio.Timeout] = set()

    @property
    def ids(self) -> tuple[str, ...]:
        """Return the ids of the open requests."""
        return tuple(self._ids)

    @contextmanager
    def added(self, request: str) -> Iterator[None]:
        """Keep a request until it has been answered."""
        self._ids.append(request)
        self.idle.clear()
        try:
            yield
        finally:
            self._ids.remove(request)
            if not self._ids:
                self.idle.set()

    @asynccontextmanager
    async def until_ended(self) -> AsyncIterator[None]:
        """Interrupt the work on a request once all are ended.

        :raises RequestEndedError: if that was the case
        """
        timer = asyncio.timeout(None)
        try:
            async with timer:
                self._timers.add(timer)
                yield
        except TimeoutError as error:
            if not timer.expired():
                raise
            raise RequestEndedError from error
        finally:
            self._timers.discard(timer)

    def end_all(self) -> None:
        """End the work on all open requests."""
        now = asyncio.get_running_loop().time()
        while self._timers:
            self._timers.pop().reschedule(now)
