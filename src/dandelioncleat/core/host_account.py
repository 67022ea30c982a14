"""What one host may use of a budget right now."""

from dandelioncleat.core.holding import UsageMark

RATE_WINDOW_S = 5.0


class UsageMeter:
    """Tells how fast tokens were used lately."""

    def __init__(self, used: int) -> None:
        """Start with what was used before."""
        self.rate = float(0)
        self._at: float | None = None
        self._used = used

    def update(self, used: int, now: float) -> None:
        """Let the use since the last call count towards the rate.

        :param used: all tokens used so far
        :param now: monotonic time in seconds
        """
        if self._at is not None and now > self._at:
            passed = now - self._at
            allowed_rate = max(0, used - self._used) / passed
            self.rate += (allowed_rate - self.rate) * min(
                1, passed / RATE_WINDOW_S
            )
        self._at = now
        self._used = used


class HostAccount:
    """Keeps a host's use of one budget below its ceiling and its marks.

    A mark that was sent and not answered binds like the newest confirmed
    one, as a successor may read either.
    """

    def __init__(self, *, ceiling: int, used: int) -> None:
        """Start with what the host may use and has used."""
        self.used = used
        self.reserved = 0
        self.meter = UsageMeter(used)
        self.large_need = 0
        self.waiting_by_request: dict[str, int] = {}
        self.confirmed: UsageMark | None = None
        self.sent: UsageMark | None = None
        self._ceiling = ceiling
        self._pending_ceiling: int | None = None

    @property
    def ceiling(self) -> int:
        """Return the ceiling that is certain."""
        if self._pending_ceiling is None:
            return self._ceiling
        return min(self._ceiling, self._pending_ceiling)

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
        """Return the tokens that waiting requests miss."""
        return max(0, self.waiting - self.free)

    @property
    def waiting(self) -> int:
        """Return the tokens that requests wait for."""
        return sum(self.waiting_by_request.values())

    def headroom(self, now: float) -> float:
        """Return the tokens that the marks let be used at this moment."""
        limits = [
            mark.limit_after(now - mark.at.monotonic)
            for mark in (self.confirmed, self.sent)
            if mark is not None
        ]
        return min(limits) - self.total if limits else float(0)

    def may_reserve(self, tokens: int, now: float) -> bool:
        """Return whether a request of this size may begin now."""
        return tokens <= self.free and tokens <= self.headroom(now)

    def note_need(self, tokens: int) -> None:
        """Remember how large the budget's requests are."""
        self.large_need = max(self.large_need, tokens)

    def confirm_mark(self, mark: UsageMark) -> None:
        """Take a mark that stands in the store."""
        self.confirmed = mark
        self.sent = None

    def reserve(self, tokens: int) -> None:
        """Set tokens aside."""
        self.reserved += tokens

    def settle(self, reserved: int, used: int) -> None:
        """End a reservation with what was used of it."""
        self.reserved -= reserved
        self.used += used

    def propose_ceiling(self, tokens: int) -> None:
        """Note a ceiling whose record is on its way."""
        self._pending_ceiling = tokens

    def confirm_ceiling(self, tokens: int) -> None:
        """Take the ceiling that stands in the store."""
        self._ceiling = tokens
        self._pending_ceiling = None
