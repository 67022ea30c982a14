"""How far the sidecars of a service are known to have read its claims."""

from collections.abc import Iterable
from typing import NamedTuple

from dandelioncleat.core.identity import Incarnation

MAX_CANDIDATES = 4096


class ReadersState(NamedTuple):
    """State for checkpoints; all times are log times in seconds."""

    first_seen_by_candidate: dict[Incarnation, float]
    seen_by_owner: dict[Incarnation, float]


class ClaimReaders:
    """Tracks the candidates for slots, and how far slot owners have read."""

    def __init__(self) -> None:
        """Start without candidates and owners."""
        self._first_seen_by_candidate: dict[Incarnation, float] = {}
        self._seen_by_owner: dict[Incarnation, float] = {}

    @property
    def candidates(self) -> tuple[Incarnation, ...]:
        """Return the sidecars that announced that they can own slots."""
        return tuple(self._first_seen_by_candidate)

    def seen_by(self, owner: Incarnation) -> float:
        """Return the newest log time that an owner is known to have read."""
        return self._seen_by_owner.get(owner, float(0))

    def knows(self, owner: Incarnation, candidate: Incarnation) -> bool:
        """Return whether an owner has read a candidate's announcement."""
        first = self._first_seen_by_candidate.get(candidate)
        return first is not None and self.seen_by(owner) > first

    def add_candidate(self, candidate: Incarnation, log_time: float) -> None:
        """Add a candidate; beyond the limit the oldest one is dropped."""
        known = self._first_seen_by_candidate
        known.setdefault(candidate, log_time)
        if len(known) > MAX_CANDIDATES:
            known.pop(next(iter(known)))

    def note_seen(self, owner: Incarnation, seen: float) -> None:
        """Record how far an owner has read."""
        self._seen_by_owner[owner] = max(self.seen_by(owner), seen)

    def retain_owners(self, owners: Iterable[Incarnation]) -> None:
        """Drop the read positions of all but these owners."""
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
