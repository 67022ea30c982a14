"""A small deployment on loopback: stand-ins and the project's own programs.

The platform's store is the project's stand-in behind one proxy for each
machine. Servers and clients are small and written here. The programs are
started with the commands and the templates of the deploy file.
"""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from aiohttp import web

from dandelioncleat.platform.store_standin import new_store_application
from dandelioncleat.standin.keyed_store import MemoryKeyedStore

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
GRACE_S = 8
# Tells a broken rule from an error of the interpreter; run.sh exits with 1.
BROKEN = 10
MODEL = 'm'
KEY = 'key-of-tenant-one'
TENANT = 'tenant-one'
HOST = 'standin.example'


class Record:
    """Writes what was sent, answered and run to a file, with times."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._started = time.monotonic()

    def __call__(self, text):
        passed = time.monotonic() - self._started
        self._file.write(f'{passed:8.3f} {text}\n')
        self._file.flush()


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Link:
    """A TCP proxy that can pass, reset, or hold all bytes.

    While it is silent it holds what arrives, and drops it if the connection
    ends: a held call is never executed later.
    """

    def __init__(self, ip, target):
        self._ip = ip
        self._target = target
        self.mode = 'pass'
        self._opened = asyncio.Event()
        self._opened.set()
        self._writers = set()
        self.on_bytes = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self._ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self._ip}:{port}'
        return self

    def set_mode(self, mode):
        """Set 'pass', 'silent' or 'reset'.

        Connections that were open while it was silent end when it passes.
        """
        was_silent = self.mode == 'silent'
        self.mode = mode
        if mode == 'silent':
            self._opened.clear()
        else:
            self._opened.set()
        if mode == 'reset' or was_silent:
            for writer in tuple(self._writers):
                writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == 'reset':
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            if self.mode == 'silent':
                await self._opened.wait()
                return
            ip, port = self._target.split(':')
            up_reader, up_writer = await asyncio.open_connection(ip, int(port))
            self._writers.add(up_writer)
            try:
                await asyncio.gather(
                    self._pump(reader, up_writer, is_call=True),
                    self._pump(up_reader, writer, is_call=False),
                )
            finally:
                self._writers.discard(up_writer)
                up_writer.close()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _pump(self, reader, writer, *, is_call):
        try:
            while data := await reader.read(65536):
                if is_call and self.on_bytes is not None:
                    self.on_bytes(data)
                if self.mode == 'silent':
                    await self._opened.wait()
                    break
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()


class Server:
    """A server of a service that follows the pages; ``answer`` may be set.

    ``answer(request, respond)`` is a coroutine; by default it sends a whole
    answer. A run is dropped when its channel closes.
    """

    def __init__(self, fleet, name, service, ip, *, answer=None):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.ip = ip
        self.answer = answer or plain_answer
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.extra_headers = {}
        self.beats = True

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self.ip}:{self.port}'
        self._beat = asyncio.create_task(self._beats())
        await self.report()
        return self

    async def report(self):
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 64,
            'state': self.state,
            'coldMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        value = json.dumps(entry).encode()
        await self.fleet.store.append('servers', ((self.name, value),))

    async def _beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.beats:
                await self.report()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self._handle(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, request, reader, writer):
        path = request.path.partition('?')[0]
        if path == '/health':
            headers = {'Instance-Id': self.name, **self.extra_headers}
            await send(writer, 200, headers, b'')
            return True
        if path == '/dandelioncleat/kv-events':
            await asyncio.sleep(int(request.headers.get('wait-ms', 0)) / 1000)
            body = b'{"epoch":"e","next":0,"lost":false,"events":[]}'
            await send(writer, 200, self.extra_headers, body)
            return True
        name = request.headers.get('request-id', '')
        if request.headers.get('expect-instance', self.name) != self.name:
            await send(writer, 421, {'Instance-Id': self.name}, b'')
            return True
        self.fleet.record(f'server {self.name}: received {name}')
        run = asyncio.ensure_future(self.answer(self, request, writer))
        left = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((run, left), return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            self.fleet.record(f'server {self.name}: channel of {name} closed')
            run.cancel()
            return False
        left.cancel()
        await asyncio.gather(left, return_exceptions=True)
        return run.result() and left.cancelled()

    def note_run(self, request):
        """Record that the server has begun to work on a request."""
        run = (
            request.headers.get('request-id', ''),
            request.method,
            request.path,
            request.headers.get('tenant'),
            request.body,
        )
        self.runs.append(run)
        self.fleet.record(f'server {self.name}: runs {run[0]}')

    def head(self, request):
        return {
            'Request-Id': request.headers.get('request-id', ''),
            'Server-Stamp': f'stamp-{self.name}',
            'Server-Load': '0,0,64',
            **self.extra_headers,
        }


async def plain_answer(server, request, writer):
    server.note_run(request)
    await send(writer, 200, server.head(request), b'the whole answer')
    return True


class Request:
    """A request as it came over the wire."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, path, _ = line.split(' ', 2)
    if headers.get('transfer-encoding') == 'chunked':
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, path, headers, body)


async def read_head(reader):
    try:
        text = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    line, *rest = text.decode('latin-1').split('\r\n')
    fields = (each.partition(':') for each in rest if each)
    return line, {name.lower(): value.strip() for name, _, value in fields}


async def read_chunks(reader):
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


async def send(writer, status, headers, body):
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
    await writer.drain()


class Answer:
    """What a client got: ``is_whole`` says whether its end is marked.

    An answer without a length or chunks is whole if its channel was closed and
    not reset.
    """

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b''
        self.is_whole = False
        self.end = ''

    def __str__(self):
        reason = self.headers.get('dandelioncleat-refusal', '')
        return (
            f'status {self.status} {reason} bytes {len(self.body)} '
            f'whole {self.is_whole} ({self.end})'
        )


class Client:
    """Sends requests, each on a channel of its own, and records answers."""

    def __init__(self, record):
        self._record = record
        self._count = 0

    def new_id(self):
        self._count += 1
        return f'{os.getpid():x}{self._count:04x}'

    async def ask(self, address, path, *, method='POST', body=b'', wait_ms=6000,
                  headers=None, on_begin=None, name=None, key=KEY):
        name = name or self.new_id()
        fields = {
            'Host': HOST,
            'Request-Id': name,
            'Deadline-Ms': str(wait_ms),
            'Authorization': f'Bearer {key}',
            'Content-Length': str(len(body)),
            **(headers or {}),
        }
        text = f'{method} {path} HTTP/1.1\r\n'
        text += ''.join(f'{each}: {value}\r\n' for each, value in fields.items())
        self._record(f'client: sends {name} {method} {path} to {address}')
        answer = Answer()
        try:
            async with asyncio.timeout(wait_ms / 1000 + 1):
                await self._exchange(
                    address, text.encode() + b'\r\n' + body, answer, on_begin
                )
        except TimeoutError:
            answer.end = 'the client stopped waiting'
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.end = type(error).__name__
        self._record(f'client: answer to {name}: {answer}')
        return answer

    async def _exchange(self, address, data, answer, on_begin):
        ip, port = address.split(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(data)
            line, headers = '', {}
            while not line or line.split(' ')[1].startswith('1'):
                head = await read_head(reader)
                if head is None:
                    answer.end = 'closed without an answer'
                    return
                line, headers = head
            answer.status = int(line.split(' ')[1])
            answer.headers = headers
            if on_begin is not None:
                on_begin()
            await self._read_body(reader, answer)
        finally:
            writer.close()

    async def _read_body(self, reader, answer):
        if answer.headers.get('transfer-encoding') == 'chunked':
            while True:
                line = await reader.readline()
                if not line.strip():
                    answer.end = 'closed inside the chunks'
                    return
                size = int(line.split(b';')[0], 16)
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    answer.is_whole = True
                    answer.end = 'last chunk'
                    return
        if 'content-length' in answer.headers:
            length = int(answer.headers['content-length'])
            answer.body = await reader.readexactly(length)
            answer.is_whole = True
            answer.end = 'whole length'
            return
        while data := await reader.read(65536):
            answer.body += data
        answer.is_whole = True
        answer.end = 'closed, not reset'


class Program:
    """A process of the project, started as the deploy file says."""

    def __init__(self, fleet, role, name, fields):
        self.fleet = fleet
        self.role = role
        self.name = name
        self.fields = fields
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles'][self.role]
        path = self.fleet.folder / f'{self.name}.settings'
        path.write_text(rendered(ROOT / role['template'], self.fields))
        log = open(self.fleet.folder / f'{self.name}.log', 'ab')
        self.process = subprocess.Popen(
            role['run'].split(),
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'DANDELIONCLEAT_SETTINGS': str(path),
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.fleet.record(f'{self.name}: started')
        return self

    def signal(self, number):
        self.fleet.record(f'{self.name}: {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def ended(self, limit_s=12):
        until = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        code = self.process.poll()
        self.fleet.record(f'{self.name}: ended with {code}')
        return code

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    @property
    def address(self):
        return self.fields['listen']['front']

    async def is_ready(self):
        ip, port = self.fields['listen']['ready'].split(':')
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return False
        try:
            await send_get(writer, '/dandelioncleat/readiness')
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and ' 200 ' in head[0] + ' '
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def until_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRunError(f'{self.name} is not ready')
            await asyncio.sleep(0.05)
        self.fleet.record(f'{self.name}: ready')

    def log_lines(self, text):
        path = self.fleet.folder / f'{self.name}.log'
        return [line for line in path.read_text().splitlines() if text in line]


async def send_get(writer, path):
    writer.write(f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
    await writer.drain()


class CannotRunError(Exception):
    """The case could not be run."""


def rendered(template, fields):
    """Return a template with the platform's fields."""

    def value(match):
        name, _, form = match.group(1).partition('|')
        found = fields
        for part in name.split('.'):
            found = found[int(part) if isinstance(found, list) else part]
        return json.dumps(found) if form == 'json' else str(found)

    return re.sub(r'\{\{([^}]+)\}\}', value, template.read_text())


class Fleet:
    """Everything that a case starts; ends all of it."""

    def __init__(self, record):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self._temporary.name)
        self.memory_store = MemoryKeyedStore()
        self.store = self.memory_store
        self.programs = []
        self.client = Client(record)
        self.version = 0
        self.middlewares = []

    async def start_store(self):
        application = new_store_application(self.memory_store)
        application.middlewares.extend(self.middlewares)
        runner = web.AppRunner(application)
        await runner.setup()
        site = web.TCPSite(runner, '127.0.9.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.store_address = f'127.0.9.1:{port}'
        self._runner = runner

    async def configure(self, **document):
        self.version += 1
        value = json.dumps({'version': self.version, **document}).encode()
        await self.store.append('op', (('config', value),))
        self.record(f'operator: version {self.version} written')

    async def machine(self, role, number, *, gateways=()):
        """Return a program on a machine of its own, not started yet."""
        letter = {'router': 1, 'gateway': 2}[role]
        ip = f'127.0.{letter}.{number}'
        link = await Link(ip, self.store_address).start()
        ports = {name: f'{ip}:{free_port(ip)}'
                 for name in ('front', 'ready', 'control')}
        name = f'{role}-{number}'
        fields = {
            'nodeName': name,
            'ip': ip,
            'zone': 'zone-a',
            'listen': ports,
            'portRange': [free_port(ip), 65535],
            'seeds': [each.fields['listen']['control'] for each in gateways],
            'limits': {'cpuShare': 0.817, 'vcpus': 1, 'memoryMb': 150,
                       'maxFds': 4100, 'linkMbps': 1000.0},
            'bounds': {'budgetRatio': 0.2, 'budgetSlack': 52,
                       'budgetWindowS': 10, 'graceS': GRACE_S},
            'platform': {'address': link.address},
        }
        program = Program(self, role, name, fields)
        program.link = link
        self.programs.append(program)
        return program

    def end(self):
        for program in self.programs:
            program.end()
        self._temporary.cleanup()


def document(routes, services, *, prepaid=None, tenants=(TENANT,)):
    """Return a configuration; the key of a tenant is that of ``key_of``."""
    rows = [{'name': name, 'apiKeys': [key_of(name)], 'priority': 1}
            for name in tenants]
    if prepaid is not None:
        rows = [{**row, 'prepaid': prepaid} for row in rows]
    return {
        'routes': routes,
        'services': services,
        'limits': {'headerBytes': 16384, 'bodyBytes': 4194304,
                   'headerMs': 3000, 'idleMs': 15000},
        'tenants': rows,
    }


def key_of(tenant):
    return f'key-of-{tenant}'


def route(name, service, kind, *, timeout_ms, resumable=False, attempts=1,
          slo_ms=600):
    return {
        'name': name, 'host': HOST, 'pathPrefix': f'/{name}/', 'type': kind,
        'timeoutMs': timeout_ms, 'sloMs': slo_ms, 'priority': 0,
        'service': service, 'maxAttempts': attempts, 'public': False,
        'sessionAffinity': kind == 'streaming', 'resumable': resumable,
    }


def plain_service(name):
    return {'name': name, 'healthPath': '/health', 'maxConnections': 96,
            'protocol': 'h1', 'tls': False}


def model_service(name):
    return {
        **plain_service(name),
        'engine': {'slots': 64, 'kvCapacity': 401764, 'kvTokenBytes': 327680,
                   'linkMbps': 290000.0, 'moves': True, 'backups': True,
                   'stride': 5, 'most': 12, 'pinMs': 4000.0, 'holdMs': 2000.0,
                   'handleS': 5.0, 'models': [{'name': MODEL}]},
    }


def prompt_headers(tokens_in, tokens_out, part='5c1e07a2'):
    return {
        'Model': MODEL,
        'Token-Count': f'{tokens_in},{tokens_out}',
        'Prompt-Prefix': f'{part}:{tokens_in}',
        'Content-Type': 'application/json',
    }


def run_case(folder, play):
    """Run a case; return BROKEN if the rule was broken, 0 if it held, else 2.

    ``play(fleet, is_troubled)`` returns whether the rule was broken.
    """
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(folder) / 'record.txt')
    record(f'disruption: {is_troubled}')

    async def main():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: _note(context))
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(110):
                return await play(fleet, is_troubled)
        finally:
            fleet.end()

    def _note(context):
        error = context.get('exception')
        if not isinstance(error, asyncio.CancelledError):
            record(f'stand-in: {context["message"]}: {error!r}')

    try:
        is_broken = asyncio.run(main())
    except Exception as error:
        record(f'the case could not run: {error!r}')
        print(f'could not run: {error!r}', file=sys.stderr)
        return 2
    record('the rule was broken' if is_broken else 'the rule held')
    print('broken' if is_broken else 'held')
    return BROKEN if is_broken else 0
