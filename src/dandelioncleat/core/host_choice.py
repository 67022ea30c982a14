"""Chooses a few hosts of a large fleet for something that all would share.

If each of many hosts held a part of a budget, no part would cover one large
request, and all hosts would contend for each change. If each of them polled
every target, the targets would refuse most polls. So a few hosts hold each
budget, and a few poll each target.
"""

from collections.abc import Mapping
from math import inf, log

from dandelioncleat.core.stable_hash import stable_hash

# Each chosen host that fails takes its part with it until it is back.
CHOSEN_HOSTS = 6
# In a fleet of up to this size every host is chosen.
SMALL_FLEET = 8

_HASH_RANGE = 2.0**64


class HostChoice:
    """Chooses hosts for each key, such as a budget or a target."""

    def __init__(self) -> None:
        """Start with an unknown fleet, of which every host is chosen."""
        self._cores_by_host: Mapping[str, float] = {}
        self._chosen_by_key: dict[tuple[str, int], frozenset[str]] = {}

    @property
    def size(self) -> int:
        """Return the number of hosts, 1 in an unknown fleet."""
        return max(1, len(self._cores_by_host))

    @property
    def is_selective(self) -> bool:
        """Return whether some hosts of the fleet are not chosen."""
        return len(self._cores_by_host) > SMALL_FLEET

    @property
    def holders(self) -> int:
        """Return how many hosts are chosen for a key, 1 in a small fleet.

        There every host is chosen, and counts once it has written something.
        """
        return CHOSEN_HOSTS if self.is_selective else 1

    def set_hosts(self, cores_by_host: Mapping[str, float]) -> None:
        """Set the fleet.

        :param cores_by_host: processor cores of each host
        """
        self._cores_by_host = cores_by_host
        self._chosen_by_key.clear()

    def includes(self, key: str, host: str) -> bool:
        """Return whether a host is chosen for a key."""
        if not self.is_selective:
            return True
        return self.is_among(key, host, most=CHOSEN_HOSTS)

    def is_among(self, key: str, host: str, *, most: int) -> bool:
        """Return whether a host is one of the first of a key.

        :param most: number of hosts that are chosen
        """
        if self.size <= most:
            return True
        chosen = self._chosen_by_key.get((key, most))
        if chosen is None:
            chosen = chosen_hosts(key, self._cores_by_host, most=most)
            self._chosen_by_key[key, most] = chosen
        return host in chosen


def chosen_hosts(
    key: str,
    cores_by_host: Mapping[str, float],
    *,
    most: int = CHOSEN_HOSTS,
) -> frozenset[str]:
    """Return the hosts that are chosen for a key in a large fleet.

    Weighted rendezvous hashing: all hosts choose the same ones without
    communication, strong hosts are chosen more often, and a host that joins
    or leaves changes few choices.

    :param cores_by_host: processor cores of each host
    :param most: number of hosts that are chosen
    """
    ranked = _ranked(key, cores_by_host)
    return frozenset(ranked[:most])


def first_host(key: str, cores_by_host: Mapping[str, float]) -> str | None:
    """Return the one host that is chosen for a key, ``None`` without hosts.

    :param cores_by_host: processor cores of each host
    """
    return next(iter(_ranked(key, cores_by_host)), None)


def _ranked(key: str, cores_by_host: Mapping[str, float]) -> list[str]:
    """Return the hosts in the order in which they are chosen for a key."""
    return sorted(
        cores_by_host,
        key=lambda host: _rank(key + host, cores_by_host[host]),
    )


def _rank(text: str, weight: float) -> float:
    """Return the rank of a weighted choice; the lowest are chosen."""
    if weight <= 0:
        return inf
    uniform = (stable_hash(text) + 0.5) / _HASH_RANGE
    return -log(uniform) / weight
