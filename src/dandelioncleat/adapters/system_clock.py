"""The system clock."""

import time

# Only Linux has a clock that counts suspensions.
_ELAPSED_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class SystemClock:
    """Implements the clock port with the system time."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def elapsed(self) -> float:
        """Return seconds that also count while the host is suspended."""
        return time.clock_gettime(_ELAPSED_CLOCK)
