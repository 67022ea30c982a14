"""Crowds of callers that nobody controls, before one router, a real process."""

import asyncio
import contextlib
import os
from pathlib import Path
from typing import NamedTuple

import client
import fleet as fleets
from servers import Server

from tests.soak.floods import peak_mb

KEY = 'key'
SETTLE_S = 2.0
SAMPLE_S = 0.05
# An ordinary caller comes back as often as this, as it would after a refusal.
ORDINARY_TRIES = 40
ORDINARY_PAUSE_S = 0.5
ORDINARY_LIMIT_S = 4.0
# Lowered limits, under which small crowds show what large ones do.
MEMORY_MB = 90
MAX_FDS = 320
BODY_BYTES = 1024 * 1024
HEADER_BYTES = 16_384
READY_PATH = b'/dandelioncleat/readiness'


class Crowd(NamedTuple):
    """What each caller of a crowd sends.

    ``start`` comes first, then ``part`` again and again, ``pause_s`` apart, as
    long as the crowd stays. ``place`` is the address that it comes to, and
    ``reads`` says whether it reads the answers.
    """

    count: int
    start: bytes
    part: bytes = b''
    pause_s: float = 0
    place: str = 'front'
    reads: bool = False
    length_s: float = 3.0


class Verdict(NamedTuple):
    """What a crowd did to the router.

    ``is_answered`` says whether an ordinary request was answered with 200
    while the crowd stayed, or after it had left.
    """

    is_alive: bool
    peak_mb: float
    peak_fds: int
    is_answered: bool


def head(path, *fields, method=b'POST'):
    """Return the head of a request up to its empty line."""
    lines = (
        method + b' ' + path + b' HTTP/1.1',
        b'Host: ' + client.HOST.encode(),
        b'Request-Id: crowd',
        b'Authorization: Bearer ' + KEY.encode(),
        b'Deadline-Ms: 60000',
        *fields,
    )
    return b'\r\n'.join((*lines, b'', b''))


def sized(path, size, sent):
    """Return a request whose body has a length, and is sent in part."""
    return head(path, b'Content-Length: %d' % size) + b'x' * sent


def chunked(path, size, sent):
    """Return a request whose body comes in chunks, without its end."""
    piece = b'%x\r\n%s\r\n' % (size, b'x' * size)
    start = head(path, b'Transfer-Encoding: chunked')
    return start + piece * (sent // size)


def many_fields(path, count, *, is_whole):
    """Return a request of very many short fields."""
    fields = [b'a%d:' % number for number in range(count)]
    whole = head(path, *fields, b'Content-Length: 0')
    return whole if is_whole else whole[:-2]


async def play(crowd, *, folder, stays=True):
    """Play a crowd; return the verdict.

    :param stays: whether the crowd is there while an ordinary request is sent
    """
    record = fleets.Record(Path(folder) / 'record.txt')
    limits = {'memoryMb': MEMORY_MB, 'maxFds': MAX_FDS}
    fleet = fleets.Fleet(record, routers=1, gateways=1, limits=limits)
    sound = Server(fleet, 'sound', 'billing-app', is_model=False)
    router = fleet.routers[0]
    await fleet.store.start()
    _configure(fleet)
    try:
        await sound.start()
        for process in fleet.processes:
            await process.start()
        await router.ready()
        await asyncio.sleep(SETTLE_S)
        return await _play(record, router, crowd, stays=stays)
    finally:
        await fleet.close()
        await sound.close()


async def _play(record, router, crowd, *, stays):
    pid = router.child.pid
    callers = [
        asyncio.ensure_future(_call(router, crowd)) for _ in range(crowd.count)
    ]
    sampling = asyncio.ensure_future(_peak_fds(pid))
    await asyncio.sleep(crowd.length_s)
    is_answered = not stays or await _is_served(record, router)
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    is_answered = is_answered and await _is_served(record, router)
    sampling.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await sampling
    is_alive = router.child.returncode is None
    return Verdict(
        is_alive, peak_mb(pid) if is_alive else 0, _peaks[pid], is_answered
    )


_peaks = {}


async def _peak_fds(pid):
    """Keep the most descriptors of a process in ``_peaks``."""
    _peaks[pid] = 0
    while True:
        with contextlib.suppress(OSError):
            count = len(os.listdir(f'/proc/{pid}/fd'))
            _peaks[pid] = max(_peaks[pid], count)
        await asyncio.sleep(SAMPLE_S)


async def _is_served(record, router):
    """Return whether an ordinary request is answered, if it is repeated."""
    for _ in range(ORDINARY_TRIES):
        reply = await client.send(
            record,
            router.front,
            '/read/sound',
            KEY,
            limit_s=ORDINARY_LIMIT_S,
        )
        if reply.status == 200:
            return True
        await asyncio.sleep(ORDINARY_PAUSE_S)
    return False


async def _call(router, crowd):
    """Send what a caller of a crowd sends, on one connection after another."""
    while True:
        with contextlib.suppress(OSError):
            await _connect(router, crowd)
        await asyncio.sleep(SAMPLE_S)


async def _connect(router, crowd):
    address = ('127.0.0.1', router.ports[crowd.place])
    reader, writer = await asyncio.open_connection(*address)
    reading = asyncio.ensure_future(_read(reader, crowd))
    try:
        writer.write(crowd.start)
        await writer.drain()
        while crowd.part and not reading.done():
            writer.write(crowd.part)
            await writer.drain()
            await asyncio.sleep(crowd.pause_s)
        await reading
    finally:
        reading.cancel()
        writer.transport.abort()


async def _read(reader, crowd):
    """Read the answers, or leave them unread until the connection ends."""
    if not crowd.reads:
        # A closed connection shows when the next bytes are written.
        await asyncio.sleep(60)
    while await reader.read(65_536):
        pass


def _configure(fleet):
    services = [
        {'name': 'billing-app', 'healthPath': '/health', 'maxConnections': 360}
    ]
    document = client.configuration(
        1,
        services=services,
        routes=[client.route('/read/', 'idempotent', 'billing-app')],
        tenants=[{'name': 't', 'apiKeys': [KEY]}],
    )
    document['limits']['bodyBytes'] = BODY_BYTES
    document['limits']['headerBytes'] = HEADER_BYTES
    fleet.store.put('op', 'config', document)


READ = head(b'/read/sound', b'Content-Length: 0', method=b'GET')
# Callers that wait, send a part of a request, read slowly, or press.
PASSING_CROWDS = (
    Crowd(400, b''),
    Crowd(400, READ[:-4], b'a: b\r\n', 0.2),
    Crowd(200, sized(b'/post/x', 900, 100), b'x', 0.1),
    Crowd(200, READ, READ, 0.5, reads=True),
    Crowd(100, READ * 20),
)


async def come_and_go(soak, source):
    """Let one crowd after the other come to a router for some seconds."""
    while True:
        await asyncio.sleep(source.uniform(0.2, 2))
        router = source.choice(soak.routers)
        crowd = source.choice(PASSING_CROWDS)
        soak.record('crowd', router=router.name, number=crowd.count)
        callers = [
            asyncio.ensure_future(_call(router, crowd))
            for _ in range(crowd.count)
        ]
        try:
            await asyncio.sleep(source.uniform(1, 4))
        finally:
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
