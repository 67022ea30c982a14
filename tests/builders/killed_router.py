"""Builders of a router process that is killed while it answers a caller."""

import asyncio
import contextlib
import tempfile
from pathlib import Path

from aiohttp import web

import tests.soak  # noqa: F401  (finds the stand-ins of the review)
from tests.builders.direct import read_to_end

import client  # isort: skip
import fleet as fleets  # isort: skip
from servers import Server  # isort: skip

KEY = 'key'
SERVICE = 'billing-app'
FIRST_PARTS = b'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'
LAST_PART = b'id: 3\ndata: x\n\n'


class OpenEndedTarget:
    """The answers of a target that wait for an event before their last part."""

    def __init__(self, *, is_chunked):
        """Initialise with the form of the answers."""
        self.may_end = asyncio.Event()
        self._is_chunked = is_chunked

    async def __call__(self, request, run):
        """Answer a request."""
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Request-Id': run.id,
                'Server-Stamp': f'stamp.{run.id}',
            }
        )
        if not self._is_chunked:
            # Lets aiohttp add no chunks.
            response._length_check = False
            response.force_close()
        await response.prepare(request)
        await response.write(FIRST_PARTS)
        await self.may_end.wait()
        await response.write(LAST_PART)
        await response.write_eof()
        return response


async def answer_of_router(*, is_chunked, version, is_killed):
    """Return the answer to a caller, as it is on the wire.

    :param is_chunked: whether the target sends chunks, or neither these nor a
        length
    :param version: version of HTTP that the caller speaks
    :param is_killed: whether the router is killed after the first parts
    """
    with tempfile.TemporaryDirectory(prefix='killed-') as folder:
        record = fleets.Record(Path(folder) / 'record.txt')
        fleet = fleets.Fleet(record, routers=1, gateways=1)
        target = Server(fleet, 'app-1', SERVICE, is_model=False)
        target.answer = OpenEndedTarget(is_chunked=is_chunked)
        try:
            await fleet.store.start()
            _configure(fleet)
            await target.start()
            for process in fleet.processes:
                await process.start()
            await fleet.routers[0].ready()
            return await _ask(
                fleet.routers[0], target, version=version, is_killed=is_killed
            )
        finally:
            await fleet.close()
            await target.close()


async def _ask(router, target, *, version, is_killed):
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', router.ports['front']
    )
    lines = (
        f'POST /draft/a HTTP/{version}',
        f'Host: {client.HOST}',
        'Request-Id: r-1',
        'Deadline-Ms: 8000',
        f'Authorization: Bearer {KEY}',
        'Content-Length: 2',
    )
    writer.write('\r\n'.join((*lines, '', '{}')).encode())
    begun = b''
    async with asyncio.timeout(10):
        while b'id: 2\ndata: x\n\n' not in begun:
            begun += await reader.readexactly(1)
    if is_killed:
        await router.kill()
    else:
        target.answer.may_end.set()
    answer = await read_to_end(reader, begun)
    writer.close()
    with contextlib.suppress(ConnectionError):
        await writer.wait_closed()
    return answer


def _configure(fleet):
    services = [
        {'name': SERVICE, 'healthPath': '/health', 'maxConnections': 90}
    ]
    document = client.configuration(
        1,
        services=services,
        routes=[client.route('/draft/', 'streaming', SERVICE)],
        tenants=[{'name': 't', 'apiKeys': [KEY]}],
    )
    fleet.store.put('op', 'config', document)
