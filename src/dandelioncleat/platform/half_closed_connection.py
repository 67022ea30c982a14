"""The connection of a caller that may close its sending side and read on."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import structlog
from aiohttp import HttpVersion11, web

from dandelioncleat.adapters.bounded_server import BoundedRequestHandler
from dandelioncleat.platform import names
from dandelioncleat.platform.caller_presence import (
    INTERIM_ANSWER,
    CallerPresence,
)

_logger = structlog.get_logger(__name__)


class CallerUnprovenError(Exception):
    """A caller may have left, and nothing can be written to find out."""


class HalfClosedConnection(BoundedRequestHandler):
    """Answers what has come whole before the caller closed its sending side.

    aiohttp would close the connection at once. ``presence`` finds out whether
    the caller has closed it whole. ``must_go_on`` returns whether the current
    run goes on though that can't be found out.
    """

    def __init__(self, server: web.Server, **options: Any) -> None:
        """Initialise for one connection."""
        super().__init__(server, **options)
        self.must_go_on: Callable[[], bool] = _ends
        self.presence = CallerPresence(
            transport=lambda: self.transport,
            output=self._output,
            on_unproven=self._end_serving,
        )
        self._serving: asyncio.Timeout | None = None
        self._answered_count = 0

    @property
    def ends_after_answer(self) -> bool:
        """Return whether no request can come after the current one."""
        return self.presence.closed_at is not None and not self._messages

    @asynccontextmanager
    async def while_caller_may_read(self) -> AsyncIterator[None]:
        """Interrupt the work on a request whose caller may have left.

        :raises CallerUnprovenError: if that was the case
        """
        if self.presence.is_unproven:
            raise CallerUnprovenError
        serving = asyncio.timeout(None)
        try:
            async with serving:
                self._serving = serving
                yield
        except TimeoutError as error:
            if not serving.expired():
                raise
            raise CallerUnprovenError from error
        finally:
            self._serving = None
            self.must_go_on = _ends

    def note_taken(self, request: web.BaseRequest) -> None:
        """Note that a request is being answered."""
        is_new = request.version >= HttpVersion11
        self.presence.begin_answer(INTERIM_ANSWER if is_new else None)

    def eof_received(self) -> bool:  # type: ignore[override]
        """Keep the connection while requests that came whole are unanswered.

        What came in part is discarded.
        """
        self._discard_part()
        is_kept = self._has_whole_requests
        if is_kept and self.presence.closed_at is None:
            _logger.info(
                'caller closed its sending side',
                request=_id_of(self._current_request),
                waiting=len(self._messages),
            )
            self.presence.begin()
        return is_kept

    async def finish_response(
        self, *args: Any, **options: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Send an answer; the last one ends a connection without requests."""
        self.presence.probe = None
        finished = await super().finish_response(*args, **options)
        self._answered_count += 1
        if self.ends_after_answer:
            self.close()
        return finished

    def connection_lost(self, exc: BaseException | None) -> None:
        """Look for the caller no more."""
        self.presence.stop()
        if exc is not None and self.presence.closed_at is not None:
            _logger.info(
                'caller left after closing its sending side',
                request=_id_of(self._current_request),
                after_s=round(self.presence.closed_s, 3),
            )
        super().connection_lost(exc)

    @property
    def _has_whole_requests(self) -> bool:
        if self._request_count == self._answered_count:
            return False
        return not self._is_body_due

    def _discard_part(self) -> None:
        """Discard the last request if it waits, and its body is incomplete."""
        if not self._messages or self._messages[-1][1].is_eof():
            return
        self.discard_last()
        self._answered_count += 1
        # Those before it have come whole.
        self._last_body = None

    def _output(self) -> object:
        """Return a value that changes as answers are written."""
        request = self._current_request
        if request is None:
            return None
        return id(request), request.writer.output_size

    def _end_serving(self) -> None:
        if self._serving is not None and not self.must_go_on():
            _logger.info(
                'caller may have left',
                request=_id_of(self._current_request),
                after_s=round(self.presence.closed_s, 3),
            )
            self._serving.reschedule(asyncio.get_running_loop().time())


def _id_of(request: web.BaseRequest | None) -> str | None:
    return None if request is None else request.headers.get(names.REQUEST_ID)


def _ends() -> bool:
    return False
