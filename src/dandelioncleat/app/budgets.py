"""Reserves tokens before a run and settles them after it, at one router."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from dandelioncleat.app._budget_holdings import BudgetHoldings
from dandelioncleat.app._fallback_bills import FallbackBills
from dandelioncleat.app._grant_requester import GrantRequester
from dandelioncleat.app._holdings_by_budget import HoldingsByBudget
from dandelioncleat.app._initial_budgets import InitialBudgets
from dandelioncleat.app._refill import Refiller
from dandelioncleat.app._shards import Shards
from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app._ticker import Ticker
from dandelioncleat.app._transfer_requester import TransferRequester
from dandelioncleat.app._turns import Turns
from dandelioncleat.app._unsettled_reservations import (
    Reservation,
    UnsettledReservations,
)
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.account import Balance
from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.grant_policy import transferable_tokens
from dandelioncleat.core.identity import BudgetId, Draw, Incarnation, RunId
from dandelioncleat.core.message import AskPart, Part, Refusal
from dandelioncleat.core.record import Bill
from dandelioncleat.ports.log import Log
from dandelioncleat.ports.peer import Peers

TICK_S = 1.0
START_TICK_S = 0.05


class BudgetState(NamedTuple):
    """A budget in the ledger and what this router holds of it."""

    balance: Balance
    spendable: int
    reserved: int


class Budgets:
    """Holds grants of budgets and spends from them.

    ``ticker`` is triggered when the configuration changes.
    """

    def __init__(
        self,
        *,
        log: Log,
        incarnation: Incarnation,
        configuration: Callable[[], Configuration],
        fleet: FleetKeeper,
        peers: Peers,
    ) -> None:
        """Take the log, the router's name, its fleet view and its peers."""
        self._incarnation = incarnation
        self._fleet = fleet
        self._scope = TaskScope()
        self.ticker = Ticker()
        self.shards = Shards(
            log=log,
            producer=incarnation,
            configuration=configuration,
        )
        grant_requester = GrantRequester(
            incarnation=incarnation,
            shards=self.shards,
        )
        self._refiller = Refiller(
            configuration=configuration,
            shards=self.shards,
            fleet=fleet,
            grant_requester=grant_requester,
            transfer_requester=TransferRequester(
                incarnation=incarnation,
                fleet=fleet,
                peers=peers,
            ),
            scope=self._scope,
        )
        self._initial = InitialBudgets(
            configuration=configuration,
            shards=self.shards,
            turns=Turns(fleet.fold, incarnation),
            scope=self._scope,
        )
        self._holdings = HoldingsByBudget(
            shards=self.shards,
            fleet=fleet,
            refiller=self._refiller,
            grant_requester=grant_requester,
            scope=self._scope,
        )
        self._unsettled_reservations = UnsettledReservations(self.settle)
        self.shards.on_record(self._unsettled_reservations.note_record)
        self._fallback_bills = FallbackBills(
            log=log,
            incarnation=incarnation,
            configuration=configuration,
            shards=self.shards,
        )

    @property
    def caught_up(self) -> bool:
        """Return whether every ledger shard was read to its end once."""
        return self.shards.are_caught_up

    @property
    def is_fenced(self) -> bool:
        """Return whether this router's own grants are refused."""
        return self._fleet.fold.is_retired(self._incarnation)

    async def reserve(
        self,
        budget: BudgetId,
        tokens: int,
        *,
        timeout_s: float,
    ) -> tuple[Draw, ...]:
        """Reserve tokens for a run within ``timeout_s``.

        :raises FailureError: with code ``budget`` if too few tokens are
            left, with code ``log`` if the log does not answer, so that the
            balance is unknown
        """
        self._check_usable()
        holdings = self._holdings.of(budget)
        holdings.used_at = asyncio.get_running_loop().time()
        draws = holdings.reserve(tokens)
        if draws is None:
            draws = await self._wait_for_tokens(holdings, tokens, timeout_s)
        self._holdings.renew(holdings)
        return draws

    def settle(
        self,
        budget: BudgetId,
        draws: tuple[Draw, ...],
        tokens: int,
    ) -> None:
        """End a reservation of which ``tokens`` were spent."""
        now = asyncio.get_running_loop().time()
        holdings = self._holdings.of(budget)
        holdings.settle(draws, tokens, now)
        self._holdings.drop_fenced(holdings, draws)
        self._holdings.return_during_shortage(holdings)

    def forfeit(
        self,
        budget: BudgetId,
        draws: tuple[Draw, ...],
        *,
        run: RunId | None = None,
    ) -> None:
        """End a reservation whose consumption is unknown; keep it charged.

        :param run: the run whose bill settles the reservation once it is
            read
        """
        if run is None:
            now = asyncio.get_running_loop().time()
            self._holdings.of(budget).forfeit(draws, now)
        else:
            self._unsettled_reservations.keep(run, Reservation(budget, draws))

    async def bill(self, bill: Bill) -> None:
        """Queue a bill of a run that this router streamed.

        It is sent only if the executor's own bill does not appear in the
        ledger.
        """
        self._fallback_bills.schedule(bill)

    def transfer_spare(self, ask: AskPart) -> Part | Refusal:
        """Transfer spare tokens to another router and deduct them here."""
        holdings = self._holdings.of(ask.budget)
        demand = self._refiller.demand(holdings)
        spare = transferable_tokens(self._refiller.policy, demand, ask.tokens)
        is_trusted = not self._fleet.fold.is_retired(ask.holder)
        if spare > 0 and is_trusted and not self.is_fenced:
            return Part(ask.budget, holdings.wallet.take(spare))
        return Refusal(
            Code.BUDGET,
            'pass_part',
            self._incarnation,
            f'no tokens of {ask.budget} to spare',
        )

    async def return_all(self) -> None:
        """Send the queued bills and return all spendable tokens."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._fallback_bills.flush())
            group.create_task(self._holdings.return_all())

    def balances(self) -> dict[BudgetId, BudgetState]:
        """Return the state of every budget in the ledger, by budget."""
        return {
            budget: _state_of(
                self._holdings.by_budget.get(budget),
                account.balance,
            )
            for shard in self.shards.by_number.values()
            for budget, account in shard.fold.accounts.by_budget.items()
        }

    async def run(self) -> None:
        """Follow the ledger and keep the grants until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                self._scope.open(group)
                group.create_task(self._fallback_bills.sender.run())
                await self._tick_forever(group)
        finally:
            self._scope.close()

    async def _tick_forever(self, group: asyncio.TaskGroup) -> None:
        while True:
            self.shards.start(group)
            self._fallback_bills.send_due()
            if not self.is_fenced:
                self._initial.add_missing()
                self._holdings.return_surplus()
            pause_s = TICK_S if self.caught_up else START_TICK_S
            await self.ticker.wait(pause_s)

    async def _wait_for_tokens(
        self,
        holdings: BudgetHoldings,
        tokens: int,
        timeout_s: float,
    ) -> tuple[Draw, ...]:
        waiter = holdings.new_waiter(tokens)
        self._holdings.refill(holdings)
        try:
            return await holdings.wait(waiter, timeout_s)
        except TimeoutError as error:
            raise failure_error(
                Code.LOG,
                step='reserve',
                peer='ledger',
                text=f'no grant of {holdings.budget} in {timeout_s} s',
            ) from error

    def _check_usable(self) -> None:
        if self.is_fenced:
            raise failure_error(
                Code.FENCED,
                step='reserve',
                peer=self._incarnation,
                text='the grants of this process are retired',
            )
        if not self._scope.is_open:
            raise failure_error(
                Code.NOT_READY,
                step='reserve',
                peer=self._incarnation,
                text='the ledger is not being followed yet',
            )


def _state_of(holdings: BudgetHoldings | None, balance: Balance) -> BudgetState:
    if holdings is None:
        return BudgetState(balance, 0, 0)
    return BudgetState(
        balance, holdings.wallet.spendable, holdings.wallet.reserved
    )
