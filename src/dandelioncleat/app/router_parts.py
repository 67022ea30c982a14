"""Assembles a router from its ports."""

import random
from typing import NamedTuple, Protocol

from dandelioncleat.app.bill_relay import BillRelay, new_bill_handler
from dandelioncleat.app.budgets import Budgets
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.retirement import Retirer
from dandelioncleat.app.router import Router, new_router
from dandelioncleat.core.record import Join
from dandelioncleat.ports.host_list import HostList
from dandelioncleat.ports.log import Log
from dandelioncleat.ports.peer import PeerHandler, Peers
from dandelioncleat.ports.telemetry import Telemetry


class RunsForever(Protocol):
    """A component that runs in a task of its own."""

    async def run(self) -> None:
        """Run until cancelled."""


class RouterPorts(NamedTuple):
    """The ports of a router and the keepers of the shared streams."""

    log: Log
    host_list: HostList
    peers: Peers
    configuration: ConfigurationKeeper
    fleet: FleetKeeper
    telemetry: Telemetry


class RouterParts(NamedTuple):
    """A router and its components; ``handler`` answers other processes."""

    ports: RouterPorts
    budgets: Budgets
    router: Router
    bill_relay: BillRelay
    retirer: Retirer
    handler: PeerHandler

    @property
    def tasks(self) -> tuple[RunsForever, ...]:
        """Return the components that run until cancelled."""
        keepers = (self.ports.configuration, self.ports.fleet, self.budgets)
        return (*keepers, self.bill_relay, self.retirer, self.router)


def new_router_parts(
    ports: RouterPorts,
    *,
    join: Join,
    source: random.Random,
) -> RouterParts:
    """Connect a router's components without starting them.

    :param source: the source of random choices
    """
    incarnation = join.incarnation
    configuration = ports.configuration
    budgets = Budgets(
        log=ports.log,
        incarnation=incarnation,
        configuration=lambda: configuration.current,
        fleet=ports.fleet,
        peers=ports.peers,
    )
    configuration.on_change(budgets.ticker.trigger)
    router = new_router(
        join=join,
        host_list=ports.host_list,
        peers=ports.peers,
        configuration=configuration,
        fleet=ports.fleet,
        budgets=budgets,
        telemetry=ports.telemetry,
        source=source,
    )
    bill_relay = BillRelay(
        log=ports.log,
        incarnation=incarnation,
        configuration=lambda: configuration.current,
    )
    retirer = Retirer(
        incarnation=incarnation,
        fleet=ports.fleet,
        hosts=ports.host_list,
        shards=budgets.shards,
    )
    handler = new_bill_handler(bill_relay, router)
    return RouterParts(ports, budgets, router, bill_relay, retirer, handler)
