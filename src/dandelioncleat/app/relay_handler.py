"""Answers peers that read shared streams through this process."""

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
    """Return a handler that also answers reads of shared streams."""
    return TypedHandler(AskEntries, relay.answer, handler)


def live_routers(fleet: FleetKeeper) -> tuple[LiveRouter, ...]:
    """Return the live routers, which may relay entries to others."""
    return tuple(
        LiveRouter(
            member.join.incarnation,
            member.join.data_centre,
            member.join.address,
        )
        for member in fleet.fold.live(ROUTER)
        if not member.leaving
    )


def ask_newer_peer(relay: LogRelay, fleet: FleetKeeper, peer: str) -> None:
    """Make the relay ask a peer that has a newer configuration.

    :param peer: the peer's address or incarnation
    """
    member = fleet.fold.members_by_incarnation.get(Incarnation(peer))
    address = peer if member is None else member.join.address
    relay.note_newer_peer(CONFIGURATION_STREAM, address)
