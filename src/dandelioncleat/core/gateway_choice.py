"""Chooses the gateways through which a host reaches the store.

All routers of a fleet may lose the store at once. They must neither all use
the same gateway nor keep calling one that is cut off as well.
"""

from collections.abc import Iterable
from typing import NamedTuple

from dandelioncleat.core.stable_hash import stable_hash

# A gateway that did not answer is tried last for this time.
AVOID_S = 5.0


class GatewayEndpoint(NamedTuple):
    """A gateway's data centre and its address as ``ip:port``."""

    data_centre: str
    address: str


class GatewayChoice:
    """Orders gateways for one host and tries failed ones last."""

    def __init__(self, *, host: str, data_centre: str) -> None:
        """Set the calling host and its data centre."""
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
        """Try a gateway last for ``AVOID_S`` seconds."""
        self._avoid_until_by_address[address] = now + AVOID_S

    def note_answer(self, address: str) -> None:
        """Stop avoiding a gateway that has answered."""
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
