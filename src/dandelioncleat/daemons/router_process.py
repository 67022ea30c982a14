"""Connects the parts of a router process."""

import random
from typing import NamedTuple, Protocol

import aiohttp

from dandelioncleat.adapters.http_host_list import HttpHostList
from dandelioncleat.app.bill_relay import BillRelay, new_bill_handler
from dandelioncleat.app.budgets import Budgets
from dandelioncleat.app.ledger_desk import ShardedLedgerDesk
from dandelioncleat.app.operator import OperatorBackend
from dandelioncleat.app.process_gauges import ProcessGauges
from dandelioncleat.app.relay_handler import new_relay_handler
from dandelioncleat.app.retirement import Retirer
from dandelioncleat.app.router import Router, new_router
from dandelioncleat.core.record import Join
from dandelioncleat.daemons.settings import RouterSettings
from dandelioncleat.daemons.shared_parts import Shared, new_shared
from dandelioncleat.ports.peer import PeerHandler
from dandelioncleat.ports.telemetry import Telemetry


class RunsForever(Protocol):
    """A part with a task of its own."""

    async def run(self) -> None:
        """Run until cancelled."""


class RouterProcess(NamedTuple):
    """The parts of one router process."""

    shared: Shared
    budgets: Budgets
    router: Router
    handler: PeerHandler
    bill_relay: BillRelay
    retirer: Retirer
    backend: OperatorBackend
    gauges: ProcessGauges

    @property
    def tasks(self) -> tuple[RunsForever, ...]:
        """Return the parts that run until cancelled."""
        keepers = (self.shared.configuration, self.shared.fleet, self.budgets)
        return (
            *keepers,
            self.bill_relay,
            self.retirer,
            self.gauges,
            self.router,
        )


def new_router_process(
    settings: RouterSettings,
    *,
    join: Join,
    session: aiohttp.ClientSession,
    telemetry: Telemetry,
) -> RouterProcess:
    """Connect a router's parts; nothing runs yet."""
    incarnation = join.incarnation
    shared = new_shared(settings, incarnation=incarnation, session=session)
    configuration = shared.configuration
    host_list = HttpHostList(session, settings.platform.host_list_url)
    budgets = Budgets(
        log=shared.log,
        incarnation=incarnation,
        configuration=lambda: configuration.current,
        fleet=shared.fleet,
        peers=shared.peers,
    )
    configuration.on_change(budgets.ticker.nudge)
    router = new_router(
        join=join,
        host_list=host_list,
        peers=shared.peers,
        configuration=configuration,
        fleet=shared.fleet,
        budgets=budgets,
        telemetry=telemetry,
        source=random.Random(incarnation),
    )
    ledger = ShardedLedgerDesk(budgets.shards)
    retirer = Retirer(
        incarnation=incarnation,
        fleet=shared.fleet,
        hosts=host_list,
        shards=budgets.shards,
    )
    bill_relay = BillRelay(
        log=shared.log,
        incarnation=incarnation,
        configuration=lambda: configuration.current,
    )
    return RouterProcess(
        shared,
        budgets,
        router,
        new_relay_handler(shared.relay, new_bill_handler(bill_relay, router)),
        bill_relay,
        retirer,
        OperatorBackend(
            configuration=configuration,
            fleet=shared.fleet,
            ledger=ledger,
            peers=shared.peers,
            own_status=lambda: router.status,
            bootstrap=settings.bootstrap_operator,
        ),
        ProcessGauges(
            telemetry=telemetry,
            incarnation=incarnation,
            configuration=configuration,
            fleet=shared.fleet,
            ledger=ledger,
        ),
    )
