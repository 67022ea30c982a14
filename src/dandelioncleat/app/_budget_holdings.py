"""One budget at one router: its wallet, its rate and those who wait."""

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
        """Start with no tokens at a time in seconds."""
        self.budget = budget
        self.wallet = new_granted_tokens()
        self.rate = SpendRate(now)
        self.total_rate = SpendRate(now)
        self.granted = 0
        self.asking: asyncio.Task[None] | None = None
        self.refilling: asyncio.Task[None] | None = None
        self.renew_after = now
        self.used_at = now
        self.shared_until = now
        self.changed = asyncio.Event()
        self._waiters: list[Waiter] = []

    @property
    def is_waited_for(self) -> bool:
        """Return whether a request waits."""
        return any(not waiter.draws.done() for waiter in self._waiters)

    @property
    def need(self) -> int:
        """Return the tokens that all waiting requests miss together."""
        wanted = sum(waiter.tokens for waiter in self._open_waiters())
        return max(0, wanted - self.wallet.spendable)

    @property
    def least(self) -> int:
        """Return the tokens that the smallest waiting request misses."""
        wanted = [waiter.tokens for waiter in self._open_waiters()]
        return max(0, min(wanted, default=0) - self.wallet.spendable)

    def reserve(self, tokens: int) -> tuple[Draw, ...] | None:
        """Reserve tokens if they are held."""
        match self.wallet.reserve(tokens):
            case Success(draws):
                return tuple(draws)
            case Failed():
                return None
        return None

    def new_waiter(self, tokens: int) -> Waiter:
        """Enter a request that waits for tokens."""
        waiter = Waiter(tokens, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        return waiter

    async def wait(self, waiter: Waiter, timeout_s: float) -> tuple[Draw, ...]:
        """Wait for tokens; raise ``TimeoutError`` or the refusal."""
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter.draws
        except BaseException:
            self._take_back(waiter)
            raise
        finally:
            self._waiters.remove(waiter)

    def add(self, *draws: Draw) -> None:
        """Make tokens spendable and serve those who wait."""
        self.wallet.add(*draws)
        self.serve()

    def serve(self) -> None:
        """Reserve tokens for each waiting request that they suffice for."""
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
        """End a reservation whose spending is unknown."""
        self.wallet.forfeit(draws)
        self.rate.note(total_tokens(draws), now)

    def _open_waiters(self) -> list[Waiter]:
        return [waiter for waiter in self._waiters if not waiter.draws.done()]

    def _take_back(self, waiter: Waiter) -> None:
        draws = waiter.draws
        if not draws.done() or draws.cancelled():
            return
        if draws.exception() is None:
            self.wallet.settle(draws.result(), 0)
            self.serve()
