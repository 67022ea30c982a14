"""Resets connections."""

import asyncio
import socket
import struct

_LINGER = 'ii'
# Linger is on, for 0 s: a close discards what was not sent, and resets.
_RESET_ON_CLOSE = struct.pack(_LINGER, 1, 0)
_END_ON_CLOSE = struct.pack(_LINGER, 0, 0)


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Reset a connection; what was not sent yet is discarded."""
    reset_on_close(transport, is_on=True)
    transport.abort()


def reset_on_close(transport: asyncio.WriteTransport, *, is_on: bool) -> None:
    """Set whether a connection is reset when it is closed.

    That holds whoever closes it, also the kernel when the process is killed.
    """
    sock = transport.get_extra_info('socket')
    if sock is not None:
        option = _RESET_ON_CLOSE if is_on else _END_ON_CLOSE
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
