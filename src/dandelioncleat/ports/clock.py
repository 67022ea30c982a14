"""Time, so that tests and replays can run on a virtual clock."""

from typing import Protocol


class Clock(Protocol):
    """Tells the time; waits are those of the running event loop."""

    def monotonic(self) -> float:
        """Return seconds that never go back, for durations."""

    def wall(self) -> float:
        """Return seconds since the epoch, for display."""
