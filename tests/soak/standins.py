"""Stand-ins that misbehave: a store that falls silent, targets that fail."""

import asyncio
import contextlib
import time
from enum import StrEnum

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from platform_store import Store
from servers import Server

from dandelioncleat.adapters.connection_reset import reset_connection
from tests.soak.crashes import Arrival, Remnant, crashing_name
from tests.soak.crashing_parts import PartEnd, part_answer
from tests.soak.limits import Pause, Receipt

POLL_PATH = '/dandelioncleat/kv-events'
HEALTH_PATH = '/health'
# A target that asks for a pause wants nothing for this time, in seconds.
PAUSE_S = 2
# Calls without an answer are held for longer than any process waits.
HELD_S = 120.0
# A target that crashes after a whole answer does so this much later.
WHOLE_LEAD_S = 0.02


class SilentStore(Store):
    """A store that can fall silent.

    A call that is made, or waits, while it is silent is never answered, also
    not after the silence.
    """

    def __init__(self, record):
        """Initialise a store that answers."""
        super().__init__(record)
        self._ends = asyncio.Event()
        self._is_silent = False

    def fall_silent(self):
        """Answer no call until ``answer_again``."""
        self._is_silent = True
        self._ends.set()
        self._ends = asyncio.Event()

    def answer_again(self):
        """Answer the calls that are made from now on."""
        self._is_silent = False

    async def _append(self, request):
        return await self._unless_silent(super()._append, request)

    async def _read(self, request):
        return await self._unless_silent(super()._read, request)

    async def _newest(self, request):
        return await self._unless_silent(super()._newest, request)

    async def _unless_silent(self, answer, request):
        if self._is_silent:
            await asyncio.sleep(HELD_S)
        call = asyncio.ensure_future(answer(request))
        silence = asyncio.ensure_future(self._ends.wait())
        try:
            await asyncio.wait(
                (call, silence), return_when=asyncio.FIRST_COMPLETED
            )
            if not call.done():
                await asyncio.sleep(HELD_S)
            return call.result()
        finally:
            call.cancel()
            silence.cancel()


class Mode(StrEnum):
    """How a target treats requests."""

    SOUND = 'sound'
    ERROR = 'error'
    NOT_RUN = 'not run'
    RESET = 'reset'
    CUT = 'cut'
    LATE = 'late'
    PAUSED = 'paused'
    """It asks for a pause."""
    STILL = 'still'
    """It reads what has come only after it goes on."""


class PatientHandler(RequestHandler):
    """A connection that its target may keep when its sender closes it."""

    def eof_received(self):
        """Return whether the connection stays open for an answer."""
        return self._manager.target.goes_on


class PatientServer(web.Server):
    """Serves the connections of a target."""

    def __init__(self, target):
        """Initialise for a target whose ``goes_on`` may change."""
        super().__init__(target._handle, handler_cancellation=True)
        self.target = target

    def __call__(self):
        """Return the handler of a new connection."""
        return PatientHandler(self, loop=self._loop, **self._kwargs)


class FaultyTarget(Server):
    """A target whose mode can be set; ``arrivals`` has what reached it."""

    def __init__(self, fleet, name, service, **options):
        """Initialise a sound target."""
        super().__init__(fleet, name, service, **options)
        self.late_s = 0.5
        self.first_event_s = 0
        self.goes_on = False
        self.names_request = True
        self.pause_s = PAUSE_S
        self.pause_after_s = 0
        self.begun = set()
        self.crash = None
        self.crash_delay_s = 0
        self.part_crash = None
        self.drops_abandoned = False
        self.receipts = []
        self.pauses = []
        self.crashing_arrivals = []
        self.broken_off = set()
        self.ended = []
        self._mode = Mode.SOUND
        self._goes_on = asyncio.Event()
        self._goes_on.set()
        self._tasks = set()
        self.answer = self._answer_by_mode

    @property
    def mode(self):
        """Return how the target treats requests."""
        return self._mode

    @mode.setter
    def mode(self, mode):
        self._mode = mode
        if mode is Mode.STILL:
            self._goes_on.clear()
        else:
            self._goes_on.set()

    async def _handle(self, request):
        if request.path not in {POLL_PATH, HEALTH_PATH}:
            self._keep(
                self._arrive(
                    request.headers.get('Request-Id', ''),
                    request.headers.get('Deadline-Ms'),
                )
            )
        await self._goes_on.wait()
        crashing = crashing_name(request)
        if crashing is not None:
            await self._crash_under(request, crashing)
        try:
            return await super()._handle(request)
        finally:
            name = request.headers.get('Request-Id', '')
            self.ended.append((time.monotonic(), name))

    async def _arrive(self, request, left_ms):
        """Count an arrival, also if its sender has left by then."""
        came_at = time.monotonic()
        await self._goes_on.wait()
        now = time.monotonic()
        left_s = None if left_ms is None else int(left_ms) / 1000
        self.arrivals.append((now, request))
        self.receipts.append(Receipt(now, request, self.name, left_s, came_at))

    async def _crash_under(self, request, name):
        """Crash, unless the target is crashing already."""
        arrival = Arrival(time.monotonic(), name, has_crashed=False)
        if self.part_crash is not None:
            await self._crash_while_answering(request, arrival)
        elif self.drops_abandoned:
            await self._crash_later(arrival, self.born)
        elif self.crash_delay_s:
            # The target goes on with it, also if its sender leaves.
            self._keep(self._crash_later(arrival, self.born))
        else:
            self._crash_now(arrival)
        await asyncio.Event().wait()

    async def _crash_while_answering(self, request, arrival):
        """Write what the crash leaves of an answer, and crash."""
        await request.read()
        born, number = self.born, len(self.crashing_arrivals)
        self.crashing_arrivals.append(arrival)
        await asyncio.sleep(self.work_s)
        if self.born != born or not self._server.is_serving():
            return
        if request.transport is not None:
            request.transport.write(part_answer(request, self.part_crash.end))
        if self.part_crash.end is PartEnd.WHOLE:
            await asyncio.sleep(WHOLE_LEAD_S)
        self._crash_if_up(number, born)

    async def _crash_later(self, arrival, born):
        number = len(self.crashing_arrivals)
        self.crashing_arrivals.append(arrival)
        await asyncio.sleep(self.crash_delay_s)
        self._crash_if_up(number, born)

    def _crash_if_up(self, number, born):
        """Crash under an arrival, unless the target has crashed since."""
        if self.born == born and self._server.is_serving():
            arrival = self.crashing_arrivals[number]
            self.crashing_arrivals[number] = arrival._replace(
                has_crashed=True, delay_s=time.monotonic() - arrival.at
            )
            self._crash()

    def _crash_now(self, arrival):
        has_crashed = self._server.is_serving()
        self.crashing_arrivals.append(arrival._replace(has_crashed=has_crashed))
        if has_crashed:
            self._crash()

    def _crash(self):
        """End all connections, and start again as the crash says."""
        self.stop_beating()
        self._server.close()
        for connection in self._web.connections:
            if connection._current_request is not None:
                headers = connection._current_request.headers
                self.broken_off.add(headers.get('Request-Id'))
            if connection.transport is not None:
                self._break_off(connection.transport)
        self._keep(self._start_again(self.crash))

    def _break_off(self, transport):
        """End a connection as the crash does."""
        if self.part_crash is not None and self.part_crash.is_reset:
            reset_connection(transport)
        else:
            transport.abort()

    def _keep(self, work):
        """Do something that goes on without whoever asked for it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_again(self, crash):
        remnant = Remnant(crash.remainder, self.address)
        await remnant.start()
        await asyncio.sleep(crash.absence_s)
        remnant.close()
        self.sequence = 0
        self.born = int(time.time() * 1000)
        await self.start(port=int(self.address.rpartition(':')[2]))

    async def _answer_by_mode(self, request, run):
        await asyncio.sleep(float(request.query.get('work', 0)))
        match self._mode:
            case Mode.ERROR:
                return self._respond(request, 500, b'failed')
            case Mode.NOT_RUN:
                self.runs.remove(run)
                return self._respond(request, 503, b'', {'Not-Run': '1'})
            case Mode.PAUSED:
                self.runs.remove(run)
                await asyncio.sleep(self.pause_after_s)
                return self._ask_for_pause(request, run)
            case Mode.RESET:
                return self._cut(request)
            case Mode.CUT:
                await asyncio.sleep(self.work_s)
                return self._cut(request)
            case Mode.LATE:
                await asyncio.sleep(self.late_s)
        if not self.first_event_s:
            return await self._answer(request, run)
        task = asyncio.create_task(self._answer_slowly(request, run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        finally:
            if not self.goes_on:
                task.cancel()

    async def _answer_slowly(self, request, run):
        await asyncio.sleep(self.first_event_s)
        with contextlib.suppress(ConnectionResetError):
            return await self._answer(request, run)
        return web.Response()

    async def stream(self, request, run):
        """Answer with a stream, and note that its run has begun."""
        self.begun.add(run.id)
        return await super().stream(request, run)

    def _new_web_server(self):
        return PatientServer(self)

    def _ask_for_pause(self, request, run):
        pause = Pause(time.monotonic(), run.id, self.name, self.pause_s)
        self.pauses.append(pause)
        headers = {'Not-Run': '1', 'Retry-After': str(pause.length_s)}
        answer = self._respond(request, 503, b'', headers)
        if not self.names_request:
            del answer.headers['Request-Id']
        return answer

    def _cut(self, request):
        request.transport.abort()
        return web.Response()
