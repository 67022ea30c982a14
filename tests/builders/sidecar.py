"""Builders of orders, runs and fakes for the tests of sidecars."""

from dandelioncleat.core.identity import (
    BudgetId,
    Digest,
    Draw,
    GrantId,
    Incarnation,
    RunId,
)
from dandelioncleat.core.message import Dispatch
from dandelioncleat.core.run import Ending

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
    """Return an order to run a request."""
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
