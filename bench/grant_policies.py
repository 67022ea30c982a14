"""Measures grant policies on virtual time: refusals, waits and appends.

Run from the root of the repository: ``python -m bench.grant_policies``.
A refusal is false if the top-ups less what was consumed and less the worst
case of what was running would have covered the request.
"""

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.billing import BillSender
from dandelioncleat.core.configuration import BudgetPreference
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation, RunId
from dandelioncleat.core.record import Bill
from dandelioncleat.standin.log import MemoryLog
from tests.builders.budgets import BudgetRouter, running_routers
from tests.builders.ledger import BUDGET

ROUTERS = 5
MAX_USED_TOKENS = 900
MIN_USED_TOKENS = 100
RUN_S = 3.0
BILL_LINGER_S = 1.0
SIDECAR = Incarnation('target/1')
TIMEOUT_S = 10.0
PERCENTILES = (0.5, 0.99)
SEEDS = (1, 2, 3)

POLICIES: dict[str, dict[str, object]] = {
    'adaptive, ledger': {'preference': BudgetPreference.LEDGER},
    'adaptive, refusals': {'preference': BudgetPreference.REFUSALS},
    'fixed': {'grant_policy': 'fixed'},
    'static_split': {'grant_policy': 'static_split'},
}


class Trial:
    """Sends requests to routers and counts the false refusals."""

    def __init__(
        self,
        log: MemoryLog,
        routers: list[BudgetRouter],
        budget: int,
        seed: int,
    ) -> None:
        """Take the log, the routers, the prepaid budget and the seed."""
        self.log = log
        self.routers = routers
        self.budget = budget
        self.consumed = 0
        self.running = 0
        self.requests = 0
        self.refused = 0
        self.false_refusals = 0
        self.waits_s: list[float] = []
        self.generator = random.Random(seed)
        self.bills = BillSender(
            log=log,
            incarnation=SIDECAR,
            configuration=lambda: routers[0].configuration,
            linger_s=BILL_LINGER_S,
        )

    async def request(self, router: BudgetRouter) -> None:
        """Run one request."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        self.requests += 1
        number = self.requests
        try:
            draws = await router.budgets.reserve(
                BUDGET, MAX_USED_TOKENS, timeout_s=TIMEOUT_S
            )
        except FailureError:
            self.refused += 1
            unspent = self.budget - self.consumed - self.running
            self.false_refusals += unspent >= MAX_USED_TOKENS
            return
        self.waits_s.append(loop.time() - asked_at)
        self.running += MAX_USED_TOKENS
        await asyncio.sleep(self.generator.uniform(0, 2 * RUN_S))
        self.running -= MAX_USED_TOKENS
        used = self.generator.randint(MIN_USED_TOKENS, MAX_USED_TOKENS)
        self.consumed += used
        router.budgets.settle(BUDGET, draws, used)
        run = RunId(BUDGET, f'key-{number}', SIDECAR, number)
        self.bills.submit(Bill(BUDGET, run, draws, used, SIDECAR))

    async def load(
        self, router: BudgetRouter, per_s: float, for_s: float
    ) -> None:
        """Send requests at random moments."""
        end = asyncio.get_running_loop().time() + for_s
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end:
                group.create_task(self.request(router))
                await asyncio.sleep(self.generator.expovariate(per_s))

    async def load_all(self, for_s: float, per_s: float = 2.0) -> None:
        """Load the routers unequally."""
        async with asyncio.TaskGroup() as group:
            for number, router in enumerate(self.routers):
                rate = per_s / (number + 1)
                group.create_task(self.load(router, rate, for_s))


Scenario = Callable[[Trial], Awaitable[None]]


async def exhaust_budget(trial: Trial) -> None:
    """Exhaust a budget."""
    await trial.load_all(120)


async def partition(trial: Trial) -> None:
    """Cut one router off from the log and the others for an hour."""
    await trial.load_all(300, per_s=0.2)
    trial.routers[0].link.is_cut = True
    await trial.load_all(3600, per_s=0.2)
    trial.routers[0].link.is_cut = False
    await trial.load_all(60, per_s=0.2)


async def log_outage(trial: Trial) -> None:
    """Make the log unavailable for ten minutes and shift the load."""
    await trial.load_all(120)
    trial.log.outage = True
    trial.routers.reverse()
    await trial.load_all(600)
    trial.log.outage = False
    await trial.load_all(60)


async def slow_log(trial: Trial) -> None:
    """Make each call of the log take a second."""
    trial.log.slow_s = 1.0
    await trial.load_all(240)


class Case(NamedTuple):
    """A scenario and the budget that it starts from."""

    scenario: Scenario
    budget: int


CASES: dict[str, Case] = {
    'run out': Case(exhaust_budget, 150_000),
    'partition': Case(partition, 5_000_000),
    'log outage': Case(log_outage, 5_000_000),
    'slow log': Case(slow_log, 400_000),
}


class TrialResult(NamedTuple):
    """The result of a trial; ``waits_s`` are the waits for reservations."""

    requests: int
    refused: int
    false_refusals: int
    overspend: int
    unspent: int
    appends: int
    waits_s: tuple[float, ...]


async def measure(
    case: Case, policy: dict[str, object], seed: int
) -> TrialResult:
    """Run one scenario under one policy."""
    log = MemoryLog()
    partitioned_links: set[frozenset[str]] = set()
    if case.scenario is partition:
        partitioned_links = {
            frozenset(('router-0', f'router-{number}'))
            for number in range(1, ROUTERS)
        }
    routers = running_routers(
        log, ROUTERS, case.budget, partitioned=partitioned_links, **policy
    )
    async with routers as started:
        trial = Trial(log, started, case.budget, seed)
        before = log.appends
        sending = asyncio.create_task(trial.bills.run())
        await case.scenario(trial)
        sending.cancel()
        return TrialResult(
            trial.requests,
            trial.refused,
            trial.false_refusals,
            max(0, trial.consumed - case.budget),
            case.budget - trial.consumed,
            log.appends - before,
            tuple(trial.waits_s),
        )


def row_of(results: list[TrialResult]) -> str:
    """Sum the trials of all seeds; percentiles are over all their waits."""
    totals = [sum(column) for column in list(zip(*results, strict=True))[:6]]
    waits = sorted(wait for result in results for wait in result.waits_s)
    p50, p99 = (waits[int(len(waits) * share)] for share in PERCENTILES)
    requests, refused, false_refusals, over, unspent, appends = totals
    return (
        f'{requests:>9}{refused:>9}{false_refusals:>7}{over:>6}'
        f'{unspent:>10}{p50 * 1000:>8.0f}{p99 * 1000:>8.0f}{appends:>9}'
    )


def main(names: list[str]) -> None:
    """Print a row for each scenario and policy."""
    print(
        f'{"scenario":<12}{"policy":<20}{"requests":>9}{"refused":>9}'
        f'{"false":>7}{"over":>6}{"unspent":>10}{"p50 ms":>8}{"p99 ms":>8}'
        f'{"appends":>9}'
    )
    for name, case in CASES.items():
        for label, policy in POLICIES.items():
            if not names or name in names:
                results = [run(measure(case, policy, seed)) for seed in SEEDS]
                row = row_of(results)
                print(f'{name:<12}{label:<20}{row}', flush=True)


if __name__ == '__main__':
    main(sys.argv[1:])
