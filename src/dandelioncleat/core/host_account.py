"""A host's account of one budget: what it may use at a moment."""

from dandelioncleat.core.holding import UsageMark
from dandelioncleat.core.own_ceiling import OwnCeiling

RATE_WINDOW_S = 5.0
# The first requests of a budget say little about its use.
MIN_WINDOW_S = 2.0


class UsageMeter:
    """Measures the recent rate of use."""

    def __init__(self, used: int) -> None:
        """Start with the tokens used so far."""
        self.rate = float(0)
        self._at: float | None = None
        self._measured_s = float(0)
        self._used = used

    def update(self, used: int, now: float) -> None:
        """Update the rate with the use since the last call.

        :param used: all tokens used so far
        :param now: monotonic time in seconds
        """
        if self._at is not None and now > self._at:
            passed = now - self._at
            recent_rate = max(0, used - self._used) / passed
            if not self._measured_s and not recent_rate:
                passed = 0
            # An average over the whole window would be too low after a start.
            self._measured_s = min(RATE_WINDOW_S, self._measured_s + passed)
            weight = passed / max(MIN_WINDOW_S, self._measured_s)
            self.rate += (recent_rate - self.rate) * min(1, weight)
        self._at = now
        self._used = used


class HostAccount:
    """Limits a host's use of one budget by its ceiling and its marks.

    An unconfirmed mark applies in addition to the newest confirmed one, as
    the next process may read either. Until this process has a confirmed mark
    the next one may find none, or that of an earlier process, so nothing may
    be used.
    """

    def __init__(self, *, ceiling: int, used: int, unproven: int = 0) -> None:
        """Start with the host's ceiling and its tokens used so far.

        :param unproven: part of ``used`` that may not have been used
        """
        self.used = used
        self.unproven = unproven
        self.reserved = 0
        self.meter = UsageMeter(used)
        self.large_need = 0
        self.waiting_by_request: dict[str, int] = {}
        self.confirmed: UsageMark | None = None
        self.sent: UsageMark | None = None
        self.limit = OwnCeiling(ceiling)

    @property
    def ceiling(self) -> int:
        """Return the most that the host may ever use."""
        return self.limit.tokens

    @property
    def total(self) -> int:
        """Return the tokens used and reserved."""
        return self.used + self.reserved

    @property
    def free(self) -> int:
        """Return the tokens below the ceiling."""
        return max(0, self.ceiling - self.total)

    @property
    def missing(self) -> int:
        """Return the tokens that waiting requests lack."""
        return max(0, self.waiting - self.free)

    @property
    def waiting(self) -> int:
        """Return the tokens that requests wait for."""
        return sum(self.waiting_by_request.values())

    def headroom(self, now: float) -> float:
        """Return the tokens that the marks permit at a time."""
        if self.confirmed is None:
            return float(0)
        limits = [
            mark.limit_after(now - mark.at.monotonic)
            for mark in (self.confirmed, self.sent)
            if mark is not None
        ]
        return min(limits) - self.total

    def may_reserve(self, tokens: int, now: float) -> bool:
        """Return whether a request of this size may start now."""
        return tokens <= self.free and tokens <= self.headroom(now)

    def room_in_s(self, tokens: int, now: float) -> float | None:
        """Return the seconds until the marks permit a request.

        ``None`` if they never will without more tokens.

        :param now: monotonic time of the host, in seconds
        """
        mark = self.confirmed
        if tokens > self.free or mark is None or mark.allowed_rate <= 0:
            return None
        deficit = tokens - self.headroom(now)
        return max(0, deficit / mark.allowed_rate)

    def note_need(self, tokens: int) -> None:
        """Record the largest request of the budget."""
        self.large_need = max(self.large_need, tokens)

    def confirm_mark(self, mark: UsageMark) -> None:
        """Store a mark that the store has confirmed."""
        self.confirmed = mark
        self.sent = None

    def reserve(self, tokens: int) -> None:
        """Reserve tokens."""
        self.reserved += tokens

    def settle(self, reserved: int, used: int) -> None:
        """End a reservation of which ``used`` tokens were used."""
        self.reserved -= reserved
        self.used += used

    def presume_used(self, ceiling: int) -> None:
        """Store a ceiling of which all counts as used."""
        self.limit.confirm(ceiling)
        self.unproven += max(0, ceiling - self.used)
        self.used = max(self.used, ceiling)
