"""One budget at one router: its wallet, spend rates and waiting requests."""

import asyncio
from typing import NamedTuple

from returns.result import Failure as Failed
from returns.result import Success

from dandelioncleat.core.draws import total_tokens
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.granted_tokens import new_granted_tokens
from dandelioncleat.core.identity import BudgetId, Draw
from dandelioncleat.core.spend_rate import SpendRate


class Waiter(NamedTuple):
    """A request that waits for tokens."""

    tokens: int
    draws: 'asyncio.Future[tuple[Draw, ...]]'


class BudgetHoldings:
    """Reserves tokens of one budget and serves waiting requests in order."""

    def __init__(self, budget: BudgetId, now: float) -> None:
        """Start without tokens.

        :param now: time of the event loop, in seconds
        """
        self.budget = budget
        self.wallet = new_granted_tokens()
        self.rate = SpendRate(now)
        self.total_rate = SpendRate(now)
        self.granted = 0
        self.grant_request: asyncio.Task[None] | None = None
        self.refill_task: asyncio.Task[None] | None = None
        self.renew_after = now
        self.used_at = now
        self.shortage_until = now
        self.changed = asyncio.Event()
        self._waiters: list[Waiter] = []

    @property
    def has_waiters(self) -> bool:
        """Return whether a request waits for tokens."""
        return any(not waiter.draws.done() for waiter in self._waiters)

    @property
    def need(self) -> int:
        """Return the tokens that all waiting requests lack together."""
        wanted = sum(waiter.tokens for waiter in self._open_waiters())
        return max(0, wanted - self.wallet.spendable)

    @property
    def smallest_need(self) -> int:
        """Return the tokens that the smallest waiting request lacks."""
        wanted = [waiter.tokens for waiter in self._open_waiters()]
        return max(0, min(wanted, default=0) - self.wallet.spendable)

    def reserve(self, tokens: int) -> tuple[Draw, ...] | None:
        """Reserve tokens, or return ``None`` if too few are spendable."""
        match self.wallet.reserve(tokens):
            case Success(draws):
                return tuple(draws)
            case Failed():
                return None
        return None

    def new_waiter(self, tokens: int) -> Waiter:
        """Add a request that waits for tokens."""
        waiter = Waiter(tokens, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        return waiter

    async def wait(self, waiter: Waiter, timeout_s: float) -> tuple[Draw, ...]:
        """Wait for the reservation.

        :raises TimeoutError: after ``timeout_s``
        :raises FailureError: if the request is refused
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter.draws
        except BaseException:
            self._undo_reservation(waiter)
            raise
        finally:
            self._waiters.remove(waiter)

    def add(self, *draws: Draw) -> None:
        """Make tokens spendable and serve waiting requests."""
        self.wallet.add(*draws)
        self.serve()

    def serve(self) -> None:
        """Reserve tokens for waiting requests, as far as they suffice."""
        for waiter in self._open_waiters():
            draws = self.reserve(waiter.tokens)
            if draws is not None:
                waiter.draws.set_result(draws)
        self.changed.set()
        self.changed = asyncio.Event()

    def refuse(self, error: FailureError) -> None:
        """Refuse the waiting requests."""
        for waiter in self._open_waiters():
            waiter.draws.set_exception(error)

    def settle(self, draws: tuple[Draw, ...], tokens: int, now: float) -> None:
        """End a reservation of which ``tokens`` were spent."""
        self.wallet.settle(draws, tokens)
        self.rate.note(tokens, now)
        self.serve()

    def forfeit(self, draws: tuple[Draw, ...], now: float) -> None:
        """End a reservation whose consumption is unknown; keep it charged."""
        self.wallet.forfeit(draws)
        self.rate.note(total_tokens(draws), now)

    def _open_waiters(self) -> list[Waiter]:
        return [waiter for waiter in self._waiters if not waiter.draws.done()]

    def _undo_reservation(self, waiter: Waiter) -> None:
        draws = waiter.draws
        if not draws.done() or draws.cancelled():
            return
        if draws.exception() is None:
            self.wallet.settle(draws.result(), 0)
            self.serve()
