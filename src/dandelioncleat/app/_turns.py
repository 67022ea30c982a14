"""Staggers work over the routers, so that usually only one does it."""

import asyncio

import xxhash

from dandelioncleat.core.fleet import ROUTER, FleetFold
from dandelioncleat.core.identity import Incarnation

RANK_DELAY_S = 4.0


class Turns:
    """Ranks the routers for each piece of work and gives each a later turn.

    The ranking is a hash of the work's name and the router, so that the
    work is spread over the routers.
    """

    def __init__(self, fleet: FleetFold, incarnation: Incarnation) -> None:
        """Take the fleet and this router's name in it."""
        self._fleet = fleet
        self._incarnation = incarnation
        self._started_at_by_name: dict[str, float] = {}

    def is_mine(self, name: str) -> bool:
        """Return whether the delay for this router's rank has passed."""
        now = asyncio.get_running_loop().time()
        started_at = self._started_at_by_name.setdefault(name, now)
        return now - started_at >= self._rank(name) * RANK_DELAY_S

    def restart(self, name: str) -> None:
        """Restart the delays after this router did the work."""
        self._started_at_by_name.pop(name, None)

    def _rank(self, name: str) -> int:
        own = _weight(name, self._incarnation)
        return sum(
            _weight(name, member.join.incarnation) < own
            for member in self._fleet.live(ROUTER)
        )


def _weight(name: str, router: Incarnation) -> int:
    return xxhash.xxh64_intdigest(f'{name} {router}'.encode())
