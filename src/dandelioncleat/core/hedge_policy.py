"""Decides when a request is sent to a second target, and how often.

A few slow targets, or slow moments of a target, make a few answers late. A
request that may run twice and has waited for longer than most did is sent to
another target as well. If all targets are slow, most requests wait for longer
than most did before; the share of requests that are hedged bounds what this
adds to their load.
"""

from collections import deque
from statistics import quantiles
from typing import NamedTuple

WINDOW_S = 10.0
# The newest answers of a service, by which a request is slow.
MAX_TIMES = 200
MIN_TIMES = 20
# The slowest requests are hedged, as many as the share allows, but no half of
# all: what most take is not slow.
MIN_SLOW_PERCENT = 60
MAX_SLOW_PERCENT = 99
MEDIAN_PERCENT = 50
_PERCENT = 100


class HedgeDelay(NamedTuple):
    """When to send a request to a second target.

    :param delay_s: how long to wait for the first one, in seconds
    :param answers: number of answers that this rests on
    """

    delay_s: float
    answers: int


class HedgePolicy:
    """Counts the requests, answers and hedges of one service."""

    def __init__(self, share: float) -> None:
        """Start without a request.

        :param share: how many requests may be hedged, as a share of all
        """
        self.share = share
        self._times: deque[tuple[float, float]] = deque(maxlen=MAX_TIMES)
        self._requests: deque[float] = deque()
        self._hedges: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a request; ``now`` is in seconds."""
        self._requests.append(now)
        self._expire(now)

    def note_answer(self, passed_s: float, now: float) -> None:
        """Count an answer.

        :param passed_s: time from its sending, in seconds
        """
        self._times.append((now, passed_s))

    def delay(self, left_s: float, now: float) -> HedgeDelay | None:
        """Return when to send a request a second time, ``None`` for never.

        :param left_s: time until its caller stops waiting, in seconds
        """
        if self.share <= 0:
            return None
        self._expire(now)
        recent = [passed_s for _, passed_s in self._times]
        if len(recent) < MIN_TIMES:
            return None
        cuts = quantiles(recent, n=_PERCENT)
        slow_s = cuts[_slow_percent(self.share) - 1]
        # A second run needs the time that most take.
        if slow_s + cuts[MEDIAN_PERCENT - 1] >= left_s:
            return None
        return HedgeDelay(slow_s, len(recent))

    def take(self, now: float) -> bool:
        """Count a hedge; return whether the share allows it."""
        self._expire(now)
        if len(self._hedges) + 1 > self.share * len(self._requests):
            return False
        self._hedges.append(now)
        return True

    def _expire(self, now: float) -> None:
        start = now - WINDOW_S
        for times in (self._requests, self._hedges):
            while times and times[0] < start:
                times.popleft()
        while self._times and self._times[0][0] < start:
            self._times.popleft()


def _slow_percent(share: float) -> int:
    """Return how many in 100 answers are quicker than those to be hedged."""
    percent = int(_PERCENT * (1 - share))
    return min(MAX_SLOW_PERCENT, max(MIN_SLOW_PERCENT, percent))
