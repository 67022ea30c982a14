"""A state that is reported as it was some time ago."""

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

StateT = TypeVar('StateT')


class LaggingState(Generic[StateT]):
    """Keeps the past states that a lagging report needs.

    :param lag_s: seconds by which reports are late
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        """Start without lag."""
        self.lag_s: float = 0
        self._now = now
        self._states: deque[tuple[float, StateT]] = deque()

    def note(self, state: StateT) -> None:
        """Keep the state after a change."""
        self._states.append((self._now(), state))
        self._forget()

    def read(self, current: StateT) -> tuple[float, StateT]:
        """Return the age in seconds of the newest report, and the report."""
        if self.lag_s <= 0 or not self._states:
            return 0, current
        self._forget()
        noted_at, state = self._states[0]
        return min(self.lag_s, self._now() - noted_at), state

    def _forget(self) -> None:
        newest = self._now() - self.lag_s
        while len(self._states) > 1 and self._states[1][0] <= newest:
            self._states.popleft()
