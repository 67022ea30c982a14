"""A router's budgets on an empty log in memory."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from dandelioncleat.adapters.memory_peers import MemoryNetwork, MemoryPeers
from dandelioncleat.app.budgets import Budgets
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.bench._ledger_records import budget_of, openings
from dandelioncleat.bench.stopwatch import US_PER_S
from dandelioncleat.core.configuration import empty_configuration
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.record import Join, TopUp
from dandelioncleat.standin.log import MemoryLog

RESERVED_TOKENS = 100
TIMEOUT_S = 30.0
RESERVATIONS = 1000
RESERVED_BUDGETS = 10
MEASURED_S = 10
INCARNATION = Incarnation('router/1')


class BudgetRouter(NamedTuple):
    """A router's budgets and the fleet that they depend on."""

    budgets: Budgets
    fleet: FleetKeeper


def new_budget_router(log: MemoryLog) -> BudgetRouter:
    """Connect a router's budgets to a log."""
    configuration = empty_configuration()._replace(version=1)
    fleet = FleetKeeper(log=log, producer=INCARNATION)
    peers = MemoryPeers(
        MemoryNetwork(lambda one, other: 0),
        address='router',
        incarnation=INCARNATION,
        version=lambda: 1,
        on_version=lambda address, version: None,
    )
    budgets = Budgets(
        log=log,
        incarnation=INCARNATION,
        configuration=lambda: configuration,
        fleet=fleet,
        peers=peers,
    )
    return BudgetRouter(budgets, fleet)


async def reserve_us(budgets: int) -> float:
    """Return the processor time of a reservation and its settlement."""
    async with _running_router(budgets) as router:
        await _reserve_each(router, RESERVED_BUDGETS)
        started_at = time.process_time()
        for number in range(RESERVATIONS):
            await _reserve(router, number % RESERVED_BUDGETS)
        spent_s = time.process_time() - started_at
    return spent_s * US_PER_S / RESERVATIONS


async def tick_us(held: int) -> float:
    """Return the processor time of an idle second with held grants."""
    async with _running_router(held) as router:
        await _reserve_each(router, held)
        started_at = time.process_time()
        await asyncio.sleep(MEASURED_S)
        spent_s = time.process_time() - started_at
    return spent_s * US_PER_S / MEASURED_S


@asynccontextmanager
async def _running_router(budgets: int) -> AsyncIterator[BudgetRouter]:
    log = MemoryLog()
    router = new_budget_router(log)
    fold = router.budgets.shards.of(budget_of(0)).fold
    for record in openings(budgets):
        if isinstance(record, TopUp):
            fold.apply(0, 0, INCARNATION, record)
    tasks = (
        asyncio.create_task(router.fleet.run()),
        asyncio.create_task(router.budgets.run()),
    )
    join = Join(INCARNATION, 'router', 'dc-0', 'router')
    await router.fleet.submit(join)
    try:
        yield router
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _reserve_each(router: BudgetRouter, count: int) -> None:
    for number in range(count):
        await _reserve(router, number)


async def _reserve(router: BudgetRouter, number: int) -> None:
    budget = budget_of(number)
    draws = await router.budgets.reserve(
        budget,
        RESERVED_TOKENS,
        timeout_s=TIMEOUT_S,
    )
    router.budgets.settle(budget, draws, RESERVED_TOKENS)
