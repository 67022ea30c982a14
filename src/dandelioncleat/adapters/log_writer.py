"""Writes log lines without blocking the event loop."""

import json
import sys
import threading
from collections import deque
from typing import TextIO

MAX_QUEUED_LINES = 4000
# Lines that hold what peers have sent may be long.
MAX_QUEUED_CHARACTERS = 2 * 1024 * 1024
FLUSH_INTERVAL_S = 0.1


class LogWriter:
    """Queues lines for a thread; counts those that a full queue drops."""

    def __init__(self, stream: TextIO | None = None) -> None:
        """Take the stream, standard output by default."""
        self.dropped = 0
        self._reported = 0
        self._stream = stream or sys.stdout
        self._lines: deque[str] = deque()
        self._queued_characters = 0
        self._wake = threading.Event()
        self._is_closed = False
        self._thread = threading.Thread(
            target=self._run, name='log-writer', daemon=True
        )
        self._thread.start()

    def write(self, text: str) -> None:
        """Queue text; structlog writes a line in one or two parts."""
        characters = self._queued_characters + len(text)
        is_full = len(self._lines) >= MAX_QUEUED_LINES
        if is_full or characters > MAX_QUEUED_CHARACTERS:
            self.dropped += 1
            return
        self._queued_characters = characters
        self._lines.append(text)
        self._wake.set()

    def flush(self) -> None:
        """Do nothing: the thread flushes after each write."""

    def close(self, *, limit_s: float) -> None:
        """Write what is queued and end the thread.

        :param limit_s: seconds after which the remaining lines are dropped
        """
        self._is_closed = True
        self._wake.set()
        self._thread.join(limit_s)

    def _run(self) -> None:
        while not self._is_closed:
            self._wake.wait()
            self._wake.clear()
            self._write_queued()
            # The pause batches lines into one write.
            threading.Event().wait(FLUSH_INTERVAL_S)
        self._write_queued()

    def _write_queued(self) -> None:
        parts = []
        if self.dropped > self._reported:
            parts.append(_dropped_line(self.dropped - self._reported))
            self._reported = self.dropped
        written = 0
        while self._lines:
            parts.append(self._lines.popleft())
            written += len(parts[-1])
        if parts:
            self._stream.write(''.join(parts))
            self._stream.flush()
            # Some more may be queued meanwhile; the bound need not be exact.
            self._queued_characters -= written


def _dropped_line(count: int) -> str:
    line = {'event': 'log lines dropped', 'level': 'warning', 'count': count}
    return f'{json.dumps(line)}\n'
