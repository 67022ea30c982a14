"""Tells whether a target is cold.

A target that has just started, or has lost what it keeps, is slow and falls
over if the usual load comes at once. It says for how long it is cold in its
entry, which is read some moments later. So it is also presumed to be cold
where it may have turned cold unseen: after nothing was sent to its data
centre, and after it refused a connection.

Routers can't ask each other before each request. A few of them, which all
choose alike, send to a cold target, each evenly spaced.
"""

from enum import StrEnum

# An entry that was written after a target turned cold is read within this time.
ENTRY_DELAY_S = 2.0


class ColdCause(StrEnum):
    """Why a target is taken to be cold."""

    STATED = 'stated by the target'
    EVACUATED = 'its data centre was evacuated'
    UNREACHABLE = 'it refused a connection'


class ColdPeriod:
    """Keeps until when one start of a target is cold.

    All times are event loop times in seconds.
    """

    def __init__(self) -> None:
        """Start with a warm target."""
        self._stated_until = float('-inf')
        self._presumed_at = float('-inf')
        self._presumed_until = float('-inf')

    def is_cold(self, now: float) -> bool:
        """Return whether the target is or may be cold."""
        return now < max(self._stated_until, self._presumed_until)

    def left_s(self, now: float) -> float:
        """Return how long the target stays cold, in seconds."""
        return max(
            float(0), max(self._stated_until, self._presumed_until) - now
        )

    def state(self, cold_s: float, now: float) -> None:
        """Note what the target says: that it is cold for some seconds, or 0.

        What was presumed ends only by a word that is later than its cause.
        """
        self._stated_until = now + cold_s
        if now >= self._presumed_at + ENTRY_DELAY_S:
            self._presumed_until = float('-inf')

    def presume(self, cold_s: float, now: float) -> None:
        """Note that the target may have turned cold unseen.

        :param cold_s: how long a target of its service stays cold
        """
        self._presumed_at = now
        self._presumed_until = now + cold_s + ENTRY_DELAY_S
