"""Builders of dispatches, runs and fakes for the tests of sidecars."""

import asyncio
from collections.abc import AsyncIterator

from dandelioncleat.core.configuration import (
    Configuration,
    LogOutagePolicy,
    Service,
    ServiceKind,
    Target,
    empty_configuration,
)
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.identity import (
    BudgetId,
    Digest,
    Draw,
    GrantId,
    Incarnation,
    RunId,
)
from dandelioncleat.core.message import Dispatch
from dandelioncleat.core.record import Bill
from dandelioncleat.core.run import Ending
from dandelioncleat.ports.target import (
    CacheEvents,
    Ended,
    Piece,
    TargetCall,
    TargetEvent,
    TargetLoad,
)

HOME = Incarnation('home/1')
ROUTER = Incarnation('router/1')
SIDECAR = Incarnation('sidecar/1')


def run_id(key: str = 'key', *, organisation: str = 'org') -> RunId:
    """Return the first attempt of a key."""
    return RunId(organisation, key, HOME, 1)


def new_dispatch(
    *,
    key: str = 'key',
    organisation: str = 'org',
    service: str = 'llm',
    holder: Incarnation = ROUTER,
    executor: Incarnation = SIDECAR,
    body: bytes = b'prompt',
    idempotent: bool = True,
    tokens: int = 100,
    prompt_bound: int = 10,
    cap: int = 20,
    deadline_ms: int = 60000,
    priority: int = 1,
) -> Dispatch:
    """Return a dispatch of a request."""
    return Dispatch(
        run=run_id(key, organisation=organisation),
        executor=executor,
        router=ROUTER,
        service=service,
        method='POST',
        path='/v1/completions',
        content_type='application/json',
        body=body,
        digest=Digest(f'digest-{body.decode()}'),
        idempotent=idempotent,
        budget=BudgetId(organisation),
        draws=(Draw(GrantId(holder, 1), tokens),),
        prompt_bound=prompt_bound,
        cap=cap,
        priority=priority,
        deadline_ms=deadline_ms,
    )


def new_ending(*, tokens: int = 12) -> Ending:
    """Return the end of a model's answer."""
    return Ending(200, 'application/json', 10, 2, tokens, 'stop')


class FakeTarget:
    """A target whose answers are fed by the test."""

    def __init__(self) -> None:
        self.calls: list[TargetCall] = []
        self.cancelled: list[RunId] = []
        self.down = False
        self.ignores_cancel = False
        self.fencing_number = 0
        self.prompt_tokens: int | None = 7
        self.queues_by_run: dict[RunId, asyncio.Queue] = {}

    async def run(self, call: TargetCall) -> AsyncIterator[TargetEvent]:
        if self.down:
            raise target_error('connect')
        self.calls.append(call)
        queue = self.queues_by_run.setdefault(call.run, asyncio.Queue())
        while True:
            event = await queue.get()
            if isinstance(event, Exception):
                raise event
            yield event
            if isinstance(event, Ended):
                return

    async def cancel(self, run: RunId) -> None:
        self.cancelled.append(run)
        if not self.ignores_cancel:
            self.feed(run, Ended(200, 'text/plain', 7, 1, 'cancelled'))

    async def count_tokens(self, call: TargetCall) -> int | None:
        return self.prompt_tokens

    async def load(self) -> TargetLoad:
        if self.down:
            raise target_error('connect')
        return TargetLoad(8, len(self.calls), 0, 0, 1000, 0.5)

    async def cache_events(self, start: int) -> CacheEvents:
        return CacheEvents(start, False, (), ())

    async def fence(self, number: int) -> bool:
        self.fencing_number = number
        return True

    def feed(self, run: RunId, *events: TargetEvent | Exception) -> None:
        queue = self.queues_by_run.setdefault(run, asyncio.Queue())
        for event in events:
            queue.put_nowait(event)

    def answer(self, run: RunId, *texts: bytes) -> None:
        """Feed a complete answer with one token per text."""
        pieces = [Piece(text, 1) for text in texts]
        end = Ended(200, 'text/plain', 7, len(texts), 'stop')
        self.feed(run, *pieces, end)

    def crash(self) -> None:
        """Break every answer and stay down."""
        self.down = True
        for queue in self.queues_by_run.values():
            queue.put_nowait(target_error('read'))


class FakeBills:
    """Collects bills and counts the flushes."""

    def __init__(self) -> None:
        self.bills: list[Bill] = []
        self.flushes = 0
        self.pending = 0

    def submit(self, bill: Bill) -> None:
        self.bills.append(bill)

    async def flush(self) -> None:
        self.flushes += 1

    async def run(self) -> None:
        await asyncio.Event().wait()


def target_error(step: str) -> FailureError:
    """Return the error of a target that failed at a step."""
    return failure_error(Code.TARGET, step=step, peer='target', text='broke')


def new_configuration(
    *,
    slots: int = 2,
    queue_limit: int = 2,
    on_log_outage: LogOutagePolicy = LogOutagePolicy.REFUSE,
    drain: bool = False,
    key_slots: int = 16,
) -> Configuration:
    """Return a configuration of one model and one plain service."""
    services = (
        Service('llm', ServiceKind.MODEL, queue_limit=queue_limit),
        Service(
            'app',
            ServiceKind.PLAIN,
            price_tokens=5,
            on_log_outage=on_log_outage,
            slots=key_slots,
            queue_limit=queue_limit,
        ),
    )
    targets = (
        Target('llm-1', 'llm', 'klang-a', slots=slots, drain=drain),
        Target('app-1', 'app', 'klang-a', slots=slots, drain=drain),
    )
    return empty_configuration()._replace(
        version=1,
        services_by_name={one.name: one for one in services},
        targets_by_name={one.name: one for one in targets},
    )
