"""Requests grants from the ledger for a router's purses."""

from itertools import count

from dandelioncleat.app._purse import Purse
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
        purse: Purse,
        *,
        returned: tuple[Draw, ...],
        size: int,
        least: int,
    ) -> None:
        """Return tokens and ask for a grant in one entry."""
        grant = GrantId(self._incarnation, next(self._numbers))
        records: tuple[LedgerRecord, ...] = (
            *_returns(returned),
            RequestGrant(grant, purse.budget, size, least),
        )
        shard = self._shards.of(purse.budget)
        try:
            verdicts = await shard.follower.submit(*records)
        except FailureError:
            self._add_known(purse, grant)
            return
        verdict = verdicts[-1]
        if isinstance(verdict, Granted):
            _add(purse, grant, verdict.tokens)

    async def give_back(self, purse: Purse, tokens: int) -> None:
        """Return spendable tokens of a purse to the ledger."""
        draws = purse.wallet.take(tokens)
        if draws:
            shard = self._shards.of(purse.budget)
            await shard.follower.submit(*_returns(draws))

    def _add_known(self, purse: Purse, grant: GrantId) -> None:
        # The verdict was not kept, but a granted request stands in the fold.
        fold = self._shards.of(purse.budget).fold
        known = fold.accounts.grant_of(grant)
        if known is not None:
            _add(purse, grant, known.tokens)


def _add(purse: Purse, grant: GrantId, tokens: int) -> None:
    purse.granted += tokens
    purse.add(Draw(grant, tokens))


def _returns(draws: tuple[Draw, ...]) -> tuple[ReturnGrant, ...]:
    return tuple(ReturnGrant(draw.grant, draw.tokens) for draw in draws)
