"""Finds out whether a peer that has ended its answer gets the whole request.

A peer may answer before it has read a long request. If it closes the
connection then, its answer ends in order, and the reset comes only as more of
the request arrives.
"""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from collections.abc import Callable

CHECK_INTERVAL_S = 0.005
_COUNT = 'i'


class UploadEnd:
    """Closes a connection once the peer has got all that was sent.

    A peer that resets it instead has cut its answer.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        *,
        on_cut: Callable[[OSError], None],
    ) -> None:
        """Initialise for a connection whose receiving side has ended.

        :param on_cut: called with the error of a connection that was reset
        """
        self._transport = transport
        self._on_cut = on_cut

    @property
    def is_due(self) -> bool:
        """Return whether the peer has yet to get a part of the request."""
        return _unsent_bytes(self._transport) > 0

    def check(self) -> None:
        """Close the connection, or check again soon."""
        if self._transport.is_closing():
            return
        is_due = self.is_due
        # A reset discards what was unsent, so it is looked for afterwards.
        error = _socket_error(self._transport)
        if error is not None:
            self._on_cut(error)
        elif is_due:
            loop = asyncio.get_running_loop()
            loop.call_later(CHECK_INTERVAL_S, self.check)
            return
        self._transport.close()


def _unsent_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the peer has not acknowledged."""
    unsent = transport.get_write_buffer_size()
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return unsent
    queued = bytes(struct.calcsize(_COUNT))
    # Not every system can tell.
    with contextlib.suppress(OSError):
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
    return unsent + int(struct.unpack(_COUNT, queued)[0])


def _socket_error(transport: asyncio.Transport) -> OSError | None:
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return None
    number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if not number:
        return None
    return OSError(number, 'the peer has reset the connection')
