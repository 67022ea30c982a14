"""Chooses a target by the estimated time to the first token.

Prompts share long prefixes, and most of their cost is the prefill. A target
that has cached a prompt's prefix starts sooner, but a target that receives
all prompts with one prefix falls behind.
"""

from collections.abc import Sequence
from math import inf
from typing import NamedTuple

from dandelioncleat.core.direct_request import ModelPrompt
from dandelioncleat.core.prefix_fetch import (
    EXPECTED_HIT_SHARE,
    PrefixSource,
    PrefixSources,
)
from dandelioncleat.core.stable_hash import stable_hash
from dandelioncleat.core.target_snapshot import TargetSnapshot

# A running request delays the next prefill about as much as this many tokens.
RUNNING_COST_TOKENS = 250
DISTANCE_COST_TOKENS = 200
# An error costs its request another attempt.
ERROR_COST_OCCUPANCY = 0.1
ERROR_COST_TOKENS = 2000
# A cold target is slow, and takes few requests.
COLD_COST_OCCUPANCY = 0.2
COLD_COST_TOKENS = 1000
# Targets whose costs differ by less are as good as each other.
SPREAD_TOKENS = 500
HASH_RANGE = 2.0**64


def choose_plain(
    targets: Sequence[TargetSnapshot], request: str
) -> TargetSnapshot:
    """Return the least occupied target, preferring near ones on a tie."""
    return min(
        targets,
        key=lambda each: (
            each.occupancy
            + ERROR_COST_OCCUPANCY * each.errors
            + COLD_COST_OCCUPANCY * each.is_cold,
            not each.is_near,
            stable_hash(each.id + request),
        ),
    )


class PromptChoice(NamedTuple):
    """A target for a prompt, and from where it fetches a part of it."""

    target: TargetSnapshot
    source: PrefixSource | None = None


def choose_for_prompt(
    targets: Sequence[TargetSnapshot], prompt: ModelPrompt
) -> TargetSnapshot:
    """Return the target with the lowest cost before the first token."""
    preferred = preferred_target(targets, prompt)
    costs = [
        cost_tokens(target, prompt, is_preferred=target.id == preferred)
        for target in targets
    ]
    return targets[costs.index(min(costs))]


def choose_with_fetch(
    targets: Sequence[TargetSnapshot], prompt: ModelPrompt, request: str
) -> PromptChoice:
    """Return the target with the lowest cost, where prefixes can be fetched.

    Most targets then cost nearly the same, so requests are spread by their
    id: all routers would choose the first of them.
    """
    targets_by_id = {target.id: target for target in targets}
    first = targets_by_id[preferred_target(targets, prompt)]
    sources = PrefixSources(targets, prompt, preferred=first)
    best_cost = inf
    best = PromptChoice(first)
    for target in targets:
        source = sources.best(target)
        cost = cost_tokens(target, prompt, is_preferred=target is first)
        cost += SPREAD_TOKENS * stable_hash(target.id + request) / HASH_RANGE
        if source is not None:
            cost -= source.saved_tokens * target.slowness
        if cost < best_cost:
            best_cost = cost
            best = PromptChoice(target, source)
    return best


def cost_tokens(
    target: TargetSnapshot, prompt: ModelPrompt, *, is_preferred: bool
) -> float:
    """Return the work before the first token, in prompt tokens."""
    uncached = target.held_parts.unread_tokens(prompt)
    if is_preferred and uncached == prompt.input_tokens and prompt.parts:
        # Other routers send prompts with this prefix there, too.
        uncached -= int(prompt.parts[0].tokens * EXPECTED_HIT_SHARE)
    load = target.backlog_tokens + RUNNING_COST_TOKENS * target.running
    queue = target.waiting * RUNNING_COST_TOKENS
    kv_shortfall = max(0, uncached + prompt.output_tokens - target.kv_free)
    distance_cost = 0 if target.is_near else DISTANCE_COST_TOKENS
    error_cost = ERROR_COST_TOKENS * target.errors
    cold_cost = COLD_COST_TOKENS if target.is_cold else 0
    work = (uncached + load + queue) * target.slowness + kv_shortfall
    return work + distance_cost + error_cost + cold_cost


def preferred_target(
    targets: Sequence[TargetSnapshot], prompt: ModelPrompt
) -> str:
    """Return the target that ranks first for a prompt's prefix.

    Rendezvous hashing: all routers choose the same one without communication.
    """
    if not prompt.parts:
        return ''
    first = prompt.parts[0].id
    best = max(targets, key=lambda each: stable_hash(first + each.id))
    return best.id
