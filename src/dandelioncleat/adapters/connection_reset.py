"""Resets connections."""

import asyncio
import socket
import struct

# Linger is on, for 0 s.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Reset a connection; what was not sent yet is discarded."""
    sock = transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
