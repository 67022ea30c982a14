"""Judges the repeats that targets get by the users' limit.

In any window of ``window_s`` a service may get ``ratio`` of its requests plus
``slack`` arrivals beyond the first of each request. The requests are those
that callers sent in that window, the one before it, or the one half a window
before it, whichever has most.
"""

from bisect import bisect_left
from collections.abc import Iterator
from typing import NamedTuple


class RetryLimit(NamedTuple):
    """The users' limit; ``window_s`` is in seconds."""

    ratio: float
    slack: float
    window_s: float


class RetriedWindow(NamedTuple):
    """A window with repeats.

    ``begins_at`` is in seconds on the clock of the arrivals; ``used`` is the
    part of the limit that was used, above 1 if it was exceeded.
    """

    begins_at: float
    repeats: int
    allowed: float

    @property
    def used(self) -> float:
        """Return the used part of the limit."""
        return self.repeats / self.allowed

    @property
    def excess(self) -> float:
        """Return the repeats beyond the limit, negative within it."""
        return self.repeats - self.allowed


def repeats_of(arrivals: list[tuple[float, str]]) -> list[float]:
    """Return when requests arrived that had arrived before.

    :param arrivals: times in seconds with the ids of requests, in any order
    """
    known = set()
    repeats = []
    for at, request in sorted(arrivals):
        if request in known:
            repeats.append(at)
        known.add(request)
    return repeats


def worst_window(
    repeats: list[float], sent: list[float], limit: RetryLimit
) -> RetriedWindow:
    """Return the window that uses most of the limit.

    :param repeats: when repeats arrived, in order, in seconds
    :param sent: when callers sent requests, in seconds
    """
    return max(
        _windows(repeats, sent, limit),
        key=lambda window: window.used,
        default=RetriedWindow(0, 0, limit.slack),
    )


def excess(repeats: list[float], sent: list[float], limit: RetryLimit) -> float:
    """Return by how much the worst window passes the limit.

    :param repeats: when repeats arrived, in order, in seconds
    :param sent: when callers sent requests, in seconds
    """
    return max(
        (window.excess for window in _windows(repeats, sent, limit)),
        default=0,
    )


def _windows(
    repeats: list[float], sent: list[float], limit: RetryLimit
) -> Iterator[RetriedWindow]:
    """Yield the windows that begin with a repeat."""
    sent = sorted(sent)
    for number, begins_at in enumerate(repeats):
        end = bisect_left(repeats, begins_at + limit.window_s)
        yield RetriedWindow(
            begins_at, end - number, _allowed(sent, begins_at, limit)
        )


def _allowed(sent: list[float], begins_at: float, limit: RetryLimit) -> float:
    starts = (
        begins_at,
        begins_at - limit.window_s / 2,
        begins_at - limit.window_s,
    )
    counts = [
        bisect_left(sent, start + limit.window_s) - bisect_left(sent, start)
        for start in starts
    ]
    return limit.ratio * max(counts) + limit.slack
