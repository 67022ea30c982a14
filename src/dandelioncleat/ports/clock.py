"""A clock that tests and replays replace by a virtual one."""

from typing import Protocol

from dandelioncleat.core.holding import Moment


class Clock(Protocol):
    """Tells the time; to wait, the running event loop is used."""

    def monotonic(self) -> float:
        """Return seconds that never go back, for durations."""

    def wall(self) -> float:
        """Return seconds since the epoch, for display."""


def current_moment(clock: Clock) -> Moment:
    """Return the time on both clocks of a host."""
    return Moment(clock.monotonic(), clock.wall())
