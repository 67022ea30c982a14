"""Tests of the time limit for a request's head."""

import asyncio
import socket
from types import SimpleNamespace

import testtools
from aiohttp import web

from dandelioncleat.platform.caller_server import new_caller_server
from dandelioncleat.platform.callers import DEFAULT_LIMITS
from tests.builders.direct import (
    configuration,
    request_head,
    run_with_fleet,
    text_answer,
)

HEADER_MS = 200
# Bodies that are read in one or more turns of the event loop, in bytes.
SIZES = (*range(2_000, 50_000, 8_000), *range(50_000, 600_000, 50_000))


class LateHeadTest(testtools.TestCase):
    """It ends with the head, and closes no connection on a request."""

    def test_connection_is_closed_on_a_request_whose_body_came_apart(self):
        async def scenario(fleet):
            return [await _status(fleet, size) for size in SIZES]

        document = configuration(headerMs=HEADER_MS, bodyBytes=max(SIZES))
        statuses = run_with_fleet(scenario, document=document)
        self.assertEqual([b'200'] * len(SIZES), statuses)

    def test_connection_is_closed_on_a_request_that_came_in_two_segments(self):
        statuses = [
            asyncio.run(_status_after_turns(turns)) for turns in range(6)
        ]
        self.assertEqual([b'200'] * 6, statuses)

    def test_head_that_stays_incomplete_is_cut(self):
        async def scenario(fleet):
            reader, writer = await fleet.connect()
            writer.write(request_head('/once/a', length=2)[:30])
            async with asyncio.timeout(10):
                data = await reader.read()
            writer.close()
            return data

        document = configuration(headerMs=HEADER_MS)
        self.assertEqual(b'', run_with_fleet(scenario, document=document))


async def _status(fleet, size):
    fleet.app.answers = [_answered_late]
    reader, writer = await fleet.connect()
    writer.write(request_head('/once/a', length=size) + b'x' * size)
    async with asyncio.timeout(10):
        line = await reader.readline()
    writer.close()
    return (line.split() or [b'', b'closed'])[1]


async def _status_after_turns(turns):
    """Return the answer to a request in two segments, some turns apart."""

    async def handle(request):
        await request.read()
        await asyncio.sleep(3 * HEADER_MS / 1000)
        return web.Response(text='ok')

    limits = DEFAULT_LIMITS._replace(header_s=HEADER_MS / 1000)
    server = new_caller_server(SimpleNamespace(handle=handle), limits)
    loop = asyncio.get_running_loop()
    own, other = socket.socketpair()
    _, connection = await loop.connect_accepted_socket(server, own)
    reader, writer = await asyncio.open_connection(sock=other)
    await asyncio.sleep(0.05)
    connection.data_received(request_head('/a', length=2) + b'{')
    for _ in range(turns):
        await asyncio.sleep(0)
    connection.data_received(b'}')
    async with asyncio.timeout(10):
        line = await reader.readline()
    writer.close()
    await server.shutdown(0)
    return (line.split() or [b'', b'closed'])[1]


async def _answered_late(request):
    await asyncio.sleep(3 * HEADER_MS / 1000)
    return await text_answer('ok')(request)
