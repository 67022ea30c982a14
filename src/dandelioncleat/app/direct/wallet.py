"""Reserves prepaid tokens for requests."""

import asyncio
from collections.abc import Mapping
from enum import StrEnum

from dandelioncleat.app.direct.holdings_sync import HoldingsSync
from dandelioncleat.app.signal import Signal
from dandelioncleat.app.stall_timeout import stall_timeout
from dandelioncleat.core.clock_check import ClockEvidence
from dandelioncleat.core.host_choice import HostChoice
from dandelioncleat.core.host_holdings import (
    HostHoldings,
    TokenNeed,
    budget_inputs,
    is_better_forwarded,
)
from dandelioncleat.ports.clock import Clock
from dandelioncleat.ports.store import KeyedStore

# Shortest wait for what a mark allows later.
GROWTH_STEP_S = 0.02


class ReservationOutcome(StrEnum):
    """Outcome of a reservation of tokens."""

    RESERVED = 'reserved'
    EXHAUSTED = 'exhausted'
    UNPROVEN = 'unproven'
    """The tokens may have been used by a process that died."""
    ELSEWHERE = 'elsewhere'
    """Other hosts hold the tokens, and they can't be moved here in time."""


class Wallet:
    """Manages the prepaid tokens that one host may use."""

    def __init__(
        self,
        store: KeyedStore,
        *,
        host: str,
        clock: Clock,
        copy_age_s: float,
        holders: HostChoice,
        clock_evidence: ClockEvidence | None = None,
    ) -> None:
        """Initialise; no earlier process of the host may still run.

        :param copy_age_s: maximum age of a copy from which the store may be
            restored, in seconds
        :param holders: which hosts should hold tokens
        :param clock_evidence: checks of the host's time of day
        """
        self._clock = clock
        self._changed = Signal()
        self._holdings = HostHoldings(host, holders, clock_evidence)
        self._sync = HoldingsSync(
            store,
            self._holdings,
            clock=clock,
            copy_age_s=copy_age_s,
            on_change=self._changed.notify,
        )

    @property
    def opened(self) -> asyncio.Event:
        """Return the event that is set once the accounts are open."""
        return self._sync.opened

    def set_paid(self, paid_by_budget: Mapping[str, int]) -> None:
        """Set the tokens that each budget has paid for."""
        self._holdings.paid_by_budget = paid_by_budget
        if self._sync.opened.is_set():
            self._sync.open_accounts()
        self._sync.note_change(is_urgent=True)

    def is_prepaid(self, budget: str) -> bool:
        """Return whether a budget is prepaid."""
        return budget in self._holdings.paid_by_budget

    async def reserve(
        self, need: TokenNeed, *, limit_s: float
    ) -> ReservationOutcome:
        """Reserve a request's tokens; wait for tokens if too few are here.

        One round trip to the store claims tokens that no host holds. To move
        tokens from another host takes several, so a large fleet forwards a
        request at once to a host that has enough.

        :param limit_s: maximum time to wait, in seconds
        """
        outcome = self._reserve_now(need)
        if outcome is not None:
            return outcome
        account = self._holdings.accounts_by_budget.get(need.budget)
        if account is None:
            return ReservationOutcome.ELSEWHERE
        room_s = self.room_in_s(need)
        is_soon = room_s is not None and room_s <= limit_s
        if self._sync.is_store_unreachable and not is_soon:
            return ReservationOutcome.ELSEWHERE
        if is_better_forwarded(self._holdings, need):
            return ReservationOutcome.ELSEWHERE
        account.waiting_by_request[need.request] = need.tokens
        try:
            async with stall_timeout(limit_s):
                return await self._wait_for_tokens(need)
        except TimeoutError:
            return ReservationOutcome.ELSEWHERE
        finally:
            account.waiting_by_request.pop(need.request, None)

    def settle(self, need: TokenNeed, used: int) -> None:
        """End a reservation and charge the tokens that were used."""
        account = self._holdings.accounts_by_budget[need.budget]
        account.settle(need.tokens, used)
        self._sync.note_change(is_urgent=False)
        self._changed.notify()

    def hosts_with_tokens(self, need: TokenNeed) -> tuple[str, ...]:
        """Return the other hosts with enough tokens, the richest first."""
        return self._holdings.others_with_free_tokens(need)

    def room_in_s(self, need: TokenNeed) -> float | None:
        """Return the seconds until a request fits; ``None`` if it may never."""
        account = self._holdings.accounts_by_budget.get(need.budget)
        if account is None:
            return None
        return account.room_in_s(need.tokens, self._clock.monotonic())

    def inputs_of(self, budget: str) -> dict[str, float]:
        """Return the inputs of decisions on a budget, for a log line."""
        now = self._clock.monotonic()
        return {
            **budget_inputs(self._holdings, budget, now),
            'store_silence_s': round(self._sync.silence_s, 2),
        }

    async def run(self) -> None:
        """Synchronise the holdings with the store until cancelled."""
        await self._sync.run()

    def prepare_close(self) -> None:
        """Stop reserving an outage allowance, as the process ends soon."""
        self._holdings.is_ending = True
        self._sync.note_change(is_urgent=True)

    async def close(self) -> None:
        """Return the unused tokens; wait until the store has confirmed it."""
        self._holdings.is_closing = True
        while not self._holdings.is_released:
            self._sync.note_change(is_urgent=True)
            await self._changed.wait()

    def _reserve_now(self, need: TokenNeed) -> ReservationOutcome | None:
        if self._holdings.try_reserve(need, self._clock.monotonic()):
            self._sync.note_change(is_urgent=False)
            return ReservationOutcome.RESERVED
        # While the store is unreachable, a top-up or an ended request elsewhere
        # may be unknown here.
        if self._sync.is_store_unreachable:
            return None
        balance = self._holdings.balance(need.budget)
        if balance.possible < need.tokens:
            return ReservationOutcome.EXHAUSTED
        if balance.certain < need.tokens:
            return ReservationOutcome.UNPROVEN
        return None

    async def _wait_for_tokens(self, need: TokenNeed) -> ReservationOutcome:
        while True:
            self._sync.note_change(is_urgent=True)
            # What the last mark allows may grow before anything changes.
            room_s = self.room_in_s(need)
            if room_s is not None:
                room_s = max(GROWTH_STEP_S, room_s)
            await self._changed.wait(room_s)
            outcome = self._reserve_now(need)
            if outcome is not None:
                return outcome
