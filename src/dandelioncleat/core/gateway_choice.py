"""Chooses the gateways through which a host reaches the store.

The load that it answers: all routers of a fleet lose the store at once, and
should neither all use one gateway nor go on asking one that is cut off too.
"""

from collections.abc import Iterable
from typing import NamedTuple

from dandelioncleat.core.stable_hash import stable_hash

# A gateway that did not answer is asked last for so long.
AVOID_S = 5.0


class GatewayEndpoint(NamedTuple):
    """Where a gateway takes calls, as ``ip:port``."""

    data_centre: str
    address: str


class GatewayChoice:
    """Orders gateways for one host, and remembers which did not answer."""

    def __init__(self, *, host: str, data_centre: str) -> None:
        """Take the host that asks and its data centre."""
        self._host = host
        self._data_centre = data_centre
        self._avoid_until_by_address: dict[str, float] = {}

    def order(
        self, gateways: Iterable[GatewayEndpoint], now: float
    ) -> list[GatewayEndpoint]:
        """Return the gateways, best first.

        :param now: time of the event loop in seconds
        """
        return sorted(gateways, key=lambda each: self._rank(each, now))

    def note_failure(self, address: str, now: float) -> None:
        """Ask a gateway last for some seconds."""
        self._avoid_until_by_address[address] = now + AVOID_S

    def note_answer(self, address: str) -> None:
        """Trust a gateway that has answered."""
        self._avoid_until_by_address.pop(address, None)

    def _rank(
        self, gateway: GatewayEndpoint, now: float
    ) -> tuple[bool, bool, int]:
        avoided_until = self._avoid_until_by_address.get(gateway.address, 0)
        return (
            avoided_until > now,
            gateway.data_centre != self._data_centre,
            stable_hash(self._host + gateway.address),
        )
