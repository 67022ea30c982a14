"""A clock that tests and replays replace by a virtual one."""

from typing import Protocol


class Clock(Protocol):
    """Tells the time; to wait, the running event loop is used."""

    def monotonic(self) -> float:
        """Return seconds that never go back, for durations."""

    def wall(self) -> float:
        """Return seconds since the epoch, for display."""
