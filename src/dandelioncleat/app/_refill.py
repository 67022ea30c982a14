"""Refills a router's holdings with grants and with tokens of its peers."""

import asyncio
from collections.abc import Callable

from dandelioncleat.app._budget_holdings import BudgetHoldings
from dandelioncleat.app._grant_requester import GrantRequester
from dandelioncleat.app._initial_budgets import INITIAL_REFERENCE
from dandelioncleat.app._shards import Shard, Shards
from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app._transfer_requester import TransferRequester
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
    """Gets tokens for the requests that wait for a budget."""

    def __init__(
        self,
        *,
        configuration: Callable[[], Configuration],
        shards: Shards,
        fleet: FleetKeeper,
        grant_requester: GrantRequester,
        transfer_requester: TransferRequester,
        scope: TaskScope,
    ) -> None:
        """Take the sources of tokens and the policy that sizes grants."""
        self._configuration = configuration
        self._shards = shards
        self._fleet = fleet
        self._routers = 0
        fleet.on_change(self._count_routers)
        self._grant_requester = grant_requester
        self._transfer_requester = transfer_requester
        self._scope = scope

    @property
    def policy(self) -> GrantPolicy:
        """Return the configured grant policy."""
        return new_grant_policy(self._configuration().policy)

    def demand(self, holdings: BudgetHoldings) -> GrantInputs:
        """Return the inputs of the grant policy for a budget."""
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
        """Get tokens until no request waits; refuse those still waiting."""
        if self._shards.of(holdings.budget).is_slow:
            await self._request_transfers(holdings)
        while holdings.has_waiters and not self._is_spent(holdings):
            grant_request = self.start_grant_request(holdings)
            await asyncio.wait(
                (grant_request,),
                timeout=self._shards.of(holdings.budget).wait_s,
            )
            await self._wait_for_return(holdings)
            if holdings.has_waiters and not self._can_grant(holdings):
                await self._request_transfers(holdings)
                break
        holdings.refuse(self._refusal(holdings))

    def start_grant_request(
        self, holdings: BudgetHoldings
    ) -> 'asyncio.Task[None]':
        """Request a grant unless a grant request is already in flight."""
        if holdings.grant_request is None or holdings.grant_request.done():
            holdings.grant_request = self._scope.spawn(
                self._request_grant(holdings)
            )
        return holdings.grant_request

    async def _request_grant(self, holdings: BudgetHoldings) -> None:
        # A router that is short of tokens returns its spendable ones in the
        # same entry. The ledger then decides on whole requests in log order,
        # and two routers cannot each hold a part of the last tokens that is
        # too small for either's request.
        demand = self.demand(holdings)
        size = grant_size(self.policy, demand)
        least = max(holdings.smallest_need, 1)
        if size < least:
            return
        returned: tuple[Draw, ...] = ()
        if least > demand.left and allows_transfers(self.policy):
            returned = holdings.wallet.take(demand.spendable)
            least += total_tokens(returned)
        await self._grant_requester.request(
            holdings,
            returned=returned,
            size=max(size, least),
            least=least,
        )

    async def _wait_for_return(self, holdings: BudgetHoldings) -> None:
        try:
            async with asyncio.timeout(self._shards.of(holdings.budget).wait_s):
                while self._expects_return(holdings):
                    await holdings.changed.wait()
        except TimeoutError:
            return

    async def _request_transfers(self, holdings: BudgetHoldings) -> None:
        if allows_transfers(self.policy):
            await self._transfer_requester.request(holdings)

    def _expects_return(self, holdings: BudgetHoldings) -> bool:
        if not (holdings.has_waiters and self._is_log_answering(holdings)):
            return False
        if not allows_transfers(self.policy):
            return False
        return not (self._can_grant(holdings) or self._is_spent(holdings))

    def _is_log_answering(self, holdings: BudgetHoldings) -> bool:
        is_answered = (
            holdings.grant_request is None or holdings.grant_request.done()
        )
        return is_answered and self._shards.of(holdings.budget).is_available

    def _can_grant(self, holdings: BudgetHoldings) -> bool:
        demand = self.demand(holdings)
        most = min(demand.left, grant_size(self.policy, demand))
        return (
            self._is_log_answering(holdings)
            and 0 < holdings.smallest_need <= most
        )

    def _is_spent(self, holdings: BudgetHoldings) -> bool:
        shard = self._shards.of(holdings.budget)
        balance = shard.fold.balance(holdings.budget)
        unspent = balance.left + balance.outstanding
        wanted = holdings.smallest_need + holdings.wallet.spendable
        configuration = self._configuration()
        if _awaits_initial_top_up(holdings.budget, configuration, shard):
            return False
        return shard.is_available and unspent < wanted

    def _refusal(self, holdings: BudgetHoldings) -> FailureError:
        if self._is_log_answering(holdings):
            left = self.demand(holdings).left
            return _refused_by_ledger(holdings, left)
        return _refused_without_log(holdings)


def _awaits_initial_top_up(
    budget: BudgetId,
    configuration: Configuration,
    shard: Shard,
) -> bool:
    # A new organisation's initial top-up reaches the ledger shortly after
    # the configuration that states it.
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
        text=f'too few tokens of {holdings.budget} held, log does not answer',
    )
