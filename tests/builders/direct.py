"""Builders of a direct router with its store and targets on loopback."""

import asyncio
import socket
from typing import NamedTuple

import aiohttp
import msgspec
from aiohttp import web

from dandelioncleat.adapters.connection_reset import reset_on_close
from dandelioncleat.daemons.direct_router import DirectRouter, Sockets
from dandelioncleat.daemons.direct_settings import (
    DirectListen,
    DirectRetries,
    DirectSettings,
    DirectStop,
    GatewayListen,
    GatewaySettings,
)
from dandelioncleat.daemons.store_gateway import GatewaySockets, StoreGateway
from dandelioncleat.platform.names import CACHE_EVENTS_PATH, TARGET_ID
from dandelioncleat.platform.status_page import StatusPage
from dandelioncleat.platform.store_standin import new_store_application
from dandelioncleat.ports.telemetry import NullTelemetry
from dandelioncleat.standin.keyed_store import MemoryKeyedStore
from tests.builders.store_paths import StorePath

KEY = 'k-1'
HEALTH_PATH = '/health'
HOST = 'api.example'
MODEL_HEADERS = {
    'Model': 'm',
    'Token-Count': '100,50',
    'Prompt-Prefix': 'aa:60,bb:40',
}

# Headers that are in all answers of the target that got a request.
NOTICES = web.RequestKey('notices', dict)


def route(prefix, kind, service, **changes):
    """Return a route as the operator writes it."""
    fields = {
        'name': f'r{prefix}',
        'host': HOST,
        'pathPrefix': prefix,
        'type': kind,
        'timeoutMs': 5000,
        'sloMs': 1000,
        'priority': 0,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        'resumable': False,
    }
    return {**fields, **changes}


def configuration(version=1, *, routes=None, prepaid=100_000, **limits):
    """Return a configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes
        or [
            route('/safe/', 'idempotent', 'app'),
            route('/once/', 'non_idempotent', 'app', maxAttempts=1),
            route('/stream/', 'streaming', 'llm', resumable=True),
            route('/single/', 'streaming', 'llm', maxAttempts=1),
        ],
        'services': [
            {'name': 'app', 'healthPath': HEALTH_PATH, 'maxConnections': 9},
            {
                'name': 'llm',
                'healthPath': HEALTH_PATH,
                'maxConnections': 9,
                'engine': {'slots': 8, 'kvCapacity': 90000, 'stride': 5},
            },
        ],
        'limits': {
            'headerBytes': 8000,
            'bodyBytes': 1000,
            'headerMs': 3000,
            'idleMs': 15000,
            **limits,
        },
        'tenants': [{'name': 'o', 'apiKeys': [KEY], 'prepaid': prepaid}],
    }


class Target:
    """A target with answers scripted by the test."""

    def __init__(self, name, service):
        """Initialise with the target's id and service."""
        self.name = name
        self.service = service
        self.answers = []
        self.requests = []
        self.bodies = []
        self.cancelled = asyncio.Event()
        self.polls = 0
        self.status_checks = 0
        self.poll_status = 404
        self.poll_headers = {}
        self.limit_per_s = None
        self._server = None
        self.address = ''

    async def start(self):
        """Listen on loopback."""
        loop = asyncio.get_running_loop()
        server = web.Server(
            self._handle, handler_cancellation=True, auto_decompress=False
        )
        self._server = await loop.create_server(server, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def close(self):
        """Stop listening."""
        self._server.close()

    def entry(self, state='ready', version='v1'):
        """Return the entry that the target writes to the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'z1',
            'version': version,
            'slots': 8,
            'state': state,
            'coldMs': 0,
            'sequence': 1,
        }

    async def _handle(self, request):
        if request.path == HEALTH_PATH:
            # The router asks for it after a lost answer.
            self.status_checks += 1
            return web.Response(headers={TARGET_ID: self.name})
        if request.path == CACHE_EVENTS_PATH:
            # The router polls on its own schedule, beside the requests.
            self.polls += 1
            return web.Response(
                status=self.poll_status,
                headers={**self._notices(), **self.poll_headers},
            )
        request[NOTICES] = self._notices()
        body = await request.read()
        self.requests.append(request)
        self.bodies.append(body)
        answer = self.answers.pop(0) if self.answers else text_answer('ok')
        try:
            return await answer(request)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise

    def _notices(self):
        """Return the headers that are in all answers of the target."""
        if self.limit_per_s is None:
            return {}
        return {'Server-Limit': str(self.limit_per_s)}


def text_answer(text, status=200, **headers):
    """Return an answer with a stamp and the request's id."""

    async def answer(request):
        return web.Response(
            text=text, status=status, headers=_headers(request, headers)
        )

    return answer


def not_run():
    """Return the answer of a target that has no room."""
    return text_answer('full', 503, **{'Not-Run': '1'})


def aborted(until=None):
    """Return an answer that closes the connection before its head.

    :param until: an event that must be set before
    """

    async def answer(request):
        if until is not None:
            await until.wait()
        request.transport.abort()
        return web.Response()

    return answer


def crashed(target):
    """Return an answer that breaks off as its target stops listening."""
    return crashed_after(target, aborted())


def crashed_after(target, answer):
    """Return an answer that ends as its target stops listening."""

    async def ended(request):
        target.close()
        return await answer(request)

    return ended


def never_answered():
    """Return an answer that never comes."""

    async def answer(request):
        await asyncio.Event().wait()

    return answer


def typed_answer(text, status, **headers):
    """Return an answer whose headers may name its content type."""

    async def answer(request):
        return web.Response(
            body=text.encode(),
            status=status,
            headers=_headers(request, headers),
        )

    return answer


def events(first, last, *, cut=False, until=None, status=200):
    """Return a stream of numbered events.

    :param cut: whether the stream breaks off inside another event
    :param until: an event that must be set before the stream ends
    """

    async def answer(request):
        response = web.StreamResponse(
            status=status,
            headers=_headers(request, {'Content-Type': 'text/event-stream'}),
        )
        await response.prepare(request)
        for number in range(first, last + 1):
            await response.write(event_bytes(number, number))
        if until is not None:
            await until.wait()
        if cut:
            await response.write(b'id: 99\nda')
            request.transport.close()
        return response

    return answer


def close_delimited(body, content_type='text/event-stream', *, reset=False):
    """Return an answer without length or chunks that ends by its connection.

    :param reset: whether the connection is reset rather than closed
    """

    async def answer(request):
        headers = _headers(request, {'Content-Type': content_type})
        lines = [f'{name}: {text}' for name, text in headers.items()]
        head = '\r\n'.join(('HTTP/1.1 200 OK', *lines, '', ''))
        request.transport.write(head.encode() + body)
        if reset:
            reset_on_close(request.transport, is_on=True)
        request.transport.close()
        return web.Response()

    return answer


def whole_frame(body):
    """Return a stream in chunks, with the last chunk, that has any body."""

    async def answer(request):
        response = web.StreamResponse(
            headers=_headers(request, {'Content-Type': 'text/event-stream'})
        )
        await response.prepare(request)
        await response.write(body)
        return response

    return answer


def endless(start, part):
    """Return an answer that repeats a part until its connection is closed."""

    async def answer(request):
        transport = request.transport
        transport.write(start)
        while True:
            if transport.get_write_buffer_size() < len(part):
                transport.write(part)
            await asyncio.sleep(0)

    return answer


def event_bytes(first, last):
    """Return numbered events as they are sent."""
    numbers = range(first, last + 1)
    return b''.join(b'id: %d\ndata: x\n\n' % number for number in numbers)


def head_only():
    """Return the head of a stream whose first event never comes."""

    async def answer(request):
        response = web.StreamResponse(
            headers=_headers(request, {'Content-Type': 'text/event-stream'})
        )
        await response.prepare(request)
        await asyncio.Event().wait()

    return answer


def cut_then_resumed(cut_after, last):
    """Return a stream that breaks off, or its rest if it is resumed."""

    async def answer(request):
        if 'Last-Event-Id' in request.headers:
            return await events(cut_after + 1, last)(request)
        return await events(0, cut_after, cut=True)(request)

    return answer


def _headers(request, more):
    return {
        'Request-Id': request.headers.get('Request-Id', ''),
        'Server-Stamp': 's.1',
        **request.get(NOTICES, {}),
        **more,
    }


class Fleet:
    """A store, some targets and one direct router."""

    def __init__(self):
        """Initialise without starting anything."""
        self.store = MemoryKeyedStore()
        self.store_path = StorePath(self.store)
        self.app = Target('i-app', 'app')
        self.llm = Target('i-llm', 'llm')
        self.llm2 = Target('i-llm2', 'llm')
        self.router = None
        self.gateway = None
        self.session = None
        self.stopped = None
        self._gateway_task = None
        self._store_runner = None
        self._task = None
        self._url = ''
        self._gateways = ()

    async def start(
        self, *, document=None, targets=None, is_cut=False, evacuated=()
    ):
        """Start everything; the router is ready if there is a configuration.

        :param evacuated: data centres that an operator has evacuated before
        :param is_cut: whether the router reaches the store only by a gateway
        """
        await self._start_store()
        if is_cut:
            await self._start_gateway()
        for target in (self.app, self.llm, self.llm2):
            await target.start()
        for target in targets or (self.app, self.llm):
            await self.put('servers', target.name, target.entry())
        for data_centre in evacuated:
            await self.put('op', f'evacuate/{data_centre}', {'x': 1})
        if document is not None:
            await self.put('op', 'config', document)
        await self._start_router()
        self.session = aiohttp.ClientSession()

    async def put(self, topic, key, document):
        """Write a record as the operator or a target does."""
        value = msgspec.json.encode(document) if document else b''
        await self.store.append(topic, ((key, value),))

    async def wait_until(self, condition):
        """Wait until a condition is true."""
        async with asyncio.timeout(20):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def ready(self):
        """Wait until the router accepts requests and lists the targets."""
        await self.wait_until(lambda: self.router.is_ready)
        await self.wait_until(
            lambda: (
                self.router.target_count('app')
                and self.router.target_count('llm')
            )
        )

    async def list_second_engine(self):
        """List the second model engine, and wait until the router knows it."""
        await self.put('servers', self.llm2.name, self.llm2.entry())
        await self.wait_until(lambda: self.router.target_count('llm') > 1)

    async def call(self, path, *, method='POST', body=b'{}', **headers):
        """Send a request; return its status, headers and body."""
        response = await self.begin(path, method=method, body=body, **headers)
        async with response:
            return response.status, response.headers, await response.read()

    async def begin(self, path, *, method='POST', body=b'{}', **headers):
        """Send a request; return its response once it has begun."""
        sent = {
            'Host': HOST,
            'Request-Id': 'r-1',
            'Deadline-Ms': '4000',
            'Authorization': f'Bearer {KEY}',
            **headers,
        }
        sent = {name: text for name, text in sent.items() if text is not None}
        return await self.session.request(
            method, self._url + path, data=body, headers=sent
        )

    async def send_raw(self, data):
        """Send bytes over a new connection; return the answer."""
        host, port = self._url.removeprefix('http://').split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        async with asyncio.timeout(10):
            answer = await reader.read(4096)
        writer.close()
        return answer

    @property
    def callers_address(self):
        """Return the address and port at which the router takes requests."""
        ip, port = self._url.removeprefix('http://').split(':')
        return ip, int(port)

    async def connect(self):
        """Open a connection to the router; return its streams."""
        return await asyncio.open_connection(*self.callers_address)

    async def raw_answer(self, path, *, version='1.1', pause_s=0, **headers):
        """Send a request; return its answer as it is on the wire.

        :param version: version of HTTP that the caller speaks
        :param pause_s: time between the first line and the rest, in seconds
        """
        ip, port = self._url.removeprefix('http://').split(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        sent = {
            'Host': HOST,
            'Request-Id': 'r-1',
            'Deadline-Ms': '4000',
            'Authorization': f'Bearer {KEY}',
            'Content-Length': '2',
            'Connection': 'close',
            **headers,
        }
        lines = [f'{name}: {text}' for name, text in sent.items()]
        head = '\r\n'.join((*lines, '', ''))
        writer.write(f'POST {path} HTTP/{version}\r\n'.encode())
        await asyncio.sleep(pause_s)
        writer.write(head.encode() + b'{}')
        answer = await read_to_end(reader)
        writer.close()
        return answer

    async def stop(self):
        """Stop the router as planned, then everything else."""
        self.stopped = await self.router.stop(limit_s=5)
        await self.close()

    async def close(self):
        """Stop everything."""
        self.store_path.open()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self.router.close()
        if self.gateway is not None:
            await self._stop_gateway()
        await self.session.close()
        for target in (self.app, self.llm, self.llm2):
            target.close()
        await self._store_runner.cleanup()

    async def _start_store(self):
        self._store_runner = web.AppRunner(
            new_store_application(self.store_path)
        )
        await self._store_runner.setup()
        sock = listener()
        self._store_address = _address(sock)
        await web.SockSite(self._store_runner, sock).start()

    async def _start_gateway(self):
        sockets = GatewaySockets(listener(), listener())
        addresses = [_address(sock) for sock in sockets]
        self.gateway = StoreGateway(
            GatewaySettings(
                host='g1',
                data_centre='z1',
                store=self._store_address,
                listen=GatewayListen(*addresses),
                stop=DirectStop(limit_s=1),
            ),
            sockets=sockets,
            telemetry=NullTelemetry(),
            status_page=StatusPage(lambda: b'metrics'),
        )
        self._gateway_task = asyncio.ensure_future(self.gateway.run())
        self._gateways = (addresses[0],)
        self._store_address = _address(listener())

    async def _stop_gateway(self):
        self._gateway_task.cancel()
        await asyncio.gather(self._gateway_task, return_exceptions=True)
        await self.gateway.close()

    async def replace_router(self, host):
        """Kill the router and start one on another host."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self.router.close()
        await self._start_router(host)
        await self.ready()

    async def _start_router(self, host='h1'):
        sockets = Sockets(listener(), listener(), listener())
        addresses = [_address(sock) for sock in sockets]
        self._url = f'http://{addresses[0]}'
        self.router = DirectRouter(
            DirectSettings(
                host=host,
                data_centre='z1',
                store=self._store_address,
                listen=DirectListen(*addresses),
                # A new router has no slack yet, and tests send few requests.
                retries=DirectRetries(ratio=4, slack=50, window_s=10),
                stop=DirectStop(limit_s=5),
                gateways=self._gateways,
                store_copy_age_s=0,
            ),
            sockets=sockets,
            telemetry=NullTelemetry(),
            status_page=StatusPage(lambda: b'metrics'),
        )
        self._task = asyncio.ensure_future(self.router.run())


def run_with_fleet(scenario, *, is_served=True, **options):
    """Run a scenario with a fleet and return its result.

    :param is_served: whether each service has a target from the start
    """

    async def run():
        fleet = Fleet()
        options.setdefault('document', configuration())
        await fleet.start(**options)
        try:
            if is_served and options['document'] is not None:
                await fleet.ready()
            return await scenario(fleet)
        finally:
            await fleet.close()

    return asyncio.run(run())


def request_head(path, *, length):
    """Return the head of a request as it is on the wire."""
    sent = {
        'Host': HOST,
        'Request-Id': 'r-1',
        'Deadline-Ms': '4000',
        'Authorization': f'Bearer {KEY}',
        'Content-Length': str(length),
    }
    lines = [f'POST {path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in sent.items()]
    return '\r\n'.join((*lines, '', '')).encode()


class RecordedReply:
    """A reply that keeps what was sent to the caller.

    ``end`` tells how it ended: ``finished``, ``aborted`` or ``refused``.
    """

    def __init__(self):
        """Initialise without an answer."""
        self.head = None
        self.body = b''
        self.end = None
        self.refusal = None

    def note_run(self, must_go_on):
        """Ignore which runs go on; the caller stays."""

    async def send_complete(self, answer):
        """Keep a complete answer."""
        self.head, self.body = answer
        self.end = 'finished'

    async def refuse(self, refusal):
        """Keep that the request was refused."""
        self.end = 'refused'
        self.refusal = refusal

    async def begin(self, head):
        """Keep the head of a stream."""
        self.head = head

    async def write(self, data):
        """Keep the next bytes of a stream."""
        self.body += data

    async def finish(self):
        """Keep that the stream was finished."""
        self.end = 'finished'

    async def abort(self):
        """Keep that the stream was broken off."""
        self.end = 'aborted'


class RawAnswer(NamedTuple):
    """The bytes of an answer, and how its connection ended."""

    head: bytes
    body: bytes
    was_reset: bool

    @property
    def looks_complete(self):
        """Return whether a caller takes the stream for complete."""
        if self.was_reset:
            return False
        if b'chunked' in self.head.lower():
            return self.body.endswith(b'0\r\n\r\n')
        return self.body.endswith(b'\n\n')

    @property
    def claims_an_end(self):
        """Return whether the head says where the body ends."""
        head = self.head.lower()
        return b'chunked' in head or b'content-length' in head


async def read_to_end(reader, begun=b''):
    """Read the rest of an answer, and how its connection ends.

    :param begun: what was read of the answer before
    """
    data = begun
    was_reset = False
    try:
        async with asyncio.timeout(10):
            while part := await reader.read(4096):
                data += part
    except ConnectionResetError:
        was_reset = True
    head, _, body = data.partition(b'\r\n\r\n')
    return RawAnswer(head, body, was_reset)


def listener():
    """Return a socket that listens on loopback, at a free port."""
    return socket.create_server(('127.0.0.1', 0))


def _address(sock):
    ip, port = sock.getsockname()
    return f'{ip}:{port}'
