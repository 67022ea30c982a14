"""The operators' view of the ledger, over the shards a router follows."""

import asyncio

from dandelioncleat.app._shards import Shards
from dandelioncleat.core.account import Balance
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.identity import BudgetId, Incarnation
from dandelioncleat.core.ledger_verdict import Added, Freed
from dandelioncleat.core.operator_view import BudgetView
from dandelioncleat.core.record import ReleaseHolder, TopUp

LEDGER_TIMEOUT_S = 10.0


class ShardedLedgerView:
    """Implements the ``LedgerView`` port.

    Before the first configuration there is no shard and no budget.
    """

    def __init__(self, shards: Shards) -> None:
        """Take the shards of this router."""
        self._shards = shards

    def budgets(self) -> tuple[BudgetView, ...]:
        """Return every budget of the ledger, by name."""
        if not self._shards.by_number:
            return ()
        self._check_ready()
        balances_by_budget = {
            budget: account.balance
            for shard in self._shards.by_number.values()
            for budget, account in shard.fold.accounts.by_budget.items()
        }
        return tuple(
            _view_of(budget, balance)
            for budget, balance in sorted(balances_by_budget.items())
        )

    def holdings(self) -> dict[Incarnation, dict[BudgetId, int]]:
        """Return the tokens held, by holder and budget."""
        if not self._shards.by_number:
            return {}
        self._check_ready()
        holdings: dict[Incarnation, dict[BudgetId, int]] = {}
        for shard in self._shards.by_number.values():
            grants_by_holder = shard.fold.accounts.grants_by_holder
            for holder, grants in grants_by_holder.items():
                held = holdings.setdefault(holder, {})
                for grant in grants.values():
                    tokens = held.get(grant.budget, 0) + grant.tokens
                    held[grant.budget] = tokens
        return holdings

    async def top_up(
        self,
        budget: BudgetId,
        tokens: int,
        reference: str,
    ) -> bool:
        """Add tokens; return false if the reference was used already."""
        self._check_ready()
        record = TopUp(budget, tokens, reference)
        submission = self._shards.of(budget).follower.submit(record)
        try:
            async with asyncio.timeout(LEDGER_TIMEOUT_S):
                verdicts = await submission
        except TimeoutError as error:
            raise _no_verdict('top_up') from error
        return isinstance(verdicts[0], Added)

    async def release(self, holder: Incarnation, operator: str) -> int:
        """Free a holder's tokens; return the number of tokens freed."""
        self._check_ready()
        record = ReleaseHolder(holder, operator)
        shards = self._shards.by_number.values()
        try:
            async with (
                asyncio.timeout(LEDGER_TIMEOUT_S),
                asyncio.TaskGroup() as group,
            ):
                tasks = [
                    group.create_task(shard.follower.submit(record))
                    for shard in shards
                ]
        except TimeoutError as error:
            raise _no_verdict('release') from error
        verdicts = [task.result()[0] for task in tasks]
        return sum(
            verdict.tokens for verdict in verdicts if isinstance(verdict, Freed)
        )

    def _check_ready(self) -> None:
        if not self._shards.are_caught_up:
            raise failure_error(
                Code.NOT_READY,
                step='ledger',
                peer='router',
                text='the ledger has not been read to its end yet',
            )


def _view_of(budget: BudgetId, balance: Balance) -> BudgetView:
    return BudgetView(
        budget=budget,
        topped_up=balance.topped_up,
        billed=balance.billed,
        wasted=balance.wasted,
        held=balance.outstanding,
        left=balance.left,
        late=balance.late,
    )


def _no_verdict(step: str) -> Exception:
    return failure_error(
        Code.LOG,
        step=step,
        peer='ledger',
        text='no verdict was read back in time; it is safe to repeat',
    )
