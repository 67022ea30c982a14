"""How far the sidecars of a service are known to have read its claims."""

from collections.abc import Iterable
from typing import NamedTuple

from dandelioncleat.core.identity import Incarnation

MAX_CANDIDATES = 4096


class ReadersState(NamedTuple):
    """The whole state as plain data; all times are of the log, in s."""

    first_seen_by_candidate: dict[Incarnation, float]
    seen_by_owner: dict[Incarnation, float]


class ClaimReaders:
    """Keeps who could take slots, and what the owners of slots have read."""

    def __init__(self) -> None:
        """Start with no reader."""
        self._first_seen_by_candidate: dict[Incarnation, float] = {}
        self._seen_by_owner: dict[Incarnation, float] = {}

    @property
    def candidates(self) -> tuple[Incarnation, ...]:
        """Return those who said that they could take slots."""
        return tuple(self._first_seen_by_candidate)

    def seen_by(self, owner: Incarnation) -> float:
        """Return the newest log time that an owner is known to have read."""
        return self._seen_by_owner.get(owner, float(0))

    def knows(self, owner: Incarnation, candidate: Incarnation) -> bool:
        """Return whether an owner has read that a candidate is there."""
        first = self._first_seen_by_candidate.get(candidate)
        return first is not None and self.seen_by(owner) > first

    def add_candidate(self, candidate: Incarnation, log_time: float) -> None:
        """Remember who could take slots, the newest of them."""
        known = self._first_seen_by_candidate
        known.setdefault(candidate, log_time)
        if len(known) > MAX_CANDIDATES:
            known.pop(next(iter(known)))

    def note_seen(self, owner: Incarnation, seen: float) -> None:
        """Note what an owner has read."""
        self._seen_by_owner[owner] = max(self.seen_by(owner), seen)

    def retain_owners(self, owners: Iterable[Incarnation]) -> None:
        """Forget what others than these owners have read."""
        kept = frozenset(owners)
        self._seen_by_owner = {
            owner: seen
            for owner, seen in self._seen_by_owner.items()
            if owner in kept
        }

    def snapshot(self) -> ReadersState:
        """Return the whole state for a checkpoint."""
        return ReadersState(self._first_seen_by_candidate, self._seen_by_owner)

    def restore(self, state: ReadersState) -> None:
        """Replace the state by that of a checkpoint."""
        self._first_seen_by_candidate = state.first_seen_by_candidate
        self._seen_by_owner = state.seen_by_owner
