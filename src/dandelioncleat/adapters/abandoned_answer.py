"""Reads the end of an answer after its request was given up.

The sending side of the connection is closed, which a target can't tell from a
closed connection. What it has written by then still arrives, and its own close
comes after that.
"""

import asyncio

from multidict import CIMultiDict

from dandelioncleat.core.whole_number import whole_number
from dandelioncleat.ports.answer_watch import AnswerWatch

# A target that drops a request closes within a round trip. One that goes on
# with it finds the connection closed well within half a second.
READ_S = 0.25
# Heads are not larger; what comes after that is output.
MAX_HEAD_BYTES = 16 * 1024
STATUS_DIGITS = 3
_HEAD_END = b'\r\n\r\n'
_INTERIM = b'1'


class AbandonedAnswer(asyncio.Protocol):
    """The protocol of a connection from its request's end to its own."""

    def __init__(
        self,
        transport: asyncio.Transport,
        run: AnswerWatch,
        *,
        head: bytes | None,
    ) -> None:
        """Initialise; ``start`` takes the connection over.

        :param head: what has arrived of the head, ``None`` if all of it has
        """
        self._transport = transport
        self._run = run
        self._has_head = head is None
        self._head = head or b''
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Close the sending side, and read on."""
        self._run.note_abandoned()
        self._transport.set_protocol(self)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(READ_S, self._end)
        self._transport.write_eof()
        self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """End at the first byte of output."""
        if not self._has_head:
            data = self._after_head(data)
        if data:
            self._end()

    def eof_received(self) -> None:
        """Note that the target has written nothing more."""
        self._end(is_dropped=True)

    def connection_lost(self, _exc: BaseException | None) -> None:
        """Note the end; a reset may have cut off output."""
        self._end()

    def _end(self, *, is_dropped: bool = False) -> None:
        if self._timer is None:
            return
        self._timer.cancel()
        self._timer = None
        self._run.note_end(is_dropped=is_dropped)
        self._transport.close()

    def _after_head(self, data: bytes) -> bytes:
        """Return what follows the head of the answer."""
        self._head += data
        if len(self._head) > MAX_HEAD_BYTES:
            return self._head
        while _HEAD_END in self._head:
            head, _, rest = self._head.partition(_HEAD_END)
            self._head = rest
            if not _is_interim(head):
                self._has_head = True
                self._note_head(head)
                return rest
        return b''

    def _note_head(self, head: bytes) -> None:
        status_line, *lines = head.decode('latin-1').split('\r\n')
        _, _, rest = status_line.partition(' ')
        status = whole_number(rest[:STATUS_DIGITS])
        if status is None:
            return
        fields = (line.partition(':') for line in lines)
        headers = CIMultiDict((name, text.strip()) for name, _, text in fields)
        self._run.note_head(status, headers)


def _is_interim(head: bytes) -> bool:
    _, _, status = head.partition(b' ')
    return status.startswith(_INTERIM)
