"""Retired holders of grants and the sidecars that have yet to drain them."""

from typing import NamedTuple

from dandelioncleat.core.identity import Incarnation


class Retirement(NamedTuple):
    """A fenced holder; ``waiting`` are the sidecars yet to drain it."""

    offset: int
    retired_at: float
    reason: str
    waiting: tuple[Incarnation, ...]


class Retirements:
    """Tracks which sidecars may still spend a retired holder's grants."""

    def __init__(self) -> None:
        """Start with no retired holder."""
        self.by_holder: dict[Incarnation, Retirement] = {}

    def waiting_for(self, holder: Incarnation) -> tuple[Incarnation, ...]:
        """Return the sidecars that have yet to drain a retired holder."""
        retirement = self.by_holder.get(holder)
        return () if retirement is None else retirement.waiting

    def holders_to_drain(self, sidecar: Incarnation) -> tuple[Incarnation, ...]:
        """Return the retired holders that a sidecar has yet to drain."""
        return tuple(
            holder
            for holder, retirement in self.by_holder.items()
            if sidecar in retirement.waiting
        )

    def drain(self, holder: Incarnation, sidecar: Incarnation) -> None:
        """Record that a sidecar drained a holder."""
        waiting = tuple(
            waited for waited in self.waiting_for(holder) if waited != sidecar
        )
        self._set_waiting(holder, waiting)

    def drain_all(self, sidecar: Incarnation) -> None:
        """Record that a sidecar ended with all its work billed."""
        for holder in self.holders_to_drain(sidecar):
            self.drain(holder, sidecar)

    def _set_waiting(
        self,
        holder: Incarnation,
        waiting: tuple[Incarnation, ...],
    ) -> None:
        retirement = self.by_holder[holder]
        self.by_holder[holder] = retirement._replace(waiting=waiting)
