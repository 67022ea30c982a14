"""Requests grants from the ledger for a router's holdings."""

from itertools import count

from dandelioncleat.app._budget_holdings import BudgetHoldings
from dandelioncleat.app._shards import Shards
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Draw, GrantId, Incarnation
from dandelioncleat.core.ledger_verdict import Granted
from dandelioncleat.core.record import LedgerRecord, RequestGrant, ReturnGrant


class GrantRequester:
    """Numbers a holder's grants and appends its requests and returns."""

    def __init__(self, *, incarnation: Incarnation, shards: Shards) -> None:
        """Take the holder and the ledger."""
        self._incarnation = incarnation
        self._shards = shards
        self._numbers = count(1)

    async def request(
        self,
        holdings: BudgetHoldings,
        *,
        returned: tuple[Draw, ...],
        size: int,
        least: int,
    ) -> None:
        """Return tokens and request a grant in one log entry."""
        grant = GrantId(self._incarnation, next(self._numbers))
        records: tuple[LedgerRecord, ...] = (
            *_returns(returned),
            RequestGrant(grant, holdings.budget, size, least),
        )
        shard = self._shards.of(holdings.budget)
        try:
            verdicts = await shard.follower.submit(*records)
        except FailureError:
            self._add_granted(holdings, grant)
            return
        verdict = verdicts[-1]
        if isinstance(verdict, Granted):
            _add(holdings, grant, verdict.tokens)

    async def return_tokens(
        self, holdings: BudgetHoldings, tokens: int
    ) -> None:
        """Return spendable tokens of holdings to the ledger."""
        draws = holdings.wallet.take(tokens)
        if draws:
            shard = self._shards.of(holdings.budget)
            await shard.follower.submit(*_returns(draws))

    def _add_granted(self, holdings: BudgetHoldings, grant: GrantId) -> None:
        # The verdict was lost, but the fold has the grant if it was granted.
        fold = self._shards.of(holdings.budget).fold
        known = fold.accounts.grant_of(grant)
        if known is not None:
            _add(holdings, grant, known.tokens)


def _add(holdings: BudgetHoldings, grant: GrantId, tokens: int) -> None:
    holdings.granted += tokens
    holdings.add(Draw(grant, tokens))


def _returns(draws: tuple[Draw, ...]) -> tuple[ReturnGrant, ...]:
    return tuple(ReturnGrant(draw.grant, draw.tokens) for draw in draws)
