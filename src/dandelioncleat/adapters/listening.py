"""Accepts connections a few at a time.

asyncio accepts as many connections in one turn as the queue of a listening
socket is long, before the protocol of any of them exists. A bound on open
connections holds only if few are accepted between two of its decisions.
"""

import asyncio
import socket
from collections.abc import Callable

from aiohttp import web

# A turn accepts this many; a connection that has to give way is closed within
# four turns.
ACCEPTED_AT_ONCE = 16
# Connections that wait to be accepted cost no descriptor of the process.
BACKLOG = 1024


def new_listener(address: str) -> socket.socket:
    """Return a socket that listens at ``ip:port``."""
    ip, _, port = address.rpartition(':')
    return socket.create_server((ip, int(port)), backlog=BACKLOG)


async def start_server(
    new_protocol: Callable[[], asyncio.BaseProtocol], sock: socket.socket
) -> asyncio.Server:
    """Serve the connections of a listening socket.

    :param new_protocol: returns the protocol of a new connection
    """
    server = await asyncio.get_running_loop().create_server(
        new_protocol, sock=sock, backlog=ACCEPTED_AT_ONCE
    )
    sock.listen(BACKLOG)
    return server


async def start_site(runner: web.BaseRunner, sock: socket.socket) -> None:
    """Serve an application at a listening socket."""
    await web.SockSite(runner, sock, backlog=ACCEPTED_AT_ONCE).start()
    sock.listen(BACKLOG)
