"""Reserves prepaid tokens for requests."""

import asyncio
from collections.abc import Mapping
from enum import StrEnum

from dandelioncleat.app.direct.holdings_sync import HoldingsSync
from dandelioncleat.app.signal import Signal
from dandelioncleat.core.host_holdings import HostHoldings, TokenNeed
from dandelioncleat.ports.clock import Clock
from dandelioncleat.ports.store import KeyedStore


class Verdict(StrEnum):
    """What came of an attempt to reserve tokens."""

    RESERVED = 'reserved'
    EXHAUSTED = 'exhausted'
    ELSEWHERE = 'elsewhere'
    """Other hosts hold the tokens, and this one can't get them in time."""


class Wallet:
    """Owns the prepaid tokens that one host may use."""

    def __init__(self, store: KeyedStore, *, host: str, clock: Clock) -> None:
        """Take the store and the host, whose earlier processes are dead."""
        self._clock = clock
        self._news = Signal()
        self._holdings = HostHoldings(host)
        self._sync = HoldingsSync(
            store, self._holdings, clock=clock, on_news=self._news.notify
        )

    @property
    def opened(self) -> asyncio.Event:
        """Return the event that the accounts are open."""
        return self._sync.opened

    def set_paid(self, paid_by_budget: Mapping[str, int]) -> None:
        """Take what the organisations have paid for, in tokens."""
        self._holdings.paid_by_budget = paid_by_budget
        if self._sync.opened.is_set():
            self._sync.open_accounts()
        self._sync.note_change(is_urgent=True)

    def is_prepaid(self, budget: str) -> bool:
        """Return whether a budget is bounded."""
        return budget in self._holdings.paid_by_budget

    async def reserve(self, need: TokenNeed, *, limit_s: float) -> Verdict:
        """Set a request's tokens aside, waiting for some if need be.

        :param limit_s: most time to wait, in seconds
        """
        verdict = self._reserve_now(need)
        if verdict is not None:
            return verdict
        account = self._holdings.accounts_by_budget.get(need.budget)
        if account is None or self._sync.is_cut_off:
            return Verdict.ELSEWHERE
        account.waiting_by_request[need.request] = need.tokens
        try:
            async with asyncio.timeout(limit_s):
                return await self._wait_for_tokens(need)
        except TimeoutError:
            return Verdict.ELSEWHERE
        finally:
            account.waiting_by_request.pop(need.request, None)

    def settle(self, need: TokenNeed, used: int) -> None:
        """End a reservation with the tokens that were used of it."""
        account = self._holdings.accounts_by_budget[need.budget]
        account.settle(need.tokens, used)
        self._sync.note_change(is_urgent=False)
        self._news.notify()

    def others_with(self, need: TokenNeed) -> tuple[str, ...]:
        """Return the other hosts that could cover a request, best first."""
        return self._holdings.others_with_free_tokens(need)

    def room_in_s(self, need: TokenNeed) -> float | None:
        """Return when a request may begin here, if time alone brings that."""
        return self._holdings.room_in_s(need, self._clock.monotonic())

    def inputs_of(self, budget: str) -> dict[str, float]:
        """Return the inputs of decisions on a budget and their age."""
        now = self._clock.monotonic()
        return {
            **self._holdings.inputs_of(budget, now),
            'store_silence_s': round(self._sync.silence_s, 2),
        }

    async def run(self) -> None:
        """Keep the holdings and the store in step until cancelled."""
        await self._sync.run()

    def prepare_close(self) -> None:
        """Allow nothing for an outage from now on, as the process ends."""
        self._holdings.is_ending = True
        self._sync.note_change(is_urgent=True)

    async def close(self) -> None:
        """Give back what is left; returns once the store has confirmed it."""
        self._holdings.is_closing = True
        while not self._holdings.is_released:
            self._sync.note_change(is_urgent=True)
            await self._news.wait()

    def _reserve_now(self, need: TokenNeed) -> Verdict | None:
        if self._holdings.try_reserve(need, self._clock.monotonic()):
            self._sync.note_change(is_urgent=False)
            return Verdict.RESERVED
        # Behind a cut, a top-up or an ended request may be unknown here.
        if self._holdings.is_exhausted(need) and not self._sync.is_cut_off:
            return Verdict.EXHAUSTED
        return None

    async def _wait_for_tokens(self, need: TokenNeed) -> Verdict:
        while True:
            self._sync.note_change(is_urgent=True)
            await self._news.wait()
            verdict = self._reserve_now(need)
            if verdict is not None:
                return verdict
