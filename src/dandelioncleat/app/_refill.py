"""Fills a router's purses: from the ledger, from returns and from peers."""

import asyncio
from collections.abc import Callable

from dandelioncleat.app._grant_requester import GrantRequester
from dandelioncleat.app._initial_budgets import INITIAL_REFERENCE
from dandelioncleat.app._part_seeker import PartSeeker
from dandelioncleat.app._purse import Purse
from dandelioncleat.app._shards import Shard, Shards
from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.fleet import ROUTER
from dandelioncleat.core.grant import total_of
from dandelioncleat.core.grant_policy import (
    Demand,
    GrantPolicy,
    grant_size,
    new_grant_policy,
    transfers,
)
from dandelioncleat.core.identity import BudgetId, Draw


class Refiller:
    """Gets tokens for the requests that wait at a purse."""

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

    def demand(self, purse: Purse) -> Demand:
        """Return what is known of a purse's budget."""
        balance = self._shards.of(purse.budget).fold.balance(purse.budget)
        now = asyncio.get_running_loop().time()
        return Demand(
            need=purse.need,
            spendable=purse.wallet.spendable,
            granted=purse.granted,
            rate=purse.rate.tokens_per_s(now),
            total_rate=purse.total_rate.tokens_per_s(now),
            idle_s=now - purse.used_at,
            left=balance.left,
            topped_up=balance.topped_up,
            routers=self._routers,
        )

    def _count_routers(self) -> None:
        self._routers = len(self._fleet.fold.live(ROUTER))

    async def fill(self, purse: Purse) -> None:
        """Get tokens until no request waits, or refuse those that wait."""
        if self._shards.of(purse.budget).is_slow:
            await self._seek(purse)
        while purse.is_waited_for and not self._is_spent(purse):
            asking = self.start_asking(purse)
            await asyncio.wait(
                (asking,), timeout=self._shards.of(purse.budget).wait_s
            )
            await self._wait_for_return(purse)
            if purse.is_waited_for and not self._can_grant(purse):
                await self._seek(purse)
                break
        purse.refuse(self._refusal(purse))

    def start_asking(self, purse: Purse) -> 'asyncio.Task[None]':
        """Ask the ledger unless an answer is awaited already."""
        if purse.asking is None or purse.asking.done():
            purse.asking = self._scope.spawn(self._ask(purse))
        return purse.asking

    async def _ask(self, purse: Purse) -> None:
        # A router that is short puts what it holds back into the same entry,
        # so that the ledger weighs whole requests in log order and no two
        # routers keep parts of the last tokens from each other.
        demand = self.demand(purse)
        size = grant_size(self.policy, demand)
        least = max(purse.least, 1)
        if size < least:
            return
        returned: tuple[Draw, ...] = ()
        if least > demand.left and transfers(self.policy):
            returned = purse.wallet.take(demand.spendable)
            least += total_of(returned)
        await self._requester.request(
            purse,
            returned=returned,
            size=max(size, least),
            least=least,
        )

    async def _wait_for_return(self, purse: Purse) -> None:
        try:
            async with asyncio.timeout(self._shards.of(purse.budget).wait_s):
                while self._hopes_for_return(purse):
                    await purse.changed.wait()
        except TimeoutError:
            return

    async def _seek(self, purse: Purse) -> None:
        if transfers(self.policy):
            await self._seeker.seek(purse)

    def _hopes_for_return(self, purse: Purse) -> bool:
        if not (purse.is_waited_for and self._log_answers(purse)):
            return False
        if not transfers(self.policy):
            return False
        return not (self._can_grant(purse) or self._is_spent(purse))

    def _log_answers(self, purse: Purse) -> bool:
        is_answered = purse.asking is None or purse.asking.done()
        return is_answered and self._shards.of(purse.budget).is_available

    def _can_grant(self, purse: Purse) -> bool:
        demand = self.demand(purse)
        most = min(demand.left, grant_size(self.policy, demand))
        return self._log_answers(purse) and 0 < purse.least <= most

    def _is_spent(self, purse: Purse) -> bool:
        shard = self._shards.of(purse.budget)
        balance = shard.fold.balance(purse.budget)
        unspent = balance.left + balance.outstanding
        wanted = purse.least + purse.wallet.spendable
        configuration = self._configuration()
        if _awaits_opening(purse.budget, configuration, shard):
            return False
        return shard.is_available and unspent < wanted

    def _refusal(self, purse: Purse) -> FailureError:
        if self._log_answers(purse):
            left = self.demand(purse).left
            return _refused_by_ledger(purse, left)
        return _refused_without_log(purse)


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


def _refused_by_ledger(purse: Purse, left: int) -> FailureError:
    return failure_error(
        Code.BUDGET,
        step='reserve',
        peer='ledger',
        text=f'{purse.budget} has {left} tokens left to grant',
    )


def _refused_without_log(purse: Purse) -> FailureError:
    return failure_error(
        Code.LOG,
        step='reserve',
        peer='log',
        text=f'too few tokens of {purse.budget} held and no log answers',
    )
