"""Socket options that detect an unresponsive peer.

A peer that lives but does not read is unresponsive for the kernel as well, once
its buffers are full. So the time that such a peer is given is set apart.
"""

import socket
from typing import Any

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_S = 2.5
_MS_PER_S = 1000


def enable_keepalive(sock: socket.socket) -> None:
    """Let the kernel close a connection whose peer does not respond."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(USER_TIMEOUT_S * _MS_PER_S),
        ),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, name, setting in options:
        sock.setsockopt(level, name, setting)


def limit_unread(sock: socket.socket, limit_s: float) -> None:
    """Limit how long a peer may leave unread what is sent to it.

    Connections that a listening socket accepts from now on inherit the limit.

    :param limit_s: in seconds, 0 for the time that the kernel gives
    """
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(limit_s * _MS_PER_S)
    )


def new_keepalive_socket(address_info: tuple[Any, ...]) -> socket.socket:
    """Return a non-blocking socket for an outgoing connection."""
    family, kind, protocol, *_ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


def new_patient_socket(address_info: tuple[Any, ...]) -> socket.socket:
    """Return an outgoing socket whose peer may leave much unread."""
    sock = new_keepalive_socket(address_info)
    limit_unread(sock, 0)
    return sock
