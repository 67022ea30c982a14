"""The holdings of a router, by budget, and their upkeep."""

import asyncio

from dandelioncleat.app._budget_holdings import BudgetHoldings
from dandelioncleat.app._grant_requester import GrantRequester
from dandelioncleat.app._refill import Refiller
from dandelioncleat.app._shards import Shards
from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.grant_policy import (
    allows_transfers,
    should_renew,
    surplus_tokens,
)
from dandelioncleat.core.identity import BudgetId, Draw
from dandelioncleat.core.ledger_verdict import Billed, Denied, LedgerVerdict
from dandelioncleat.core.record import Bill, LedgerRecord, RequestGrant

RENEW_INTERVAL_S = 1.0
SHORTAGE_S = 3.0


class HoldingsByBudget:
    """Renews, returns and drops tokens of a router's holdings."""

    def __init__(
        self,
        *,
        shards: Shards,
        fleet: FleetKeeper,
        refiller: Refiller,
        grant_requester: GrantRequester,
        scope: TaskScope,
    ) -> None:
        """Take the ledger, the fleet and what requests and returns tokens."""
        self.by_budget: dict[BudgetId, BudgetHoldings] = {}
        self._shards = shards
        self._fleet = fleet
        self._refiller = refiller
        self._grant_requester = grant_requester
        self._scope = scope
        self._dropped_holders = 0
        self._returns: set[asyncio.Task[None]] = set()
        shards.on_record(self._note_record)
        shards.on_change(self._serve_waiters)
        fleet.on_change(self._drop_retired)

    def of(self, budget: BudgetId) -> BudgetHoldings:
        """Return the holdings of a budget; create them if there are none."""
        holdings = self.by_budget.get(budget)
        if holdings is None:
            holdings = BudgetHoldings(budget, asyncio.get_running_loop().time())
            self.by_budget[budget] = holdings
        return holdings

    def refill(self, holdings: BudgetHoldings) -> None:
        """Get tokens for the requests that wait."""
        if holdings.refill_task is None or holdings.refill_task.done():
            holdings.refill_task = self._scope.spawn(
                self._refiller.fill(holdings)
            )

    def renew(self, holdings: BudgetHoldings) -> None:
        """Request a grant before any request waits if few tokens are held."""
        now = asyncio.get_running_loop().time()
        if now < holdings.renew_after:
            return
        demand = self._refiller.demand(holdings)
        if demand.left > 0 and should_renew(self._refiller.policy, demand):
            holdings.renew_after = now + RENEW_INTERVAL_S
            self._refiller.start_grant_request(holdings)

    def return_during_shortage(self, holdings: BudgetHoldings) -> None:
        """Return spendable tokens shortly after a grant was denied.

        A router with waiting requests returns them, too: too few for its
        own requests, they may complete another router's grant.
        """
        if asyncio.get_running_loop().time() < holdings.shortage_until:
            self._return_spendable(holdings)

    def return_surplus(self) -> None:
        """Return tokens that the recent rate does not need."""
        for holdings in self.by_budget.values():
            demand = self._refiller.demand(holdings)
            tokens = surplus_tokens(self._refiller.policy, demand)
            if tokens > 0 and self._shards.of(holdings.budget).is_available:
                self._start_return(holdings, tokens)

    async def return_all(self) -> None:
        """Return all spendable tokens and wait for the ledger.

        A grant that is being requested is waited for and returned, too, and
        so is what is being returned already.
        """
        async with asyncio.TaskGroup() as group:
            for holdings in tuple(self.by_budget.values()):
                group.create_task(_return(holdings, self._grant_requester))
        if self._returns:
            await asyncio.wait(self._returns)

    def drop_fenced(
        self, holdings: BudgetHoldings, draws: tuple[Draw, ...]
    ) -> None:
        """Drop settled draws whose holder was retired meanwhile."""
        for draw in draws:
            if self._fleet.fold.is_retired(draw.grant.holder):
                holdings.wallet.drop_holder(draw.grant.holder)

    def _drop_retired(self) -> None:
        # Retirements are kept in log order, so the new ones are last.
        retired = self._fleet.fold.retired_by_holder
        for holder in tuple(retired)[self._dropped_holders :]:
            for holdings in self.by_budget.values():
                holdings.wallet.drop_holder(holder)
        self._dropped_holders = len(retired)

    def _serve_waiters(self) -> None:
        for holdings in self.by_budget.values():
            if holdings.has_waiters:
                holdings.serve()

    def _note_record(
        self,
        record: LedgerRecord,
        verdict: LedgerVerdict,
    ) -> None:
        match record, verdict:
            case Bill(budget=budget, tokens=tokens), Billed():
                _note_bill(self.by_budget.get(budget), tokens)
            case RequestGrant(budget=budget), Denied():
                self._note_shortage(budget)

    def _note_shortage(self, budget: BudgetId) -> None:
        holdings = self.by_budget.get(budget)
        if holdings is not None:
            now = asyncio.get_running_loop().time()
            holdings.shortage_until = now + SHORTAGE_S
            self._return_spendable(holdings)

    def _return_spendable(self, holdings: BudgetHoldings) -> None:
        spare = holdings.wallet.spendable
        if (
            spare
            and self._scope.is_open
            and allows_transfers(self._refiller.policy)
        ):
            self._start_return(holdings, spare)

    def _start_return(self, holdings: BudgetHoldings, tokens: int) -> None:
        returning = self._scope.spawn(
            self._grant_requester.return_tokens(holdings, tokens)
        )
        self._returns.add(returning)
        returning.add_done_callback(self._returns.discard)


def _note_bill(holdings: BudgetHoldings | None, tokens: int) -> None:
    if holdings is not None:
        now = asyncio.get_running_loop().time()
        holdings.total_rate.note(tokens, now)


async def _return(holdings: BudgetHoldings, requester: GrantRequester) -> None:
    if holdings.grant_request is not None:
        await asyncio.wait((holdings.grant_request,))
    await requester.return_tokens(holdings, holdings.wallet.spendable)
