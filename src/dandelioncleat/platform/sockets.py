"""Socket options that detect an unresponsive peer."""

import asyncio
import socket
import struct
from typing import Any

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 2500
# Linger is on, for 0 s.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def enable_keepalive(sock: socket.socket) -> None:
    """Let the kernel close a connection whose peer does not respond."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, name, setting in options:
        sock.setsockopt(level, name, setting)


def reset_connection(transport: asyncio.Transport) -> None:
    """Reset a connection; what was not sent yet is discarded."""
    sock = transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()


def new_keepalive_socket(address_info: tuple[Any, ...]) -> socket.socket:
    """Return a non-blocking socket for an outgoing connection."""
    family, kind, protocol, *_ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock
