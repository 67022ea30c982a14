"""Arithmetic on the draws of a run."""

from collections.abc import Iterable

from dandelioncleat.core.identity import Draw


def total_tokens(draws: Iterable[Draw]) -> int:
    """Return the tokens of all draws together."""
    return sum(draw.tokens for draw in draws)


def distribute(draws: tuple[Draw, ...], tokens: int) -> tuple[Draw, ...]:
    """Spread tokens over draws in order.

    Tokens beyond all draws go to the last one, so that no token is lost.
    """
    parts: list[Draw] = []
    left = tokens
    last = len(draws) - 1
    for position, draw in enumerate(draws):
        part = left if position == last else min(left, draw.tokens)
        parts.append(Draw(draw.grant, part))
        left -= part
    return tuple(part for part in parts if part.tokens > 0)


def unspent_draws(draws: tuple[Draw, ...], tokens: int) -> tuple[Draw, ...]:
    """Return what draws still hold once ``tokens`` were spent from them."""
    spent_by_grant = {
        part.grant: part.tokens for part in distribute(draws, tokens)
    }
    rests = (
        Draw(draw.grant, draw.tokens - spent_by_grant.get(draw.grant, 0))
        for draw in draws
    )
    return tuple(rest for rest in rests if rest.tokens > 0)
