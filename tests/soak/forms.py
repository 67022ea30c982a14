"""Callers and targets that use odd but legal forms of requests and answers."""

import asyncio
import contextlib
import itertools
import random
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import client
import fleet as fleets
from servers import Server

from tests.soak.troubles import PLANNED_PAUSES_S, start_again

KEY = 'key'
SETTLE_S = 3.0
LIMIT_S = 3.0
PIECE_PAUSE_S = 0.01
# How late a target reads a body that it has answered.
LATE_S = 0.3
# Targets drop idle connections without notice after these times, in seconds.
IDLE_S = (0.3, 1.0, 5.0, 5.0)
PIECE = b'b' * 100
LONG_BODY = PIECE * 3000
FIRST_FINAL_STATUS = 200
_numbers = itertools.count(1)


class Answer(NamedTuple):
    """What a target sends, from its status on.

    ``end`` is what it does with the connection afterwards, ``is_whole`` says
    whether a caller must get ``content``. An early answer is sent before the
    body of the request is read.
    """

    head: bytes
    body: bytes = b''
    end: str = 'keep'
    is_whole: bool = True
    is_early: bool = False
    content: bytes | None = None


def _sized(status, *fields, body=b'x' * 800, **options):
    length = b'Content-Length: %d' % len(body)
    return Answer(b'\r\n'.join((status, length, *fields)), body, **options)


def _broken(head, body=b'', end='close'):
    return Answer(head, body, end, is_whole=False)


_CHUNKED = b'200 OK\r\nTransfer-Encoding: chunked'
ANSWERS = {
    'plain': _sized(b'200 OK'),
    'no-content': Answer(b'204 No Content'),
    'reset-content': _sized(b'205 Reset Content', body=b''),
    'not-modified': Answer(b'304 Not Modified\r\nContent-Length: 800'),
    'redirect': _sized(b'307 Temporary Redirect', b'Location: /elsewhere'),
    'missing': _sized(b'404 Not Found'),
    'odd-status': _sized(b'299 Odd'),
    'no-reason': _sized(b'200'),
    'empty-reason': _sized(b'200 '),
    'text-reason': _sized(b'200 Tr\xe8s bien'),
    'many-fields': _sized(b'200 OK', *(b'X-%d: v' % n for n in range(100))),
    'long-field': _sized(b'200 OK', b'X-Long: ' + b'v' * 6000),
    'obs-text': _sized(b'200 OK', b'X-Text: caf\xe9 \xff\x80'),
    'folded': _sized(b'200 OK', b'X-Folded: one\r\n two\r\n\tthree'),
    'empty-field': _sized(b'200 OK', b'X-Empty:', b'X-Tab:\ta\tb\t'),
    'odd-type': _sized(b'200 OK', b'Content-Type: ;;;'),
    'close': _sized(b'200 OK', b'Connection: close', end='close'),
    'closes': _sized(b'200 OK', end='close'),
    'resets': _sized(b'200 OK', end='reset'),
    'early': _sized(b'200 OK', is_early=True),
    'no-length': Answer(b'200 OK', b'x' * 800, end='close'),
    'chunked': Answer(
        _CHUNKED + b'\r\nTrailer: X-T',
        b'5;a=b\r\nhello\r\n3\r\nyou\r\n0\r\nX-T: v\r\n\r\n',
        content=b'helloyou',
    ),
    'empty-chunked': Answer(_CHUNKED, b'0\r\n\r\n', content=b''),
    'interim': _sized(b'103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK'),
    'half': _broken(b'200 OK\r\nContent-Length: 800', b'x' * 400),
    'half-reset': _broken(
        b'200 OK\r\nContent-Length: 800', b'x' * 400, end='reset'
    ),
    'half-chunk': _broken(_CHUNKED, b'320\r\n' + b'x' * 400),
    'half-head': _broken(b'200 OK\r\nContent-Le', end='cut'),
    'no-answer': _broken(b'', end='reset'),
}


class Form(NamedTuple):
    """How a caller sends a request; it pauses after each piece of a body."""

    method: bytes
    pieces: tuple[bytes, ...] = ()
    field: bytes = b'Accept: */*'
    version: bytes = b'1.1'
    is_chunked: bool = False


CALLERS = {
    'get': Form(b'GET'),
    'head': Form(b'HEAD'),
    'put': Form(b'PUT', (PIECE,)),
    'delete': Form(b'DELETE', (PIECE,)),
    'delete-bare': Form(b'DELETE'),
    'chunked': Form(b'POST', (PIECE,) * 5, is_chunked=True),
    'pieces': Form(b'POST', (PIECE,) * 5),
    'expect': Form(b'POST', (PIECE,), b'Expect: 100-continue'),
    'close': Form(b'POST', (PIECE,), b'Connection: close'),
    'old': Form(b'POST', (PIECE,), version=b'1.0'),
    'long': Form(b'POST', (LONG_BODY,)),
}


class OddTarget(Server):
    """A target whose answers have the form that the path names."""

    def __init__(self, fleet, number):
        """Initialise."""
        super().__init__(fleet, f'odd-{number}', 'billing-app', is_model=False)
        self.faults = Counter()
        self._idle_s = IDLE_S[number]

    async def start(self):
        """Listen, and register."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.register()
        self._beat = asyncio.create_task(self._keep_beating())

    async def close(self):
        """End without waiting for connections."""
        self.stop_beating()
        self._server.close()

    async def _serve(self, reader, writer):
        end = 'keep'
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while end == 'keep':
                end = await self._exchange(reader, writer)
        if end == 'reset':
            writer.transport.abort()
        writer.close()

    async def _exchange(self, reader, writer):
        """Answer a request; return what becomes of the connection."""
        try:
            async with asyncio.timeout(self._idle_s):
                head = await reader.readuntil(b'\r\n\r\n')
        except TimeoutError:
            return 'reset'
        line, fields = _parsed(head)
        method, path, _ = line.split(b' ')
        length = int(fields.get(b'content-length', 0))
        _, _, form, *_ = *path.decode().split('/'), ''
        answer = ANSWERS.get(form, ANSWERS['plain'])
        name = fields.get(b'request-id', b'')
        self.runs.append(name.decode())
        if not answer.is_early:
            await self._read_body(reader, length)
            await asyncio.sleep(self.work_s)
        writer.write(self._bytes(answer, method, name))
        await writer.drain()
        if answer.is_early:
            await asyncio.sleep(LATE_S)
            await self._read_body(reader, length)
        if answer.end == 'reset':
            # What was sent before arrives.
            await asyncio.sleep(PIECE_PAUSE_S)
        return answer.end

    async def _read_body(self, reader, length):
        body = await reader.readexactly(length)
        if body.strip(b'b'):
            self.faults['other bytes in a body'] += 1

    def _bytes(self, answer, method, name):
        if answer.end == 'cut' or not answer.head:
            return answer.head and b'HTTP/1.1 ' + answer.head
        fields = b'Request-Id: %s\r\nServer-Stamp: s' % name
        body = b'' if method == b'HEAD' else answer.body
        start = b'HTTP/1.1 ' + answer.head
        return b'\r\n'.join((start, fields, b'', body))


def _parsed(head):
    first, *lines = head[:-4].split(b'\r\n')
    pairs = (line.partition(b':') for line in lines)
    fields = {name.lower(): text.strip() for name, _, text in pairs}
    return first, fields


class Sent(NamedTuple):
    """A request with how it ended for its caller."""

    id: str
    caller: str
    answer: str
    end: str


class OddCaller:
    """Sends requests of one form on a kept connection."""

    def __init__(self, router, form, source):
        """Initialise with the router whose address is called."""
        self.sent = []
        self._router = router
        self._name = form
        self._form = CALLERS[form]
        self._source = source
        self._streams = None

    async def run(self, until):
        """Send requests until a moment of the monotonic clock."""
        while time.monotonic() < until:
            await asyncio.sleep(self._source.uniform(0, 0.1))
            with contextlib.suppress(OSError):
                await self._send(self._source.choice(list(ANSWERS)))
        self._close()

    async def _send(self, answer):
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._router.front)
        name = f'{next(_numbers):016x}'
        try:
            async with asyncio.timeout(LIMIT_S):
                await self._write(answer, name)
                end = await self._read(ANSWERS[answer], name)
        except TimeoutError:
            end = 'overdue'
        except (OSError, asyncio.IncompleteReadError):
            end = 'cut'
        if end != 'whole':
            self._close()
        self.sent.append(Sent(name, self._name, answer, end))

    async def _write(self, answer, name):
        form = self._form
        reader, writer = self._streams
        framing = b'Content-Length: %d' % sum(map(len, form.pieces))
        if form.is_chunked:
            framing = b'Transfer-Encoding: chunked'
        path = f'/odd/{answer}/{name}'.encode()
        lines = (
            b' '.join((form.method, path, b'HTTP/' + form.version)),
            b'Host: ' + client.HOST.encode(),
            b'Request-Id: ' + name.encode(),
            b'Authorization: Bearer ' + KEY.encode(),
            b'Deadline-Ms: %d' % (LIMIT_S * 1000),
            framing,
            form.field,
        )
        writer.write(b'\r\n'.join((*lines, b'', b'')))
        if form.field.startswith(b'Expect'):
            await reader.readuntil(b'\r\n\r\n')
        for piece in form.pieces:
            writer.write(_chunk(piece) if form.is_chunked else piece)
            await asyncio.sleep(PIECE_PAUSE_S)
        if form.is_chunked:
            writer.write(_chunk(b''))

    async def _read(self, answer, name):
        """Read an answer; return what it is."""
        reader = self._streams[0]
        status = 0
        while status < FIRST_FINAL_STATUS:
            line, fields = _parsed(await reader.readuntil(b'\r\n\r\n'))
            status = int(line.split(b' ')[1])
        is_bare = self._form.method == b'HEAD' or status in {204, 304}
        body = b'' if is_bare else await _body(reader, fields)
        is_last = fields.get(b'connection', b'').lower() == b'close'
        if is_last or self._form.version == b'1.0':
            self._close()
        if b'server-stamp' not in fields:
            return 'refused'
        if fields.get(b'request-id') != name.encode():
            return 'of another request'
        content = answer.body if answer.content is None else answer.content
        is_own = b'%d' % status in answer.head
        is_own = is_own and body == (b'' if is_bare else content)
        return 'whole' if is_own else 'other'

    def _close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def _chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


async def _body(reader, fields):
    if b'content-length' in fields:
        return await reader.readexactly(int(fields[b'content-length']))
    if fields.get(b'transfer-encoding') != b'chunked':
        return await reader.read()
    body = b''
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


class Verdict(NamedTuple):
    """What callers saw; ``wrong`` are the ends that no rule allows."""

    ends: Counter
    wrong: list
    faults: Counter


async def play(seed, *, folder, length_s, routers=2, is_once=False):
    """Play all forms beside planned stops; return the verdict."""
    record = fleets.Record(Path(folder) / 'record.txt')
    fleet = fleets.Fleet(record, routers=routers, gateways=1)
    targets = [OddTarget(fleet, number) for number in range(len(IDLE_S))]
    await fleet.store.start()
    _configure(fleet, 'non_idempotent' if is_once else 'idempotent')
    try:
        for target in targets:
            await target.start()
        for process in fleet.processes:
            await process.start()
        for router in fleet.routers:
            await router.ready()
        await asyncio.sleep(SETTLE_S)
        sent = await _play(fleet, seed, length_s)
    finally:
        await fleet.close()
        for target in targets:
            await target.close()
    ran = {name for target in targets for name in target.runs}
    wrong = [each for each in sent if _is_wrong(each, ran)]
    faults = sum((target.faults for target in targets), Counter())
    return Verdict(Counter(each.end for each in sent), wrong, faults)


async def _play(fleet, seed, length_s):
    until = time.monotonic() + length_s
    callers = [
        OddCaller(router, form, random.Random(f'{seed}/{router.name}/{form}'))
        for router in fleet.routers
        for form in CALLERS
    ]
    stopping = asyncio.create_task(_stop(fleet.routers, random.Random(seed)))
    try:
        await asyncio.gather(*(caller.run(until) for caller in callers))
    finally:
        stopping.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await stopping
    return [each for caller in callers for each in caller.sent]


async def _stop(routers, source):
    while True:
        await asyncio.sleep(source.uniform(*PLANNED_PAUSES_S))
        router = source.choice(routers)
        await router.stop()
        await start_again([router])


def _is_wrong(sent, ran):
    """Return whether a request that reached a target has no proper answer."""
    is_whole = ANSWERS[sent.answer].is_whole
    if sent.end == 'whole':
        return not is_whole and sent.caller != 'head'
    if sent.end == 'refused':
        return is_whole and sent.id in ran
    return sent.id in ran


def _configure(fleet, kind):
    fleet.store.put(
        'op',
        'config',
        client.configuration(
            1,
            services=[client.APP_SERVICE],
            routes=[client.route('/odd/', kind, 'billing-app')],
            tenants=[{'name': 't', 'apiKeys': [KEY]}],
        ),
    )
