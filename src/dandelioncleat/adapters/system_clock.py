"""The clock of the machine."""

import time


class SystemClock:
    """Is the clock port on the machine's own time."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()
