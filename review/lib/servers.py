"""Stand-ins of the platform's servers, as PROTOCOL.md describes them."""

import asyncio
import time

from aiohttp import web

HEARTBEAT_S = 1.2
STRIDE = 5


class Server:
    """A sound server; ``runs`` lists what it has run, in order."""

    def __init__(
        self,
        fleet,
        name,
        service,
        *,
        slots=64,
        work_s=0.02,
        zone='klang-a',
        is_model=True,
    ):
        self.name = name
        self.service = service
        self.runs = []
        self.arrivals = []
        self.address = ''
        self.work_s = work_s
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self._fleet = fleet
        self._slots = slots
        self._zone = zone
        self._is_model = is_model
        self._beat = None
        self._server = None
        self._web = None
        self.answer = None
        self.running = 0

    async def start(self, *, beats=True, port=0):
        loop = asyncio.get_running_loop()
        self._web = self._new_web_server()
        self._server = await loop.create_server(self._web, '127.0.0.1', port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.register()
        if beats:
            self._beat = asyncio.create_task(self._keep_beating())

    def _new_web_server(self):
        return web.Server(self._handle, handler_cancellation=True)

    def entry(self):
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self._zone,
            'version': 'v1',
            'slots': self._slots,
            'state': self.state,
            'coldMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    def register(self):
        self._fleet.store.put('servers', self.name, self.entry())

    def stop_beating(self):
        if self._beat is not None:
            self._beat.cancel()

    async def close(self):
        """End the process: every channel is closed, and nothing listens."""
        self.stop_beating()
        self._server.close()
        await self._web.shutdown(0.01)

    async def _keep_beating(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def _handle(self, request):
        if request.path == '/dandelioncleat/kv-events':
            await asyncio.sleep(int(request.headers.get('Wait-Ms', 0)) / 1000)
            return web.json_response(
                {'epoch': 'e', 'next': 0, 'lost': False, 'events': []}
            )
        if request.path == '/health':
            return web.Response(headers={'Instance-Id': self.name})
        name = request.headers.get('Request-Id', '')
        body = await request.read()
        expected = request.headers.get('Expect-Instance', self.name)
        if expected != self.name:
            return self._respond(request, 421, b'', {'Not-Run': '1'})
        if not name:
            return self._respond(request, 400, b'', {'Not-Run': '1'})
        run = Run(request, body)
        self.runs.append(run)
        self._fleet.record(
            'server runs',
            server=self.name,
            request=name,
            tenant=request.headers.get('Tenant'),
        )
        self.running += 1
        try:
            return await (self.answer or self._answer)(request, run)
        finally:
            self.running -= 1

    async def _answer(self, request, run):
        await asyncio.sleep(self.work_s)
        if 'Token-Count' not in request.headers or not self._is_model:
            run.is_complete = True
            return self._respond(request, 200, b'x' * 800)
        return await self.stream(request, run)

    async def stream(self, request, run):
        tokens = int(request.headers['Token-Count'].split(',')[1])
        response = web.StreamResponse(
            headers=self._headers(
                request, {'Content-Type': 'text/event-stream'}
            )
        )
        await response.prepare(request)
        first = int(request.headers.get('Last-Event-Id', -1)) + 1
        for number in range(first, -(-tokens // STRIDE)):
            await response.write(b'id: %d\ndata: %s\n\n' % (number, b't' * 20))
            run.events += 1
            await asyncio.sleep(0.004)
        await response.write_eof()
        run.is_complete = True
        return response

    def _respond(self, request, status, body, headers=None):
        return web.Response(
            status=status,
            body=body,
            headers=self._headers(request, headers or {}),
        )

    def _headers(self, request, more):
        return {
            'Request-Id': request.headers.get('Request-Id', ''),
            'Server-Stamp': f'{self.name}.{len(self.runs)}',
            'Server-Load': f'{self.running},0,{self._slots}',
            **more,
        }


class Run:
    """A request that a server began to work on."""

    def __init__(self, request, body):
        self.at = time.monotonic()
        self.id = request.headers['Request-Id']
        self.method = request.method
        self.path = request.raw_path
        self.body = body
        self.events = 0
        self.is_complete = False
