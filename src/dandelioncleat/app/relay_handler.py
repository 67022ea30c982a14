"""Answers the askers of shared streams, beside a process's own handler."""

from collections.abc import AsyncIterator
from contextlib import aclosing

from dandelioncleat.app.configuration import CONFIGURATION_STREAM
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.log_relay import LogRelay
from dandelioncleat.core.fleet import ROUTER
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import AskEntries, Message
from dandelioncleat.core.relay import RouterPlace
from dandelioncleat.ports.peer import CallContext, PeerHandler


class RelayHandler:
    """Passes every other message on to the process's handler."""

    def __init__(self, relay: LogRelay, handler: PeerHandler) -> None:
        """Take the relay and the handler of all other messages."""
        self._relay = relay
        self._handler = handler

    async def answer(
        self,
        message: Message,
        context: CallContext,
    ) -> AsyncIterator[Message]:
        """Yield the replies to a message."""
        if isinstance(message, AskEntries):
            yield await self._relay.answer(message)
            return
        replies = self._handler.answer(message, context)
        async with aclosing(replies):  # type: ignore[type-var]
            async for reply in replies:
                yield reply


def router_places(fleet: FleetKeeper) -> tuple[RouterPlace, ...]:
    """Return the live routers, which may read for others."""
    return tuple(
        RouterPlace(
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
