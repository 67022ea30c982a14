"""The connection of a caller, with the time of its requests' heads."""

import asyncio
from collections import deque
from typing import Any

import structlog
from aiohttp import web

from dandelioncleat.platform.half_closed_connection import (
    HalfClosedConnection,
)

_logger = structlog.get_logger(__name__)


class CallerConnection(HalfClosedConnection):
    """Closes a connection whose request head takes too long to arrive.

    aiohttp only limits the idle time between two requests.
    """

    def __init__(
        self, server: web.Server, *, header_s: float, **options: Any
    ) -> None:
        """Initialise.

        :param header_s: maximum time for a request head, in seconds
        """
        super().__init__(server, **options)
        self._header_s = header_s
        self._timer: asyncio.TimerHandle | None = None
        self._head_began_at: float | None = None
        self._received_at = float('-inf')
        self._head_times: deque[float] = deque()

    def take_head_time(self) -> float:
        """Return when the head of the next request began to arrive.

        An event loop time in seconds. It may have waited for the answers to
        the requests ahead since then.
        """
        if self._head_times:
            return self._head_times.popleft()
        return asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        """Receive bytes; the first ones of a head start its timer."""
        if not data or self._has_failed:
            # aiohttp resumes its parser with no data.
            count = self._request_count
            super().data_received(data)
            self._note_heads(self._request_count - count)
            return
        self._received_at = asyncio.get_running_loop().time()
        may_begin = self._head_began_at is None and not self._is_body_due
        if may_begin or (self._is_idle and self._timer is None):
            self._head_began_at = self._received_at
        count = self._request_count
        super().data_received(data)
        self._note_heads(self._request_count - count)
        if not self._is_idle:
            self._stop_timer()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._header_s, self._close_overdue)

    def _note_heads(self, count: int) -> None:
        """Note when the heads that were just read began to arrive."""
        for _ in range(count):
            began_at = self._head_began_at
            if began_at is None:
                began_at = self._received_at
            self._head_times.append(began_at)
            self._head_began_at = None

    @property
    def _is_idle(self) -> bool:
        """Return whether no request has arrived that is not answered.

        A request is neither among the messages nor the current one for a turn
        of the event loop, in which more of its body may arrive.
        """
        if self._messages or self._current_request is not None:
            return False
        waiter = self._waiter
        is_waiting = waiter is not None and not waiter.done()
        return is_waiting or not self._request_count

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer of a closed connection."""
        self._stop_timer()
        super().connection_lost(exc)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_overdue(self) -> None:
        self._timer = None
        _logger.info('head of a request late', limit_s=self._header_s)
        self.force_close()
