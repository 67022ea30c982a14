"""Finds out whether a caller that has closed its sending side is still there.

A caller may close its sending side after its last request and read on
(RFC 9112, section 9.6). The end of its bytes looks the same if it has closed
the whole connection, but then it resets what is written to it.
"""

import asyncio
from collections.abc import Callable

# Any client of HTTP/1.1 must accept it before the answer (RFC 9110, 15.2).
INTERIM_ANSWER = b'HTTP/1.1 100 Continue\r\n\r\n'
# Sizes of chunks may begin with zeros (RFC 9112, section 7.1).
CHUNK_START = b'0'
MAX_CHUNK_STARTS = 8
# The reset that answers the first write lets the second one fail.
FIRST_PAUSES_S = (0.1, 0.05, 0.2)
PAUSE_S = 0.4
NEEDED_WRITES = 2


class CallerPresence:
    """Writes to a caller whose sending side is closed, until it has left.

    ``probe`` are the bytes that may be written at this point of an answer,
    ``None`` if there are none.
    """

    def __init__(
        self,
        *,
        transport: Callable[[], asyncio.Transport | None],
        output: Callable[[], object],
        on_unproven: Callable[[], None],
    ) -> None:
        """Initialise for a connection whose caller still sends.

        :param output: returns a value that changes as answers are written
        :param on_unproven: called if too little can be written to tell
        """
        self.probe: bytes | None = None
        self.closed_at: float | None = None
        self._transport = transport
        self._output = output
        self._on_unproven = on_unproven
        self._timer: asyncio.TimerHandle | None = None
        self._last_output: object = None
        self._chunk_starts = 0
        self._ticks = 0
        self._writes = 0

    @property
    def closed_s(self) -> float:
        """Return the time since the sending side was closed, in seconds."""
        if self.closed_at is None:
            return 0
        return asyncio.get_running_loop().time() - self.closed_at

    @property
    def is_unproven(self) -> bool:
        """Return whether the caller may have left, and nothing can tell."""
        has_looked = self._ticks >= len(FIRST_PAUSES_S)
        return has_looked and self._writes < NEEDED_WRITES

    def begin(self) -> None:
        """Begin to look, as the caller has closed its sending side."""
        if self.closed_at is not None:
            return
        self.closed_at = asyncio.get_running_loop().time()
        self._last_output = self._output()
        self._schedule()

    def begin_answer(self, probe: bytes | None) -> None:
        """Look anew for the caller of the next answer.

        :param probe: the bytes that may be written before it
        """
        self.probe = probe
        if self.closed_at is None:
            return
        self.stop()
        self._ticks = 0
        self._writes = 0
        self._last_output = self._output()
        self._schedule()

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._pause_s, self._look)

    @property
    def _pause_s(self) -> float:
        """Return the time until the next look, in seconds."""
        if self._ticks < len(FIRST_PAUSES_S):
            return FIRST_PAUSES_S[self._ticks]
        return PAUSE_S

    def _look(self) -> None:
        self._ticks += 1
        if self._has_written():
            self._writes += 1
        if self.is_unproven:
            self._on_unproven()
        self._schedule()

    def _has_written(self) -> bool:
        """Return whether the answer went on, or a probe was written."""
        output = self._output()
        if output != self._last_output:
            self._last_output = output
            self._chunk_starts = 0
            return True
        transport = self._transport()
        if transport is None:
            return False
        if transport.get_write_buffer_size():
            # The kernel is still writing, and notices a reset.
            return True
        if self.probe is None:
            return False
        if self.probe == CHUNK_START:
            if self._chunk_starts == MAX_CHUNK_STARTS:
                return False
            self._chunk_starts += 1
        transport.write(self.probe)
        return True
