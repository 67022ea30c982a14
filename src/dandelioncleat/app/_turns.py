"""Turns of the routers at work that one of them should do."""

import asyncio

import xxhash

from dandelioncleat.core.fleet import ROUTER, FleetFold
from dandelioncleat.core.identity import Incarnation

RANK_DELAY_S = 4.0


class Turns:
    """Gives the routers turns, in an order that differs for each name."""

    def __init__(self, fleet: FleetFold, incarnation: Incarnation) -> None:
        """Take the fleet and this router's name in it."""
        self._fleet = fleet
        self._incarnation = incarnation
        self._since_by_name: dict[str, float] = {}

    def is_mine(self, name: str) -> bool:
        """Return whether the routers before this one had their time."""
        now = asyncio.get_running_loop().time()
        since = self._since_by_name.setdefault(name, now)
        return now - since >= self._rank(name) * RANK_DELAY_S

    def end(self, name: str) -> None:
        """Begin the turns anew, after this router did its work."""
        self._since_by_name.pop(name, None)

    def _rank(self, name: str) -> int:
        own = _weight(name, self._incarnation)
        return sum(
            _weight(name, member.join.incarnation) < own
            for member in self._fleet.live(ROUTER)
        )


def _weight(name: str, router: Incarnation) -> int:
    return xxhash.xxh64_intdigest(f'{name} {router}'.encode())
