"""Limits a router's retries to its part of the fleet's retry budget."""

from collections import deque
from typing import NamedTuple

# Share of the budget that all routers together may use.
MARGIN = 0.85


class RetryLimits(NamedTuple):
    """The fleet's limit on retries in any window of ``window_s`` seconds.

    The limit is ``ratio`` of the requests plus ``slack``.
    """

    ratio: float
    slack: float
    window_s: float


class RetryWindow:
    """Counts the requests and the retries of one service.

    A retry counts from when it is taken until a window after its target has
    read it: one that waits in a socket arrives in a later window. ``unread``
    is the number of those that may not have been read yet.
    """

    def __init__(self, limits: RetryLimits) -> None:
        """Start with empty counts."""
        self.limits = limits
        self._requests: deque[float] = deque()
        self.unread = 0
        self._read_at: deque[float] = deque()

    @property
    def requests(self) -> int:
        """Return the number of requests that are counted now."""
        return len(self._requests)

    @property
    def retries(self) -> int:
        """Return the number of retries that are counted now."""
        return self.unread + len(self._read_at)

    def note_request(self, now: float) -> None:
        """Count a request; ``now`` is in seconds."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: float, *, share: float) -> bool:
        """Take one retry; return whether the budget allows it.

        :param share: the router's part of the slack, between 0 and 1
        """
        self._expire(now)
        slack = share * self.limits.slack
        most = MARGIN * (self.limits.ratio * len(self._requests) + slack)
        if self.retries + 1 > most:
            return False
        self.unread += 1
        return True

    def note_read(self, now: float) -> None:
        """Note that a target has read a retry that was taken."""
        self.unread -= 1
        self._read_at.append(now)

    def _expire(self, now: float) -> None:
        start = now - self.limits.window_s
        for times in (self._requests, self._read_at):
            while times and times[0] < start:
                times.popleft()
