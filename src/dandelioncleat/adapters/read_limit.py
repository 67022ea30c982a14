"""Limits what one peer can make the event loop read in a turn, and a second.

A peer that sends tiny pieces costs far more processor time a byte than others.
Its lines are counted, as each piece of a body in chunks, each field of a head
and each event of a stream has one or more.
"""

import asyncio
from typing import Any

from aiohttp.base_protocol import BaseProtocol

READ_BYTES = 32 * 1024
# Streams that had been held up bring some hundred events at once.
MAX_LINES = 2_000
LINES_PER_S = 2_000


def limit_reads(transport: asyncio.BaseTransport | None) -> None:
    """Let the event loop read 32 KiB of a connection in one turn.

    asyncio reads up to 256 KiB otherwise, of each connection.
    """
    if transport is not None and hasattr(transport, 'max_size'):
        transport.max_size = READ_BYTES


class LineBudget:
    """The lines that a connection may send, in any second and at once."""

    def __init__(self) -> None:
        """Start with a full budget."""
        self._lines = float(MAX_LINES)
        self._counted_at = float('-inf')

    def pause_s(self, data: bytes, now: float) -> float:
        """Count what has arrived; return how long to read nothing, in seconds.

        :param now: event loop time in seconds
        """
        refilled = self._lines + LINES_PER_S * (now - self._counted_at)
        self._lines = min(MAX_LINES, refilled) - data.count(b'\n')
        self._counted_at = now
        return max(0, -self._lines / LINES_PER_S)


class PacedProtocol(BaseProtocol):
    """Reads little in one turn, and pauses after too many lines.

    To be mixed into the protocols of aiohttp, whose own flow control must not
    end the pause.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Start without a pause."""
        super().__init__(*args, **options)
        self._lines = LineBudget()
        self._pause: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Read little of the connection in one turn."""
        super().connection_made(transport)
        limit_reads(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the pause of a closed connection."""
        if self._pause is not None:
            self._pause.cancel()
        super().connection_lost(exc)

    def note_lines(self, data: bytes) -> None:
        """Pause if too many lines have arrived."""
        loop = asyncio.get_running_loop()
        pause_s = self._lines.pause_s(data, loop.time())
        if pause_s and self._pause is None:
            self._pause_transport_reading()
            self._pause = loop.call_later(pause_s, self._end_pause)

    def _end_pause(self) -> None:
        self._pause = None
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if self._pause is None:
            super()._resume_transport_reading()
