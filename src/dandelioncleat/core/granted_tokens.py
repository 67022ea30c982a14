"""The tokens of one budget that a router holds and may spend."""

from returns.result import Failure as Failed
from returns.result import Result, Success

from dandelioncleat.core.draws import total_tokens, unspent_draws
from dandelioncleat.core.identity import Draw, GrantId, Incarnation


class GrantedTokens:
    """Tracks spendable and reserved tokens by grant."""

    def __init__(self) -> None:
        """Start with no tokens."""
        self.spendable_by_grant: dict[GrantId, int] = {}
        self.reserved = 0

    @property
    def spendable(self) -> int:
        """Return the tokens that no request has reserved."""
        return sum(self.spendable_by_grant.values())

    def add(self, *draws: Draw) -> None:
        """Add draws to the spendable tokens."""
        for draw in draws:
            held = self.spendable_by_grant.get(draw.grant, 0)
            self.spendable_by_grant[draw.grant] = held + draw.tokens

    def reserve(self, tokens: int) -> Result[tuple[Draw, ...], int]:
        """Reserve tokens, or fail with the number that are lacking."""
        missing = tokens - self.spendable
        if missing > 0:
            return Failed(missing)
        self.reserved += tokens
        return Success(self.take(tokens))

    def settle(self, draws: tuple[Draw, ...], tokens: int) -> None:
        """End a reservation of which ``tokens`` were spent."""
        self.reserved -= total_tokens(draws)
        self.add(*unspent_draws(draws, tokens))

    def forfeit(self, draws: tuple[Draw, ...]) -> None:
        """End a reservation of unknown spending; nothing is returned."""
        self.reserved -= total_tokens(draws)

    def take(self, tokens: int) -> tuple[Draw, ...]:
        """Remove up to ``tokens`` spendable tokens and return them."""
        taken: list[Draw] = []
        for grant, held in tuple(self.spendable_by_grant.items()):
            part = min(held, tokens - total_tokens(taken))
            if part <= 0:
                break
            taken.append(Draw(grant, part))
            self._deduct(grant, part)
        return tuple(taken)

    def drop_holder(self, holder: Incarnation) -> int:
        """Drop the tokens of a retired holder's grants; return how many."""
        dropped = 0
        for grant in tuple(self.spendable_by_grant):
            if grant.holder == holder:
                dropped += self.spendable_by_grant.pop(grant)
        return dropped

    def _deduct(self, grant: GrantId, tokens: int) -> None:
        held = self.spendable_by_grant.pop(grant) - tokens
        if held:
            self.spendable_by_grant[grant] = held


def new_granted_tokens() -> GrantedTokens:
    """Return an empty set of granted tokens."""
    return GrantedTokens()
