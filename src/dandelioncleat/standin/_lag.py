"""A state that is reported with a delay."""

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

StateT = TypeVar('StateT')


class LaggingState(Generic[StateT]):
    """Keeps past states and reports the state of ``lag_s`` ago.

    :param lag_s: delay of the reports in seconds
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        """Start without a delay."""
        self.lag_s: float = 0
        self._now = now
        self._states: deque[tuple[float, StateT]] = deque()

    def note(self, state: StateT) -> None:
        """Record the state after a change."""
        self._states.append((self._now(), state))
        self._drop_outdated()

    def read(self, current: StateT) -> tuple[float, StateT]:
        """Return the age of the newest report in seconds, and the report."""
        if self.lag_s <= 0 or not self._states:
            return 0, current
        self._drop_outdated()
        noted_at, state = self._states[0]
        return min(self.lag_s, self._now() - noted_at), state

    def _drop_outdated(self) -> None:
        reported_at = self._now() - self.lag_s
        while len(self._states) > 1 and self._states[1][0] <= reported_at:
            self._states.popleft()
