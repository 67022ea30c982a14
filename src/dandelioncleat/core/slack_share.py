"""A router's part of the slack of the fleet's retry budget."""

from collections import deque


class SlackShare:
    """Divides the slack among the routers of the last window.

    Retries count for a whole window, also those of processes that have
    ended. So a router has no part while its predecessor on the host may have
    used it, and routers that have left still count.
    """

    def __init__(self, window_s: float) -> None:
        """Start without a part of the slack."""
        self.window_s = window_s
        self._counts: deque[tuple[float, int]] = deque()
        self._joined_at: float | None = None
        self._is_leaving = False

    def set_routers(self, count: int, now: float) -> None:
        """Note how many routers are listed from now on."""
        self._counts.append((now, count))
        self._expire(now)

    def join(self, now: float) -> None:
        """Note that the other routers can know this one."""
        if self._joined_at is None:
            self._joined_at = now

    def leave(self) -> None:
        """Give up the part, as the other routers use it soon."""
        self._is_leaving = True

    def part(self, now: float) -> float:
        """Return the part of the slack, between 0 and 1."""
        joined_at = self._joined_at
        if joined_at is None or self._is_leaving or not self._counts:
            return 0
        if now < joined_at + self.window_s:
            return 0
        self._expire(now)
        return 1 / max(count for _, count in self._counts)

    def routers(self) -> int:
        """Return the number of routers that are listed now."""
        return self._counts[-1][1] if self._counts else 0

    def _expire(self, now: float) -> None:
        """Drop the counts that ended before the last window."""
        start = now - self.window_s
        while len(self._counts) > 1 and self._counts[1][0] <= start:
            self._counts.popleft()
