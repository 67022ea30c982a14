"""Builders of addresses at which no target answers."""

import asyncio
from contextlib import asynccontextmanager

from tests.builders.direct import listener


@asynccontextmanager
async def refused_address():
    """Yield an address at which nothing listens."""
    sock = listener()
    ip, port = sock.getsockname()
    sock.close()
    yield f'{ip}:{port}'


@asynccontextmanager
async def silent_address(*, closes=False):
    """Yield an address at which something accepts connections only.

    :param closes: whether it closes them at once
    """
    writers = []

    async def accept(_reader, writer):
        writers.append(writer)
        if closes:
            writer.close()

    server = await asyncio.start_server(accept, sock=listener())
    ip, port = server.sockets[0].getsockname()
    yield f'{ip}:{port}'
    server.close()
    for writer in writers:
        writer.transport.abort()
