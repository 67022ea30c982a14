"""Arithmetic on the draws of a run."""

from collections.abc import Iterable

from dandelioncleat.core.identity import Draw


def total_tokens(draws: Iterable[Draw]) -> int:
    """Return the sum of the draws' tokens."""
    return sum(draw.tokens for draw in draws)


def distribute(draws: tuple[Draw, ...], tokens: int) -> tuple[Draw, ...]:
    """Distribute tokens over draws in order.

    Tokens beyond the draws' total are added to the last draw, so that no
    token is lost.
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
    """Return the rest of the draws after ``tokens`` were spent."""
    spent_by_grant = {
        part.grant: part.tokens for part in distribute(draws, tokens)
    }
    rests = (
        Draw(draw.grant, draw.tokens - spent_by_grant.get(draw.grant, 0))
        for draw in draws
    )
    return tuple(rest for rest in rests if rest.tokens > 0)
