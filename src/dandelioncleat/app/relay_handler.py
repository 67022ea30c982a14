"""Answers the askers of shared streams, beside a process's own handler."""

from dandelioncleat.app.configuration import CONFIGURATION_STREAM
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.log_relay import LogRelay
from dandelioncleat.app.typed_handler import TypedHandler
from dandelioncleat.core.fleet import ROUTER
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import AskEntries
from dandelioncleat.core.relay import LiveRouter
from dandelioncleat.ports.peer import PeerHandler


def new_relay_handler(relay: LogRelay, handler: PeerHandler) -> PeerHandler:
    """Return a handler that answers the askers of shared streams as well."""
    return TypedHandler(AskEntries, relay.answer, handler)


def router_places(fleet: FleetKeeper) -> tuple[LiveRouter, ...]:
    """Return the live routers, which may read for others."""
    return tuple(
        LiveRouter(
            member.join.incarnation,
            member.join.data_centre,
            member.join.address,
        )
        for member in fleet.fold.live(ROUTER)
        if not member.leaving
    )


def ask_peer(relay: LogRelay, fleet: FleetKeeper, peer: str) -> None:
    """Have the relay ask a peer that has a newer configuration.

    :param peer: the peer's address or incarnation
    """
    member = fleet.fold.members_by_incarnation.get(Incarnation(peer))
    address = peer if member is None else member.join.address
    relay.tell(CONFIGURATION_STREAM, address)
