"""Fills a router's holdings: from the ledger, from returns and from peers."""

import asyncio
from collections.abc import Callable

from dandelioncleat.app._budget_holdings import BudgetHoldings
from dandelioncleat.app._grant_requester import GrantRequester
from dandelioncleat.app._initial_budgets import INITIAL_REFERENCE
from dandelioncleat.app._part_seeker import PartSeeker
from dandelioncleat.app._shards import Shard, Shards
from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.draws import total_tokens
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.fleet import ROUTER
from dandelioncleat.core.grant_policy import (
    GrantInputs,
    GrantPolicy,
    allows_transfers,
    grant_size,
    new_grant_policy,
)
from dandelioncleat.core.identity import BudgetId, Draw


class Refiller:
    """Gets tokens for the requests that wait for tokens of a budget."""

    def __init__(
        self,
        *,
        configuration: Callable[[], Configuration],
        shards: Shards,
        fleet: FleetKeeper,
        requester: GrantRequester,
        seeker: PartSeeker,
        scope: TaskScope,
    ) -> None:
        """Take where tokens come from."""
        self._configuration = configuration
        self._shards = shards
        self._fleet = fleet
        self._routers = 0
        fleet.on_change(self._count_routers)
        self._requester = requester
        self._seeker = seeker
        self._scope = scope

    @property
    def policy(self) -> GrantPolicy:
        """Return the policy in force."""
        return new_grant_policy(self._configuration().policy)

    def demand(self, holdings: BudgetHoldings) -> GrantInputs:
        """Return what is known of a budget."""
        balance = self._shards.of(holdings.budget).fold.balance(holdings.budget)
        now = asyncio.get_running_loop().time()
        return GrantInputs(
            need=holdings.need,
            spendable=holdings.wallet.spendable,
            granted=holdings.granted,
            rate=holdings.rate.tokens_per_s(now),
            total_rate=holdings.total_rate.tokens_per_s(now),
            idle_s=now - holdings.used_at,
            left=balance.left,
            topped_up=balance.topped_up,
            routers=self._routers,
        )

    def _count_routers(self) -> None:
        self._routers = len(self._fleet.fold.live(ROUTER))

    async def fill(self, holdings: BudgetHoldings) -> None:
        """Get tokens until no request waits, or refuse those that wait."""
        if self._shards.of(holdings.budget).is_slow:
            await self._seek(holdings)
        while holdings.is_waited_for and not self._is_spent(holdings):
            asking = self.start_asking(holdings)
            await asyncio.wait(
                (asking,), timeout=self._shards.of(holdings.budget).wait_s
            )
            await self._wait_for_return(holdings)
            if holdings.is_waited_for and not self._can_grant(holdings):
                await self._seek(holdings)
                break
        holdings.refuse(self._refusal(holdings))

    def start_asking(self, holdings: BudgetHoldings) -> 'asyncio.Task[None]':
        """Ask the ledger unless an answer is awaited already."""
        if holdings.asking is None or holdings.asking.done():
            holdings.asking = self._scope.spawn(self._ask(holdings))
        return holdings.asking

    async def _ask(self, holdings: BudgetHoldings) -> None:
        # A router that is short puts what it holds back into the same entry,
        # so that the ledger weighs whole requests in log order and no two
        # routers keep parts of the last tokens from each other.
        demand = self.demand(holdings)
        size = grant_size(self.policy, demand)
        least = max(holdings.least, 1)
        if size < least:
            return
        returned: tuple[Draw, ...] = ()
        if least > demand.left and allows_transfers(self.policy):
            returned = holdings.wallet.take(demand.spendable)
            least += total_tokens(returned)
        await self._requester.request(
            holdings,
            returned=returned,
            size=max(size, least),
            least=least,
        )

    async def _wait_for_return(self, holdings: BudgetHoldings) -> None:
        try:
            async with asyncio.timeout(self._shards.of(holdings.budget).wait_s):
                while self._hopes_for_return(holdings):
                    await holdings.changed.wait()
        except TimeoutError:
            return

    async def _seek(self, holdings: BudgetHoldings) -> None:
        if allows_transfers(self.policy):
            await self._seeker.seek(holdings)

    def _hopes_for_return(self, holdings: BudgetHoldings) -> bool:
        if not (holdings.is_waited_for and self._log_answers(holdings)):
            return False
        if not allows_transfers(self.policy):
            return False
        return not (self._can_grant(holdings) or self._is_spent(holdings))

    def _log_answers(self, holdings: BudgetHoldings) -> bool:
        is_answered = holdings.asking is None or holdings.asking.done()
        return is_answered and self._shards.of(holdings.budget).is_available

    def _can_grant(self, holdings: BudgetHoldings) -> bool:
        demand = self.demand(holdings)
        most = min(demand.left, grant_size(self.policy, demand))
        return self._log_answers(holdings) and 0 < holdings.least <= most

    def _is_spent(self, holdings: BudgetHoldings) -> bool:
        shard = self._shards.of(holdings.budget)
        balance = shard.fold.balance(holdings.budget)
        unspent = balance.left + balance.outstanding
        wanted = holdings.least + holdings.wallet.spendable
        configuration = self._configuration()
        if _awaits_opening(holdings.budget, configuration, shard):
            return False
        return shard.is_available and unspent < wanted

    def _refusal(self, holdings: BudgetHoldings) -> FailureError:
        if self._log_answers(holdings):
            left = self.demand(holdings).left
            return _refused_by_ledger(holdings, left)
        return _refused_without_log(holdings)


def _awaits_opening(
    budget: BudgetId,
    configuration: Configuration,
    shard: Shard,
) -> bool:
    # A new organisation's prepaid tokens reach the ledger a moment after
    # the configuration that names them.
    organisation = configuration.organisations_by_name.get(budget)
    if organisation is None or not organisation.budget:
        return False
    return not shard.fold.has_reference(budget, INITIAL_REFERENCE)


def _refused_by_ledger(holdings: BudgetHoldings, left: int) -> FailureError:
    return failure_error(
        Code.BUDGET,
        step='reserve',
        peer='ledger',
        text=f'{holdings.budget} has {left} tokens left to grant',
    )


def _refused_without_log(holdings: BudgetHoldings) -> FailureError:
    return failure_error(
        Code.LOG,
        step='reserve',
        peer='log',
        text=f'too few tokens of {holdings.budget} held and no log answers',
    )
