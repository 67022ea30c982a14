"""The system clock."""

import time


class SystemClock:
    """Implements the clock port with the system time."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()
