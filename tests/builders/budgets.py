"""Builders of routers' budgets that share a log on virtual time."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from dandelioncleat.adapters.memory_peers import MemoryNetwork, MemoryPeers
from dandelioncleat.app.budgets import Budgets
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.configuration import (
    Configuration,
    Organisation,
    Policy,
    empty_configuration,
)
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import AskPart, Message
from dandelioncleat.ports.log import Page
from dandelioncleat.ports.peer import CallContext
from dandelioncleat.standin.log import MemoryLog
from tests.builders.ledger import BUDGET, router_join

LINK_DELAY_S = 0.001


def build_configuration(budget: int, **policy: object) -> Configuration:
    """Return a configuration with one organisation."""
    organisation = Organisation(BUDGET, budget)
    return empty_configuration()._replace(
        version=1,
        organisations_by_name={BUDGET: organisation},
        policy=Policy()._replace(**policy),
    )


class LogLink:
    """One router's link to the log, which can be cut."""

    def __init__(self, log: MemoryLog) -> None:
        """Take the log."""
        self.is_cut = False
        self.reads_fail = False
        self._log = log

    async def append(self, stream: str, data: bytes) -> int:
        """Append unless the link is cut."""
        self._check()
        await asyncio.sleep(LINK_DELAY_S)
        offset = await self._log.append(stream, data)
        self._check()
        return offset

    async def read(
        self, stream: str, *, start: int, limit: int = 500, wait_s: float = 0
    ) -> Page:
        """Read unless the link is cut."""
        self._check()
        await asyncio.sleep(LINK_DELAY_S)
        page = await self._log.read(
            stream, start=start, limit=limit, wait_s=wait_s
        )
        self._check(fails=self.reads_fail)
        return page

    def _check(self, *, fails: bool = False) -> None:
        if self.is_cut or fails:
            raise failure_error(
                Code.LOG, step='link', peer='log', text='the link is cut'
            )


class BudgetRouter:
    """One router's budgets, its fleet and its link to the log."""

    def __init__(
        self,
        number: int,
        log: MemoryLog,
        network: MemoryNetwork,
        configuration: Configuration,
        *,
        start: str = 'a',
    ) -> None:
        """Take the log, network and configuration that routers share."""
        self.incarnation = Incarnation(f'router-{number}/{start}')
        self.address = f'router-{number}'
        self.link = LogLink(log)
        self.configuration = configuration
        self.fleet = FleetKeeper(log=self.link, producer=self.incarnation)
        self.budgets = Budgets(
            log=self.link,
            incarnation=self.incarnation,
            configuration=lambda: self.configuration,
            fleet=self.fleet,
            peers=MemoryPeers(
                network,
                address=self.address,
                incarnation=self.incarnation,
                version=lambda: 1,
                on_version=lambda address, version: None,
            ),
        )
        network.serve(self.address, self)

    async def answer(
        self, message: Message, context: CallContext
    ) -> AsyncIterator[Message]:
        """Answer a peer that requests a transfer."""
        assert isinstance(message, AskPart)
        yield self.budgets.transfer_spare(message)

    async def run(self) -> None:
        """Run until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.fleet.run())
            group.create_task(self.budgets.run())

    async def ready(self) -> None:
        """Join and wait until the initial top-up is read."""
        await self.fleet.submit(router_join(self.incarnation))
        fold = self.budgets.shards.of(BUDGET).fold
        added = asyncio.Event()

        def check() -> None:
            if fold.has_reference(BUDGET, 'initial'):
                added.set()

        self.budgets.shards.on_change(check)
        check()
        await added.wait()


@asynccontextmanager
async def running_routers(
    log: MemoryLog,
    count: int,
    budget: int,
    *,
    partitioned: set[frozenset[str]] | None = None,
    **policy: object,
) -> AsyncIterator[list[BudgetRouter]]:
    """Run routers that have joined the fleet and read the budget."""

    def link(one: str, other: str) -> float | None:
        is_partitioned = frozenset((one, other)) in (partitioned or ())
        return None if is_partitioned else LINK_DELAY_S

    network = MemoryNetwork(link)
    configuration = build_configuration(budget, **policy)
    routers = [
        BudgetRouter(number, log, network, configuration)
        for number in range(count)
    ]
    tasks = [asyncio.create_task(router.run()) for router in routers]
    try:
        for router in routers:
            await router.ready()
        yield routers
    finally:
        for task in tasks:
            task.cancel()
        ends = await asyncio.gather(*tasks, return_exceptions=True)
        faults = [end for end in ends if isinstance(end, Exception)]
        if faults:
            raise ExceptionGroup('routers failed', faults)
