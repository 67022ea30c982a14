"""All purses of a router, and what is done to them as time passes."""

import asyncio

from dandelioncleat.app._grant_requester import GrantRequester
from dandelioncleat.app._purse import Purse
from dandelioncleat.app._refill import Refiller
from dandelioncleat.app._shards import Shards
from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.grant_policy import renews, surplus, transfers
from dandelioncleat.core.identity import BudgetId, Draw
from dandelioncleat.core.ledger_verdict import Billed, Denied, LedgerVerdict
from dandelioncleat.core.record import Bill, LedgerRecord, RequestGrant

RENEW_INTERVAL_S = 1.0
SHARE_S = 3.0


class Purses:
    """Renews, returns and drops tokens of the purses that it keeps."""

    def __init__(
        self,
        *,
        shards: Shards,
        fleet: FleetKeeper,
        refiller: Refiller,
        requester: GrantRequester,
        scope: TaskScope,
    ) -> None:
        """Take where tokens come from."""
        self.by_budget: dict[BudgetId, Purse] = {}
        self._shards = shards
        self._fleet = fleet
        self._refiller = refiller
        self._requester = requester
        self._scope = scope
        self._dropped = 0
        shards.on_record(self._note_record)
        shards.on_change(self._wake)
        fleet.on_change(self._drop_retired)

    def of(self, budget: BudgetId) -> Purse:
        """Return the purse of a budget; make it if there is none."""
        purse = self.by_budget.get(budget)
        if purse is None:
            purse = Purse(budget, asyncio.get_running_loop().time())
            self.by_budget[budget] = purse
        return purse

    def refill(self, purse: Purse) -> None:
        """Get tokens for the requests that wait."""
        if purse.refilling is None or purse.refilling.done():
            purse.refilling = self._scope.spawn(self._refiller.fill(purse))

    def renew(self, purse: Purse) -> None:
        """Ask for more tokens early if few are held."""
        now = asyncio.get_running_loop().time()
        if now < purse.renew_after:
            return
        demand = self._refiller.demand(purse)
        if demand.left > 0 and renews(self._refiller.policy, demand):
            purse.renew_after = now + RENEW_INTERVAL_S
            self._refiller.start_asking(purse)

    def share(self, purse: Purse) -> None:
        """Return spare tokens while a router is short of them.

        A router that waits returns them too: what is too little for its own
        requests may, with the rest of others, suffice for one.
        """
        if asyncio.get_running_loop().time() < purse.shared_until:
            self._help(purse)

    def return_surplus(self) -> None:
        """Return tokens that the recent rate does not need."""
        for purse in self.by_budget.values():
            demand = self._refiller.demand(purse)
            tokens = surplus(self._refiller.policy, demand)
            if tokens > 0 and self._shards.of(purse.budget).is_available:
                self._scope.spawn(self._requester.give_back(purse, tokens))

    async def return_all(self) -> None:
        """Return all spendable tokens and wait for the ledger."""
        async with asyncio.TaskGroup() as group:
            for purse in tuple(self.by_budget.values()):
                group.create_task(
                    self._requester.give_back(purse, purse.wallet.spendable),
                )

    def drop_fenced(self, purse: Purse, draws: tuple[Draw, ...]) -> None:
        """Drop draws that came back after their holder was retired."""
        for draw in draws:
            if self._fleet.fold.is_retired(draw.grant.holder):
                purse.wallet.drop_holder(draw.grant.holder)

    def _drop_retired(self) -> None:
        # Retirements are kept in log order, so that the new ones are last.
        retired = self._fleet.fold.retired_by_holder
        for holder in tuple(retired)[self._dropped :]:
            for purse in self.by_budget.values():
                purse.wallet.drop_holder(holder)
        self._dropped = len(retired)

    def _wake(self) -> None:
        for purse in self.by_budget.values():
            if purse.is_waited_for:
                purse.serve()

    def _note_record(
        self,
        record: LedgerRecord,
        verdict: LedgerVerdict,
    ) -> None:
        match record, verdict:
            case Bill(budget=budget, tokens=tokens), Billed():
                self._note_bill(budget, tokens)
            case RequestGrant(budget=budget), Denied():
                self._note_shortage(budget)

    def _note_bill(self, budget: BudgetId, tokens: int) -> None:
        purse = self.by_budget.get(budget)
        if purse is not None:
            now = asyncio.get_running_loop().time()
            purse.total_rate.note(tokens, now)

    def _note_shortage(self, budget: BudgetId) -> None:
        purse = self.by_budget.get(budget)
        if purse is not None:
            now = asyncio.get_running_loop().time()
            purse.shared_until = now + SHARE_S
            self._help(purse)

    def _help(self, purse: Purse) -> None:
        spare = purse.wallet.spendable
        if spare and self._scope.is_open and transfers(self._refiller.policy):
            self._scope.spawn(self._requester.give_back(purse, spare))
