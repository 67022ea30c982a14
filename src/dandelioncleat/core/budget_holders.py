"""Chooses the hosts that hold the tokens of a budget.

If each of many hosts held a part, no part would cover one large request, and
all hosts would contend for each change. So a few hold the tokens, and all
others forward requests to them.
"""

from collections.abc import Mapping
from math import inf, log

from dandelioncleat.core.stable_hash import stable_hash

# Each holder that fails takes its part with it until it is back.
HOLDERS = 6
# In a fleet of up to this size every host holds a part.
SMALL_FLEET = 8

_HASH_RANGE = 2.0**64


class BudgetHolders:
    """Chooses the holders of each budget among the hosts of a fleet."""

    def __init__(self) -> None:
        """Start with an unknown fleet, of which every host is a holder."""
        self._cores_by_host: Mapping[str, float] = {}
        self._holders_by_budget: dict[str, frozenset[str]] = {}

    def set_hosts(self, cores_by_host: Mapping[str, float]) -> None:
        """Set the fleet.

        :param cores_by_host: processor cores of each host
        """
        self._cores_by_host = cores_by_host
        self._holders_by_budget.clear()

    def includes(self, budget: str, host: str) -> bool:
        """Return whether a host should hold tokens of a budget."""
        if len(self._cores_by_host) <= SMALL_FLEET:
            return True
        holders = self._holders_by_budget.get(budget)
        if holders is None:
            holders = holders_of(budget, self._cores_by_host)
            self._holders_by_budget[budget] = holders
        return host in holders


def holders_of(
    budget: str, cores_by_host: Mapping[str, float]
) -> frozenset[str]:
    """Return the holders of a budget in a large fleet.

    Weighted rendezvous hashing: all hosts choose the same ones without
    communication, strong hosts are chosen more often, and a host that joins
    or leaves changes few choices.

    :param cores_by_host: processor cores of each host
    """
    ranked = sorted(
        cores_by_host,
        key=lambda host: _rank(budget + host, cores_by_host[host]),
    )
    return frozenset(ranked[:HOLDERS])


def _rank(text: str, weight: float) -> float:
    """Return the rank of a weighted choice; the lowest are chosen."""
    if weight <= 0:
        return inf
    uniform = (stable_hash(text) + 0.5) / _HASH_RANGE
    return -log(uniform) / weight
