"""Tests of the retirement of dead holders by the other routers."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from testtools import TestCase
from testtools.matchers import Equals, HasLength, LessThan

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.retirement import Retirer
from dandelioncleat.core.dead_holder import ABSENCE_GRACE_S, NEW_HOST_GRACE_S
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.record import Drained, End
from dandelioncleat.standin.host_list import MemoryHostList
from dandelioncleat.standin.log import MemoryLog
from tests.builders.budgets import BudgetRouter, running_routers
from tests.builders.ledger import (
    BUDGET,
    SIDECAR_ONE,
    SIDECAR_TWO,
    router_join,
    sidecar_join,
)


class DrainingSidecar:
    """Reports every retired holder as drained."""

    def __init__(self, log: MemoryLog, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.fleet = FleetKeeper(log=log, producer=incarnation)

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self.fleet.run())
            await self.fleet.submit(sidecar_join(self.incarnation))
            while True:
                to_drain = self.fleet.fold.retirements.holders_to_drain(
                    self.incarnation
                )
                for holder in to_drain:
                    await self.fleet.submit(Drained(holder, self.incarnation))
                await asyncio.sleep(1)


class Fixture:
    """Routers that retire each other, sidecars and the host list."""

    def __init__(self, routers: list[BudgetRouter], log: MemoryLog) -> None:
        self.routers = routers
        self.log = log
        self.hosts = MemoryHostList()
        self.tasks: list[asyncio.Task[None]] = []
        self.retirers: list[Retirer] = []
        for router in routers:
            self.hosts.set_live(router.address, 'a')
            self.add_retirer(router)

    def add_retirer(self, router: BudgetRouter) -> None:
        retirer = Retirer(
            incarnation=router.incarnation,
            fleet=router.fleet,
            hosts=self.hosts,
            shards=router.budgets.shards,
        )
        self.retirers.append(retirer)
        self.tasks.append(asyncio.create_task(retirer.run()))

    async def add_sidecar(self, incarnation: Incarnation) -> asyncio.Task[None]:
        task = asyncio.create_task(DrainingSidecar(self.log, incarnation).run())
        self.tasks.append(task)
        await asyncio.sleep(1)
        return task

    def is_retired(self, number: int) -> bool:
        fold = self.routers[-1].fleet.fold
        return fold.is_retired(self.routers[number].incarnation)

    def left(self) -> int:
        return self.routers[-1].budgets.balances()[BUDGET].balance.left

    async def hold_tokens(self, number: int) -> None:
        """Make a router hold a grant without using its tokens."""
        budgets = self.routers[number].budgets
        draws = await budgets.reserve(BUDGET, 10, timeout_s=5)
        budgets.settle(BUDGET, draws, 0)


class RetirementTest(TestCase):
    def run_fixture(
        self, scenario: Callable[[Fixture], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            log = MemoryLog()
            async with AsyncExitStack() as stack:
                routers = await stack.enter_async_context(
                    running_routers(log, 3, 1000)
                )
                fixture = Fixture(routers, log)
                await scenario(fixture)
                for task in fixture.tasks:
                    task.cancel()
                await asyncio.gather(*fixture.tasks, return_exceptions=True)

        run(main())

    def test_frees_the_tokens_of_a_router_whose_host_is_gone(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            await fixture.add_sidecar(SIDECAR_ONE)
            await fixture.hold_tokens(0)
            self.assertThat(fixture.left(), LessThan(1000))
            await asyncio.sleep(10)
            fixture.hosts.remove('router-0')
            await asyncio.sleep(ABSENCE_GRACE_S + 30)
            self.assertThat(fixture.is_retired(0), Equals(True))
            self.assertThat(fixture.left(), Equals(1000))

        self.run_fixture(scenario)

    def test_lost_sidecar_strands_tokens_and_is_reported(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            await fixture.add_sidecar(SIDECAR_ONE)
            lost = await fixture.add_sidecar(SIDECAR_TWO)
            await fixture.hold_tokens(0)
            lost.cancel()
            await asyncio.sleep(10)
            fixture.hosts.remove('router-0')
            await asyncio.sleep(ABSENCE_GRACE_S + 300)
            self.assertThat(fixture.left(), LessThan(1000))
            (stranded,) = fixture.retirers[-1].stranded()
            self.assertThat(stranded.waiting, Equals((SIDECAR_TWO,)))
            self.assertThat(fixture.left() + stranded.tokens, Equals(1000))

        self.run_fixture(scenario)

    def test_a_newer_incarnation_at_the_host_retires_the_older(
        self,
    ) -> None:
        async def scenario(fixture: Fixture) -> None:
            await fixture.add_sidecar(SIDECAR_ONE)
            await fixture.hold_tokens(0)
            newer = router_join(Incarnation('router-0/b'))
            await fixture.routers[1].fleet.submit(newer)
            await asyncio.sleep(30)
            self.assertThat(fixture.is_retired(0), Equals(True))
            self.assertThat(fixture.left(), Equals(1000))

        self.run_fixture(scenario)

    def test_host_missing_from_a_lagging_list_is_not_retired(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            fixture.hosts.remove('router-0')
            fixture.retirers.clear()
            await asyncio.sleep(NEW_HOST_GRACE_S - 30)
            self.assertThat(fixture.is_retired(0), Equals(False))

        self.run_fixture(scenario)

    def test_frees_what_an_ended_router_left_open(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            await fixture.add_sidecar(SIDECAR_ONE)
            await fixture.hold_tokens(0)
            await fixture.routers[0].budgets.return_all()
            end = End(fixture.routers[0].incarnation)
            await fixture.routers[0].fleet.submit(end)
            await asyncio.sleep(120)
            self.assertThat(fixture.is_retired(0), Equals(False))
            await fixture.hold_tokens(1)
            end = End(fixture.routers[1].incarnation)
            await fixture.routers[1].fleet.submit(end)
            await asyncio.sleep(120)
            self.assertThat(fixture.is_retired(1), Equals(True))
            self.assertThat(fixture.left(), Equals(1000))

        self.run_fixture(scenario)

    def test_one_router_appends_each_retirement(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            await fixture.add_sidecar(SIDECAR_ONE)
            await asyncio.sleep(10)
            before = fixture.log.appends
            fixture.hosts.remove('router-0')
            await asyncio.sleep(ABSENCE_GRACE_S + 60)
            records = fixture.log.appends - before
            self.assertThat(records, Equals(2))
            self.assertThat(fixture.retirers[0].stranded(), HasLength(0))

        self.run_fixture(scenario)
