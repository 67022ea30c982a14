"""Sockets that notice a silent peer."""

import socket
from typing import Any

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2500


def watch_peer(sock: socket.socket) -> None:
    """Let the system end a connection whose peer is silent."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, name, setting in options:
        sock.setsockopt(level, name, setting)


def new_watched_socket(address_info: tuple[Any, ...]) -> socket.socket:
    """Return a socket for an outgoing connection."""
    family, kind, protocol, *_ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    watch_peer(sock)
    return sock
