"""Connects the components of a router process."""

import random
from typing import NamedTuple

import aiohttp

from dandelioncleat.adapters.http_host_list import HttpHostList
from dandelioncleat.app.budgets import Budgets
from dandelioncleat.app.ledger_view import ShardedLedgerView
from dandelioncleat.app.operator import OperatorBackend
from dandelioncleat.app.process_gauges import ProcessGauges
from dandelioncleat.app.relay_handler import new_relay_handler
from dandelioncleat.app.router import Router
from dandelioncleat.app.router_parts import (
    RouterParts,
    RouterPorts,
    RunsForever,
    new_router_parts,
)
from dandelioncleat.core.record import Join
from dandelioncleat.daemons.settings import RouterSettings
from dandelioncleat.daemons.shared_parts import SharedParts, new_shared_parts
from dandelioncleat.ports.peer import PeerHandler
from dandelioncleat.ports.telemetry import Telemetry


class RouterProcess(NamedTuple):
    """The components of one router process."""

    shared: SharedParts
    parts: RouterParts
    handler: PeerHandler
    backend: OperatorBackend
    gauges: ProcessGauges

    @property
    def router(self) -> Router:
        """Return the router itself."""
        return self.parts.router

    @property
    def budgets(self) -> Budgets:
        """Return the router's budgets."""
        return self.parts.budgets

    @property
    def tasks(self) -> tuple[RunsForever, ...]:
        """Return the components that run until cancelled."""
        return (*self.parts.tasks, self.gauges)


def new_router_process(
    settings: RouterSettings,
    *,
    join: Join,
    session: aiohttp.ClientSession,
    telemetry: Telemetry,
) -> RouterProcess:
    """Connect a router's components without starting them."""
    incarnation = join.incarnation
    shared = new_shared_parts(
        settings, incarnation=incarnation, session=session
    )
    ports = RouterPorts(
        shared.log,
        HttpHostList(session, settings.platform.host_list_url),
        shared.peers,
        shared.configuration,
        shared.fleet,
        telemetry,
    )
    source = random.Random(incarnation)
    parts = new_router_parts(ports, join=join, source=source)
    ledger = ShardedLedgerView(parts.budgets.shards)
    return RouterProcess(
        shared,
        parts,
        new_relay_handler(shared.relay, parts.handler),
        OperatorBackend(
            configuration=shared.configuration,
            fleet=shared.fleet,
            ledger=ledger,
            peers=shared.peers,
            own_status=lambda: parts.router.status,
            bootstrap=settings.bootstrap_operator,
        ),
        ProcessGauges(
            telemetry=telemetry,
            incarnation=incarnation,
            configuration=shared.configuration,
            fleet=shared.fleet,
            ledger=ledger,
        ),
    )
