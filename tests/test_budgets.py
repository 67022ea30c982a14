"""Tests of budgets that several routers spend through a shared log."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.core.failure import Code, FailureError
from dandelioncleat.core.identity import BudgetId, Draw, GrantId
from dandelioncleat.core.record import Bill, Retire, TopUp
from dandelioncleat.standin.log import MemoryLog
from tests.builders.budgets import BudgetRouter, running_routers
from tests.builders.ledger import BUDGET, bill_of

Scenario = Callable[[list[BudgetRouter]], Awaitable[None]]


class Spender:
    """Runs requests at routers and counts the tokens that they consume."""

    def __init__(self, seed: int = 1) -> None:
        self.consumed = 0
        self.refusals: list[Code] = []
        self.generator = random.Random(seed)
        self.runs = 0

    async def request(
        self,
        router: BudgetRouter,
        reserved: int,
        *,
        used: int | None = None,
        run_s: float = 0.05,
    ) -> bool:
        """Reserve, run, bill and settle; return false if refused."""
        try:
            draws = await router.budgets.reserve(BUDGET, reserved, timeout_s=5)
        except FailureError as error:
            self.refusals.append(error.failure.code)
            return False
        tokens = reserved if used is None else used
        self.consumed += tokens
        await asyncio.sleep(run_s)
        self.runs += 1
        bill = bill_of(f'key-{self.runs}', tokens)
        await router.budgets.bill(with_draws(bill, draws))
        router.budgets.settle(BUDGET, draws, tokens)
        return True


def with_draws(bill: Bill, draws: tuple[Draw, ...]) -> Bill:
    return Bill(bill.budget, bill.run, draws, bill.tokens, bill.source)


class BudgetsTest(TestCase):
    def run_routers(
        self,
        scenario: Scenario,
        *,
        count: int = 3,
        budget: int = 1000,
        log: MemoryLog | None = None,
        **policy: object,
    ) -> None:
        async def main() -> None:
            shared = log or MemoryLog()
            routers = running_routers(shared, count, budget, **policy)
            async with asyncio.timeout(20000), routers as started:
                await scenario(started)

        run(main())

    def left_of(self, router: BudgetRouter) -> int:
        return router.budgets.balances()[BUDGET].balance.left

    def test_new_organisation_waits_for_its_initial_top_up(self) -> None:
        async def scenario(routers: list[BudgetRouter]) -> None:
            organisations = routers[0].configuration.organisations_by_name
            new = organisations[BUDGET]._replace(name='new')
            organisations = {**organisations, 'new': new}
            for router in routers:
                router.configuration = router.configuration._replace(
                    version=2, organisations_by_name=organisations
                )
                router.budgets.ticker.trigger()
            budget = BudgetId('new')
            draws = await routers[0].budgets.reserve(budget, 9, timeout_s=5)
            self.assertThat(draws[0].tokens, Equals(9))

        self.run_routers(scenario)

    def test_initial_budget_is_added_once(self) -> None:
        async def scenario(routers: list[BudgetRouter]) -> None:
            await asyncio.sleep(5)
            for router in routers:
                balance = router.budgets.balances()[BUDGET].balance
                self.assertThat(balance.topped_up, Equals(1000))

        self.run_routers(scenario)

    def test_all_routers_spend_a_budget_to_its_last_token(self) -> None:
        spender = Spender()

        async def scenario(routers: list[BudgetRouter]) -> None:
            async def caller(router: BudgetRouter) -> None:
                for _ in range(60):
                    await spender.request(router, 10, run_s=0.01)

            await asyncio.gather(*[caller(router) for router in routers])

        self.run_routers(scenario, count=4, budget=1003)
        self.assertThat(spender.consumed, Equals(1000))
        self.assertThat(set(spender.refusals), Equals({Code.BUDGET}))

    def test_budgets_of_several_shards_are_followed(self) -> None:
        spender = Spender()

        async def scenario(routers: list[BudgetRouter]) -> None:
            for router in routers:
                await spender.request(router, 300)
                await spender.request(router, 200)

        self.run_routers(scenario, ledger_shards=4)
        self.assertThat(spender.consumed, Equals(1000))
        self.assertThat(spender.refusals, Equals([Code.BUDGET] * 2))

    def test_request_too_large_for_one_router_gathers_all_tokens(self) -> None:
        spender = Spender()

        async def scenario(routers: list[BudgetRouter]) -> None:
            for router in routers:
                await spender.request(router, 10)
            await spender.request(routers[0], 900, used=900)

        self.run_routers(scenario)
        self.assertThat(spender.refusals, HasLength(0))

    def test_one_of_two_competing_large_requests_is_served(
        self,
    ) -> None:
        spender = Spender()

        async def scenario(routers: list[BudgetRouter]) -> None:
            for router in routers:
                await spender.request(router, 10)
            await asyncio.gather(
                spender.request(routers[0], 600),
                spender.request(routers[1], 600),
            )

        self.run_routers(scenario)
        self.assertThat(spender.refusals, Equals([Code.BUDGET]))

    def test_held_tokens_are_spent_during_a_log_outage(self) -> None:
        log = MemoryLog()
        spender = Spender()

        async def scenario(routers: list[BudgetRouter]) -> None:
            await spender.request(routers[0], 10)
            await asyncio.sleep(5)
            log.outage = True
            for _ in range(10):
                await spender.request(routers[0], 10)

        self.run_routers(scenario, log=log)
        self.assertThat(spender.refusals, HasLength(0))

    def test_peers_transfer_tokens_during_a_log_outage(self) -> None:
        log = MemoryLog()
        spender = Spender()

        async def scenario(routers: list[BudgetRouter]) -> None:
            await spender.request(routers[0], 10)
            await asyncio.sleep(5)
            log.outage = True
            await asyncio.sleep(5)
            await spender.request(routers[1], 50)
            await spender.request(routers[1], 5000)

        self.run_routers(scenario, log=log)
        self.assertThat(spender.consumed, Equals(60))
        self.assertThat(spender.refusals, Equals([Code.LOG]))

    def test_partitioned_router_stays_within_concurrent_top_up(self) -> None:
        spender = Spender()

        async def scenario(routers: list[BudgetRouter]) -> None:
            for router in routers:
                await spender.request(router, 10)
            routers[0].link.is_cut = True
            shard = routers[1].budgets.shards.of(BUDGET)
            await shard.follower.submit(TopUp(BUDGET, 500, 'second'))
            await asyncio.gather(
                *[
                    spender.request(router, 10)
                    for router in routers
                    for _ in range(150)
                ]
            )
            routers[0].link.is_cut = False
            await asyncio.sleep(10)
            for _ in range(150):
                await spender.request(routers[0], 10)

        self.run_routers(scenario)
        self.assertThat(spender.consumed, Equals(1500))

    def test_lost_log_answers_neither_lose_nor_double_tokens(self) -> None:
        log = MemoryLog(generator=random.Random(3))
        spender = Spender()

        async def scenario(routers: list[BudgetRouter]) -> None:
            log.lost_answer_share = 0.5
            for _ in range(30):
                await asyncio.gather(
                    *[spender.request(router, 10, used=4) for router in routers]
                )
            log.lost_answer_share = 0
            await asyncio.gather(
                *[router.budgets.return_all() for router in routers]
            )
            await asyncio.sleep(10)
            balance = routers[0].budgets.balances()[BUDGET].balance
            self.assertThat(balance.billed, Equals(spender.consumed))
            self.assertThat(balance.outstanding, Equals(0))

        self.run_routers(scenario, log=log)
        self.assertThat(spender.refusals, HasLength(0))

    def test_planned_stop_returns_all_grants(self) -> None:
        spender = Spender()

        async def scenario(routers: list[BudgetRouter]) -> None:
            await spender.request(routers[0], 100, used=30)
            await routers[0].budgets.return_all()
            await asyncio.sleep(1)
            self.assertThat(self.left_of(routers[1]), Equals(970))

        self.run_routers(scenario)

    def test_planned_stop_returns_a_grant_that_is_requested_meanwhile(
        self,
    ) -> None:
        async def scenario(routers: list[BudgetRouter]) -> None:
            budgets = routers[0].budgets
            # The second reservation requests another grant beforehand.
            for number in range(2):
                draws = await budgets.reserve(BUDGET, 100, timeout_s=5)
                budgets.settle(BUDGET, draws, 100)
                bill = bill_of(f'key-{number}', 100)
                await budgets.bill(with_draws(bill, draws))
            await budgets.return_all()
            await asyncio.sleep(1)
            state = routers[1].budgets.balances()[BUDGET]
            self.assertThat(state.balance.outstanding, Equals(0))

        self.run_routers(scenario, count=2, budget=100_000)

    def test_planned_stop_waits_for_a_return_that_is_in_flight(self) -> None:
        async def scenario(routers: list[BudgetRouter]) -> None:
            budgets = routers[0].budgets
            draws = await budgets.reserve(BUDGET, 100, timeout_s=5)
            holdings = budgets._holdings.of(BUDGET)
            now = asyncio.get_running_loop().time()
            # During a shortage, a settlement returns all spendable tokens.
            holdings.shortage_until = now + 1
            routers[0].link.is_cut = True
            budgets.settle(BUDGET, draws, 0)
            await asyncio.sleep(0.1)
            self.assertThat(holdings.wallet.spendable, Equals(0))
            stop = asyncio.create_task(budgets.return_all())
            await asyncio.sleep(0.1)
            self.assertThat(stop.done(), Equals(False))
            routers[0].link.is_cut = False
            await stop
            # The process ends.
            routers[0].link.is_cut = True
            await asyncio.sleep(1)
            state = routers[1].budgets.balances()[BUDGET]
            self.assertThat(state.balance.outstanding, Equals(0))

        self.run_routers(scenario, count=2)

    def test_retired_router_refuses_requests(self) -> None:
        async def scenario(routers: list[BudgetRouter]) -> None:
            retired = routers[0].incarnation
            await routers[1].fleet.submit(Retire(retired, 'test'))
            await asyncio.sleep(1)
            error = await reserve_error(routers[0], 10)
            self.assertThat(error.failure.code, Equals(Code.FENCED))

        self.run_routers(scenario)

    def test_router_drops_transferred_tokens_of_a_retired_holder(self) -> None:
        log = MemoryLog()
        spender = Spender()

        async def scenario(routers: list[BudgetRouter]) -> None:
            await spender.request(routers[0], 10)
            transferred = (Draw(GrantId(routers[0].incarnation, 1), 20),)
            holdings = routers[1].budgets._holdings.of(BUDGET)
            holdings.add(*transferred)
            await routers[2].fleet.submit(
                Retire(routers[0].incarnation, 'test')
            )
            await asyncio.sleep(1)
            self.assertThat(holdings.wallet.spendable, Equals(0))

        self.run_routers(scenario, log=log)

    def test_executor_bill_replaces_router_bill(self) -> None:
        log = MemoryLog()

        async def scenario(routers: list[BudgetRouter]) -> None:
            shard = routers[1].budgets.shards.of(BUDGET)
            await routers[0].budgets.bill(bill_of('k', 10))
            await shard.follower.submit(bill_of('k', 10))
            appends = log.appends
            await asyncio.sleep(10)
            self.assertThat(log.appends, Equals(appends))
            await routers[0].budgets.bill(bill_of('k2', 10))
            await asyncio.sleep(10)
            self.assertThat(log.appends, Equals(appends + 1))
            self.assertThat(shard.fold.balance(BUDGET).billed, Equals(20))

        self.run_routers(scenario, log=log)

    def test_bill_settles_a_forfeited_reservation(self) -> None:
        async def scenario(routers: list[BudgetRouter]) -> None:
            budgets = routers[0].budgets
            follower = routers[1].budgets.shards.of(BUDGET).follower
            for key, is_billed_before in (('one', True), ('two', False)):
                draws = await budgets.reserve(BUDGET, 50, timeout_s=5)
                held = budgets.balances()[BUDGET].spendable
                bill = with_draws(bill_of(key, 20), draws)
                if is_billed_before:
                    await follower.submit(bill)
                budgets.forfeit(BUDGET, draws, run=bill.run)
                if not is_billed_before:
                    await follower.submit(bill)
                await asyncio.sleep(0.5)
                state = budgets.balances()[BUDGET]
                self.assertThat(state.spendable, Equals(held + 30))
                self.assertThat(state.reserved, Equals(0))

        self.run_routers(scenario, grant_policy='fixed', grant_tokens=200)

    def test_spent_budget_is_refused_without_a_record(self) -> None:
        log = MemoryLog()
        spender = Spender()

        async def scenario(routers: list[BudgetRouter]) -> None:
            await spender.request(routers[0], 1000)
            await asyncio.sleep(10)
            appends = log.appends
            await spender.request(routers[0], 1000)
            await spender.request(routers[1], 1000)
            self.assertThat(log.appends, Equals(appends))

        self.run_routers(scenario, log=log)
        self.assertThat(spender.refusals, Equals([Code.BUDGET] * 2))

    def test_idle_tokens_return_to_the_ledger(self) -> None:
        spender = Spender()

        async def scenario(routers: list[BudgetRouter]) -> None:
            await spender.request(routers[0], 10)
            self.assertThat(self.left_of(routers[0]), LessThan(990))
            await asyncio.sleep(3600)
            self.assertThat(self.left_of(routers[0]), GreaterThan(980))

        self.run_routers(scenario)


async def reserve_error(router: BudgetRouter, tokens: int) -> FailureError:
    try:
        await router.budgets.reserve(BudgetId(BUDGET), tokens, timeout_s=5)
    except FailureError as error:
        return error
    raise AssertionError('the reservation was not refused')
