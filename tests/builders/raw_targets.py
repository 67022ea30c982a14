"""Builders of targets that write bytes of their own."""

import asyncio
from typing import NamedTuple

from dandelioncleat.adapters.connection_reset import reset_connection
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.core.failure import FailureError
from dandelioncleat.platform.targets import HttpTargets
from dandelioncleat.ports.direct_target import TargetRequest

BODY = b'x' * 3_000_000
SHORT_BODY = b'x' * 10
# A target that closes its connection after the end of its answer does so after
# this time.
CLOSE_LAG_S = 0.1


class ScriptedAnswer(NamedTuple):
    """What a target writes, and how it ends its connection.

    :param is_early: whether it answers before it reads the request's body
    :param reads_on: whether it reads the rest of the body afterwards
    :param is_reset: whether it resets the connection, else it ends its answer
        in order, and closes a moment later
    """

    data: bytes
    is_early: bool = False
    reads_on: bool = False
    is_reset: bool = False


class RawTarget:
    """Answers each request with the same bytes."""

    def __init__(self, answer):
        """Initialise with the answer."""
        self._answer = answer
        self._server = None

    async def __aenter__(self):
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = self._server.sockets[0].getsockname()
        return f'{ip}:{port}'

    async def __aexit__(self, *_error):
        """Close the socket."""
        self._server.close()

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        length = _length_in(head)
        if not self._answer.is_early:
            await reader.readexactly(length)
        else:
            # The kernel holds what comes from here on.
            writer.transport.pause_reading()
        writer.write(self._answer.data)
        await writer.drain()
        if self._answer.is_reset:
            await asyncio.sleep(CLOSE_LAG_S)
            reset_connection(writer.transport)
            return
        writer.write_eof()
        if self._answer.reads_on:
            writer.transport.resume_reading()
            await reader.readexactly(length)
        await asyncio.sleep(CLOSE_LAG_S)
        writer.close()


def _length_in(head):
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.split(b':')[1])
    return 0


async def outcome_of(answer, *, body=SHORT_BODY, is_forwarded=False):
    """Return what reaches a router: a status and a body, or ``None``.

    :param answer: what the target, or the other router, does
    :param is_forwarded: whether the request goes to another router
    """
    request = DirectRequest(
        'r-1', 'POST', 'h', '/a', (('Request-Id', 'r-1'),), body
    )
    async with RawTarget(answer) as address:
        targets = HttpTargets()
        try:
            async with asyncio.timeout(5):
                async with _sent(
                    targets, request, address, is_forwarded=is_forwarded
                ) as received:
                    parts = [part async for part in received.chunks()]
                    return received.head.status, b''.join(parts)
        except FailureError:
            return None
        finally:
            await targets.close()


def _sent(targets, request, address, *, is_forwarded):
    if is_forwarded:
        return targets.forward(request, address, remaining_s=4)
    entry = TargetEntry('i', 's', address, 'z', 8, False, 1)
    return targets.send(
        TargetRequest(request, entry, None, 4, None, None, is_fresh=True)
    )
