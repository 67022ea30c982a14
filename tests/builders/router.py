"""A router with fake sidecars, budgets and fleet."""

import asyncio
import random
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import Any, cast

from dandelioncleat.adapters.memory_peers import MemoryNetwork, MemoryPeers
from dandelioncleat.app.router import Router, new_router
from dandelioncleat.core.configuration import (
    Configuration,
    Organisation,
    Service,
    ServiceKind,
    Target,
    empty_configuration,
)
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.fleet import FleetFold
from dandelioncleat.core.home import Home
from dandelioncleat.core.identity import (
    BudgetId,
    Digest,
    Draw,
    GrantId,
    Incarnation,
    RequestKey,
    RunId,
)
from dandelioncleat.core.message import (
    Accepted,
    AskStatus,
    AskTokenCount,
    Attach,
    Cancel,
    Chunk,
    Dispatch,
    Finished,
    Load,
    Message,
    Refusal,
    Report,
    Resume,
    Sealed,
    SealRun,
    Status,
    TokenCount,
    WatchLoad,
)
from dandelioncleat.core.record import Bill, Join
from dandelioncleat.core.request import (
    AnswerEnd,
    AnswerPiece,
    CallerRequest,
)
from dandelioncleat.ports.host_list import HostState
from dandelioncleat.ports.peer import CallContext
from dandelioncleat.ports.telemetry import NullTelemetry

ANSWER = (b'Dues for ', b'MV Kelana ', b'are settled.')
CHUNK_INTERVAL_S = 0.1
LINK_DELAY_S = 0.001


def new_configuration(
    targets: tuple[str, ...] = ('t1', 't2', 't3'),
    **service: Any,
) -> Configuration:
    """Return a configuration with a model and a plain service."""
    model = Service('dues-llm', ServiceKind.MODEL, models=('dues',))
    plain = Service('billing-app', ServiceKind.PLAIN, price_tokens=5)
    return empty_configuration()._replace(
        version=1,
        services_by_name={
            'dues-llm': model._replace(**service),
            'billing-app': plain,
        },
        targets_by_name={
            name: Target(name, 'dues-llm', 'klang-a') for name in targets
        },
        organisations_by_name={'agency': Organisation('agency', budget=9000)},
    )


def new_request(key: str = 'k1', **fields: Any) -> CallerRequest:
    """Return a model request of the agency."""
    request = CallerRequest(
        RequestKey('agency', key),
        BudgetId('agency'),
        'dues-llm',
        'POST',
        '/v1/completions',
        'application/json',
        b'{"prompt": "dues"}',
        Digest('body'),
        idempotent=True,
        prompt_bound=20,
        cap=50,
        priority=0,
        deadline_s=30,
    )
    return request._replace(**fields)


class FakeKeeper:
    """A configuration or fleet keeper whose content the test sets."""

    def __init__(self) -> None:
        self.current = new_configuration()
        self.fold = FleetFold()
        self.ready = True
        self.caught_up = asyncio.Event()
        self.caught_up.set()
        self.submitted: list[Any] = []
        self._listeners: list[Callable[[], None]] = []

    async def wait_ready(self, timeout_s: float) -> bool:
        return self.ready

    def on_change(self, listener: Callable[[], None]) -> None:
        self._listeners.append(listener)

    def note_peer_version(self, version: int, peer: str) -> None:
        return None

    async def submit(self, *records: Any) -> tuple[Any, ...]:
        self.submitted.extend(records)
        for record in records:
            producer = Incarnation('test')
            self.fold.apply(len(self.submitted), 0, producer, record)
        self.notify()
        return ()

    def set(self, current: Configuration) -> None:
        self.current = current
        self.notify()

    def notify(self) -> None:
        for listener in self._listeners:
            listener()


class FakeBudgets:
    """Holds one grant and records how it is used."""

    def __init__(self, tokens: int = 9000) -> None:
        self.caught_up = True
        self.left = tokens
        self.reserved = 0
        self.spent = 0
        self.forfeited = 0
        self.returned = False
        self.bills: list[Bill] = []

    async def reserve(
        self, budget: BudgetId, tokens: int, *, timeout_s: float
    ) -> tuple[Draw, ...]:
        if tokens > self.left:
            raise failure_error(
                Code.BUDGET, step='reserve', peer='ledger', text='too little'
            )
        self.left -= tokens
        self.reserved += tokens
        return (Draw(GrantId(Incarnation('r1/1'), 1), tokens),)

    def settle(
        self, budget: BudgetId, draws: tuple[Draw, ...], tokens: int
    ) -> None:
        held = sum(draw.tokens for draw in draws)
        self.reserved -= held
        self.spent += tokens
        self.left += held - tokens

    def forfeit(
        self,
        budget: BudgetId,
        draws: tuple[Draw, ...],
        *,
        run: RunId | None = None,
    ) -> None:
        held = sum(draw.tokens for draw in draws)
        self.reserved -= held
        self.forfeited += held

    async def bill(self, bill: Bill) -> None:
        self.bills.append(bill)

    async def return_all(self) -> None:
        self.returned = True


class FakeSidecar:
    """Answers runs with scripted frames and records which of them ran.

    ``refusals`` are returned to dispatches in turn; ``transform_frames`` may
    change the frames of a stream; if ``drops_dispatches`` is set, dispatches
    are lost before they run.
    """

    def __init__(
        self, name: str, *, slots: int = 4, data_centre: str = 'klang-a'
    ):
        self.target = name
        self.incarnation = Incarnation(f'{name}-host/1')
        self.address = f'{name}:1'
        self.data_centre = data_centre
        self.slots = slots
        self.home = Home(self.incarnation)
        self.answer_chunks: tuple[bytes, ...] = ANSWER
        self.chunk_interval_s = CHUNK_INTERVAL_S
        self.refusals: deque[Refusal] = deque()
        self.transform_frames: (
            Callable[[list[Message]], list[Message]] | None
        ) = None
        self.drops_dispatches = False
        self.attach_delay_s = 0.0
        self.never_seals = False
        self.prompt_tokens: int | None = None
        self.leaving = False
        self.ran: list[RequestKey] = []
        self.cancelled: list[Any] = []
        self.reports: list[Report] = []
        self.sealed: dict[Any, bool] = {}
        self.runs: dict[Any, list[Message]] = {}
        self.changed = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def join(self) -> Join:
        return Join(
            self.incarnation,
            'sidecar',
            self.data_centre,
            self.address,
            self.target,
            'dues-llm',
        )

    async def answer(
        self, message: Message, context: CallContext
    ) -> AsyncIterator[Message]:
        match message:
            case WatchLoad():
                while True:
                    yield self._load()
                    await self._wait_for_change()
            case Attach():
                await asyncio.sleep(self.attach_delay_s)
                yield self._attach(message)
            case Dispatch():
                async for reply in self._dispatch(message):
                    yield reply
            case Resume():
                if message.run not in self.runs:
                    yield _refuse(Code.NOT_FOUND)
                    return
                async for reply in self._stream(message.run, message.start):
                    yield reply
            case SealRun():
                ran = message.run in self.runs or self.never_seals
                self.sealed[message.run] = True
                yield Sealed(message.run, ran)
            case AskTokenCount() if self.prompt_tokens is not None:
                yield TokenCount(self.prompt_tokens)
            case AskTokenCount():
                yield _refuse(Code.TARGET)
            case Cancel():
                self.cancelled.append(message.run)
                yield Accepted()
            case Report():
                self.reports.append(message)
                self.home.report(message)
                yield Accepted()
            case AskStatus():
                yield Status(
                    self.incarnation, 'sidecar', 'ready', 1, Digest(''), b'{}'
                )

    def _attach(self, message: Attach) -> Message:
        reply = self.home.attach(message, 0)
        if not message.executor and not isinstance(reply, Refusal):
            if getattr(reply, 'executor', '') == '':
                self.home = Home(self.incarnation)
                return _refuse(Code.NOT_FOUND)
        return reply

    async def _dispatch(self, message: Dispatch) -> AsyncIterator[Message]:
        if self.drops_dispatches:
            raise failure_error(
                Code.UNREACHABLE, step='stream', peer='', text='cut'
            )
        if self.sealed.get(message.run):
            yield _refuse(Code.SEALED)
            return
        if self.refusals:
            yield self.refusals.popleft()
            return
        self.runs[message.run] = []
        self.ran.append(RequestKey(message.run.organisation, message.run.key))
        self.tasks.append(asyncio.create_task(self._produce(message.run)))
        async for reply in self._stream(message.run, 0):
            yield reply

    async def _produce(self, run: Any) -> None:
        frames = self.runs[run]
        size = 0
        for data in self.answer_chunks:
            await asyncio.sleep(self.chunk_interval_s)
            if run in self.cancelled:
                break
            frames.append(Chunk(run, size, data, 1))
            size += len(data)
            self._notify()
        tokens = 10 + len(frames)
        complete = run not in self.cancelled
        frames.append(
            Finished(
                run,
                200,
                'text/plain',
                size,
                10,
                len(frames),
                tokens,
                'stop' if complete else 'cancelled',
                complete,
            )
        )
        self._notify()

    async def _stream(self, run: Any, start: int) -> AsyncIterator[Message]:
        position = 0
        while True:
            frames = self.runs[run][position:]
            position += len(frames)
            wanted = [
                frame
                for frame in frames
                if not isinstance(frame, Chunk)
                or frame.start + len(frame.data) > start
            ]
            for frame in (
                self.transform_frames(wanted)
                if self.transform_frames
                else wanted
            ):
                yield frame
            if frames and isinstance(frames[-1], Finished):
                return
            await self._wait_for_change()

    def _load(self) -> Load:
        running = sum(
            1
            for frames in self.runs.values()
            if not (frames and isinstance(frames[-1], Finished))
        )
        return Load(
            self.target,
            self.incarnation,
            self.leaving,
            self.slots,
            running,
            0,
            0,
            0,
            0,
            (),
        )

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _wait_for_change(self) -> None:
        await self.changed.wait()


def _refuse(code: Code) -> Refusal:
    return Refusal(code, 'test', 'test', 'refused by script')


class FakeHostList:
    """Lists hosts as the test sets them."""

    def __init__(self) -> None:
        self.states: tuple[HostState, ...] = ()

    async def hosts(self) -> tuple[HostState, ...]:
        return self.states


class Bench:
    """One router with fake sidecars on a memory network."""

    def __init__(
        self,
        *names: str,
        slots: int = 4,
        budgets: FakeBudgets | None = None,
        name: str = 'r1',
        other: 'Bench | None' = None,
    ) -> None:
        self.partitioned: set[str] = set()
        self.network = other.network if other else MemoryNetwork(self._link)
        self.configuration = other.configuration if other else FakeKeeper()
        self.fleet = other.fleet if other else FakeKeeper()
        self.host_list = FakeHostList()
        self.budgets = budgets or FakeBudgets()
        self.sidecars = (
            other.sidecars
            if other
            else {
                each: FakeSidecar(each, slots=slots)
                for each in names or ('t1', 't2', 't3')
            }
        )
        incarnation = Incarnation(f'{name}/1')
        peers = MemoryPeers(
            self.network,
            address=f'{name}:1',
            incarnation=incarnation,
            version=lambda: 1,
            on_version=lambda peer, version: None,
        )
        self.router: Router = new_router(
            join=Join(incarnation, 'router', 'klang-a', f'{name}:1'),
            host_list=self.host_list,
            peers=peers,
            configuration=cast(Any, self.configuration),
            fleet=cast(Any, self.fleet),
            budgets=cast(Any, self.budgets),
            telemetry=NullTelemetry(),
            source=random.Random(7),
        )
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> 'Bench':
        for sidecar in self.sidecars.values():
            self.network.serve(sidecar.address, sidecar)
            await self.fleet.submit(sidecar.join)
        self._task = asyncio.create_task(self.router.run())
        await asyncio.sleep(1)
        return self

    async def __aexit__(self, *error: object) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @property
    def ran(self) -> list[RequestKey]:
        """Return the keys that ran, once for each run."""
        return [key for each in self.sidecars.values() for key in each.ran]

    def kill(self, name: str) -> None:
        """End a sidecar and what it runs."""
        sidecar = self.sidecars[name]
        self.network.close(sidecar.address)
        for task in sidecar.tasks:
            task.cancel()

    def running_sidecar(self) -> FakeSidecar:
        """Return the first sidecar that ran a request."""
        return next(each for each in self.sidecars.values() if each.ran)

    def _link(self, one: str, other: str) -> float | None:
        if self.partitioned & {one, other}:
            return None
        return LINK_DELAY_S


async def collect(
    router: Router, request: CallerRequest
) -> tuple[bytes, AnswerEnd]:
    """Serve a request and return its answer and its end."""
    pieces: list[bytes] = []
    async for event in router.serve(request):
        match event:
            case AnswerPiece():
                pieces.append(event.data)
            case AnswerEnd():
                return b''.join(pieces), event
    raise AssertionError('the answer had no end')
