"""Which sidecar should own each slot of a service."""

from dandelioncleat.core.home import home_order
from dandelioncleat.core.identity import Incarnation, RequestKey
from dandelioncleat.core.slot import NO_OWNER

SETTLED_S = 10.0


class SlotRanking:
    """Orders the live sidecars for each slot by rendezvous hash.

    It remembers since when a sidecar is the preferred owner of a slot, so that
    slots do not move back and forth while sidecars join and leave.
    """

    def __init__(self, service: str) -> None:
        """Set the service whose slots are ranked."""
        self._service = service
        self._candidates: tuple[Incarnation, ...] = ()
        self._orders: list[tuple[Incarnation, ...]] = []
        self._preferred_since: list[float] = []

    def update(
        self,
        candidates: tuple[Incarnation, ...],
        slots: int,
        now: float,
    ) -> None:
        """Set the sidecars that can own slots.

        :param slots: number of slots of the service
        :param now: monotonic time in seconds
        """
        if candidates == self._candidates and slots == len(self._orders):
            return
        earlier = [self.preferred_owner(number) for number in range(slots)]
        earlier_since = self._preferred_since
        self._candidates = candidates
        self._orders = [
            home_order(RequestKey(self._service, str(number)), candidates)
            for number in range(slots)
        ]
        self._preferred_since = [
            earlier_since[number]
            if number < len(earlier_since)
            and self.preferred_owner(number) == preferred
            else now
            for number, preferred in enumerate(earlier)
        ]

    def preferred_owner(self, number: int) -> Incarnation:
        """Return the sidecar that should own a slot, if there is one."""
        if number >= len(self._orders) or not self._orders[number]:
            return NO_OWNER
        return self._orders[number][0]

    def rank(self, number: int, sidecar: Incarnation) -> int:
        """Return the position of a sidecar in the order for a slot."""
        order = self._orders[number]
        return order.index(sidecar) if sidecar in order else len(order)

    def is_settled(self, number: int, now: float) -> bool:
        """Return whether a slot's preferred owner has not changed lately."""
        return now - self._preferred_since[number] >= SETTLED_S
