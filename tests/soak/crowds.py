"""Crowds of callers that nobody controls, before real processes."""

import asyncio
import contextlib
import os
import socket
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import client
import fleet as fleets
from aiohttp import web
from servers import Server

from dandelioncleat.adapters.websocket_peers import PEERS_PATH, credential
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
METRICS_PATH = b'/metrics'
# What the target of the routes below ``/large/`` and ``/slow/`` does.
LARGE_BYTES = 1024 * 1024
EVENT = b'id: 1\ndata: %s\n\n' % (b'x' * 2000)
EVENTS = 20
SLOW_S = 60.0


class Crowd(NamedTuple):
    """What each caller of a crowd sends.

    ``start`` comes first, then ``part`` again and again, ``pause_s`` apart, as
    long as the crowd stays. ``place`` is the address that it comes to, and
    ``reads`` says whether it reads the answers. ``window`` is the receive
    buffer of its connections in bytes, 0 for that of the system.
    """

    count: int
    start: bytes
    part: bytes = b''
    pause_s: float = 0
    place: str = 'front'
    reads: bool = False
    length_s: float = 3.0
    window: int = 0


class Place(NamedTuple):
    """An address of a process, and an ordinary request to the process.

    ``is_served`` returns whether it is answered, if it is repeated.
    """

    child: asyncio.subprocess.Process
    address: tuple[str, int]
    is_served: Callable[[], Awaitable[bool]]


class Verdict(NamedTuple):
    """What a crowd did to the process.

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
    """Play a crowd before a router or a gateway; return the verdict.

    :param stays: whether the crowd is there while an ordinary request is sent
    """
    async with running_fleet(folder) as places:
        return await play_at(places[crowd.place], crowd, stays=stays)


@contextlib.asynccontextmanager
async def running_fleet(folder):
    """Run a router, a gateway and targets; yield the addresses, by name."""
    record = fleets.Record(Path(folder) / 'record.txt')
    limits = {'memoryMb': MEMORY_MB, 'maxFds': MAX_FDS}
    fleet = fleets.Fleet(record, routers=1, gateways=1, limits=limits)
    targets = _new_targets(fleet)
    await fleet.store.start()
    _configure(fleet)
    try:
        for target in targets:
            await target.start()
        for process in fleet.processes:
            await process.start()
        await fleet.routers[0].ready()
        await asyncio.sleep(SETTLE_S)
        yield _places(fleet, record)
    finally:
        await fleet.close()
        for target in targets:
            await target.close()


async def play_at(place, crowd, *, stays=True):
    """Play a crowd at an address of a running process; return the verdict."""
    pid = place.child.pid
    callers = [
        asyncio.ensure_future(_call(place.address, crowd))
        for _ in range(crowd.count)
    ]
    sampling = asyncio.ensure_future(_peak_fds(pid))
    await asyncio.sleep(crowd.length_s)
    is_answered = not stays or await place.is_served()
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    is_answered = is_answered and await place.is_served()
    sampling.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await sampling
    is_alive = place.child.returncode is None
    return Verdict(
        is_alive, peak_mb(pid) if is_alive else 0, _peaks[pid], is_answered
    )


def _places(fleet, record):
    """Return the addresses of a router and a gateway, by name."""
    router, gateway = fleet.routers[0], fleet.gateways[0]
    control = _address(gateway.ports['control'])
    serves_callers = partial(_is_served, record, router)
    places = {
        'front': Place(router.child, router.front, serves_callers),
        'gateway': Place(
            gateway.child, control, partial(serves_peers, control, '')
        ),
    }
    for name, process, port, path, others in (
        ('ready', router, 'ready', READY_PATH, [serves_callers]),
        ('metrics', router, 'metrics', METRICS_PATH, [serves_callers]),
        ('gateway metrics', gateway, 'metrics', METRICS_PATH, []),
    ):
        address = _address(process.ports[port])
        serves_page = partial(shows_page, address, path.decode())
        places[name] = Place(
            process.child, address, partial(_all_served, serves_page, *others)
        )
    return places


async def _all_served(*checks):
    """Return whether all of several ordinary requests are answered."""
    return all([await is_served() for is_served in checks])


def _address(port):
    return '127.0.0.1', port


async def repeated(is_served):
    """Return whether an ordinary request is served at last, if repeated."""
    for _ in range(ORDINARY_TRIES):
        try:
            async with asyncio.timeout(ORDINARY_LIMIT_S):
                if await is_served():
                    return True
        except (OSError, TimeoutError, aiohttp.ClientError):
            pass
        await asyncio.sleep(ORDINARY_PAUSE_S)
    return False


async def shows_page(address, path):
    """Return whether a page is answered."""

    async def get():
        url = 'http://{}:{}'.format(*address) + path
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            await response.read()
            return response.ok

    return await repeated(get)


async def serves_peers(address, secret):
    """Return whether another process of the fleet can connect."""

    async def connect():
        headers = {'Authorization': credential(secret)}
        url = 'http://{}:{}'.format(*address) + PEERS_PATH
        async with (
            aiohttp.ClientSession() as session,
            session.ws_connect(url, headers=headers),
        ):
            return True

    return await repeated(connect)


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

    async def send():
        reply = await client.send(
            record,
            router.front,
            '/read/sound',
            KEY,
            limit_s=ORDINARY_LIMIT_S,
        )
        return reply.status == 200

    return await repeated(send)


async def _call(address, crowd):
    """Send what a caller of a crowd sends, on one connection after another."""
    while True:
        with contextlib.suppress(OSError):
            await _connect(address, crowd)
        await asyncio.sleep(SAMPLE_S)


async def _connect(address, crowd):
    reader, writer = await _open(address, crowd.window)
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


async def _open(address, window):
    """Open a connection with a receive buffer of some size."""
    sock = socket.socket()
    try:
        sock.setblocking(False)
        if window:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        await asyncio.get_running_loop().sock_connect(sock, address)
        options: dict[str, Any] = {'limit': window // 2} if window else {}
        return await asyncio.open_connection(sock=sock, **options)
    except BaseException:
        sock.close()
        raise


async def _read(reader, crowd):
    """Read the answers, or leave them unread until the connection ends."""
    if not crowd.reads:
        # A closed connection shows when the next bytes are written.
        await asyncio.sleep(60)
    while await reader.read(65_536):
        pass


def _new_targets(fleet):
    """Return targets with small, large and slow answers, and with streams."""
    answers_by_service = {
        'billing-app': None,
        'large': _large_answer,
        'streams': _stream,
        'slow': _slow_answer,
    }
    targets = []
    for service, answer in answers_by_service.items():
        target = Server(fleet, f'{service}-1', service, is_model=False)
        if answer is not None:
            target.answer = partial(answer, target)
        targets.append(target)
    return targets


async def _large_answer(target, request, run):
    run.is_complete = True
    return target._respond(request, 200, b'x' * LARGE_BYTES)


async def _slow_answer(target, request, run):
    await asyncio.sleep(SLOW_S)
    return target._respond(request, 200, b'x')


async def _stream(target, request, run):
    headers = {'Content-Type': 'text/event-stream'}
    response = web.StreamResponse(headers=target._headers(request, headers))
    await response.prepare(request)
    for _ in range(EVENTS):
        await response.write(EVENT)
    await response.write_eof()
    run.is_complete = True
    return response


def _configure(fleet):
    services_by_prefix = {
        '/read/': 'billing-app',
        '/large/': 'large',
        '/streams/': 'streams',
        '/slow/': 'slow',
    }
    services = [
        {'name': name, 'healthPath': '/health', 'maxConnections': 360}
        for name in services_by_prefix.values()
    ]
    routes = [
        client.route(prefix, 'idempotent', service)
        for prefix, service in services_by_prefix.items()
    ]
    document = client.configuration(
        1,
        services=services,
        routes=routes,
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
            asyncio.ensure_future(_call(router.front, crowd))
            for _ in range(crowd.count)
        ]
        try:
            await asyncio.sleep(source.uniform(1, 4))
        finally:
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
