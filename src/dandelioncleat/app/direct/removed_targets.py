"""Targets whose entries were removed from the platform's list."""

from collections import OrderedDict

from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.core.deployment import TargetEntry

# What removed targets asked for still holds if they are listed again.
MAX_REMOVED = 1000


class RemovedTargets:
    """Keeps the states of the last targets that were removed, by id."""

    def __init__(self) -> None:
        """Start without a target."""
        self._states_by_id: OrderedDict[str, TargetState] = OrderedDict()

    def __contains__(self, target: object) -> bool:
        """Return whether a target was removed."""
        return target in self._states_by_id

    def add(self, state: TargetState) -> None:
        """Keep the state of a target that was removed."""
        self._states_by_id[state.entry.id] = state
        if len(self._states_by_id) > MAX_REMOVED:
            self._states_by_id.popitem(last=False)

    def pop(self, target: str) -> TargetState | None:
        """Return and forget the state of a target that is listed again."""
        return self._states_by_id.pop(target, None)

    def is_outdated(self, entry: TargetEntry) -> bool:
        """Return whether an entry is older than the removal of its start."""
        state = self._states_by_id.get(entry.id)
        if state is None or state.entry.start != entry.start:
            return False
        return entry.sequence <= state.entry.sequence
