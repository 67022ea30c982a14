"""Requests transfers of spare tokens from other routers."""

import xxhash

from dandelioncleat.app._budget_holdings import BudgetHoldings
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.fleet import ROUTER, Member
from dandelioncleat.core.identity import Draw, Incarnation
from dandelioncleat.core.message import AskPart, Message, Part
from dandelioncleat.ports.peer import Peers

PEER_TIMEOUT_S = 0.5


class TransferRequester:
    """Asks other routers for spare tokens of their grants."""

    def __init__(
        self,
        *,
        incarnation: Incarnation,
        fleet: FleetKeeper,
        peers: Peers,
    ) -> None:
        """Take the router's name, the fleet and the peers."""
        self._incarnation = incarnation
        self._fleet = fleet
        self._peers = peers

    async def request(self, holdings: BudgetHoldings) -> None:
        """Ask one router after the other until the holdings suffice.

        Routers of the same data centre come first.
        """
        for member in self._routers_in_order(holdings):
            if not holdings.need:
                return
            message = AskPart(holdings.budget, holdings.need, self._incarnation)
            answer = await self._ask_router(member, message)
            if isinstance(answer, Part):
                holdings.add(*self._usable(answer.draws))

    async def _ask_router(
        self, member: Member, message: AskPart
    ) -> Message | None:
        try:
            return await self._peers.call(
                member.join.address,
                message,
                timeout_s=PEER_TIMEOUT_S,
            )
        except FailureError:
            return None

    def _usable(self, draws: tuple[Draw, ...]) -> tuple[Draw, ...]:
        is_retired = self._fleet.fold.is_retired
        return tuple(
            draw for draw in draws if not is_retired(draw.grant.holder)
        )

    def _routers_in_order(self, holdings: BudgetHoldings) -> list[Member]:
        own = self._fleet.fold.members_by_incarnation.get(self._incarnation)
        data_centre = own.join.data_centre if own else ''
        others = (
            member
            for member in self._fleet.fold.live(ROUTER)
            if member.join.incarnation != self._incarnation
        )
        return sorted(
            others,
            key=lambda member: (
                member.join.data_centre != data_centre,
                _weight(holdings, member),
            ),
        )


def _weight(holdings: BudgetHoldings, member: Member) -> int:
    router = member.join.incarnation
    return xxhash.xxh64_intdigest(f'{holdings.budget} {router}'.encode())
