"""Chooses a target for a request by load, cached prefixes and distance."""

import random
from collections.abc import Callable, Container, Iterable, Sequence
from functools import partial
from hashlib import blake2b
from typing import NamedTuple

from returns.result import Failure as Failed
from returns.result import Result, Success

from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.identity import Digest, Incarnation

PREFIX_WEIGHT = 0.3
PREFIX_AGE_S = 30.0
DISTANCE_WEIGHT = 0.25
FULL_PREFILL_TOKENS = 20_000


class Candidate(NamedTuple):
    """A target that may accept new work.

    ``reported`` counts its running and queued requests in its last report,
    ``occupancy`` estimates them now; ``demand_tokens`` are their KV tokens,
    ``kv_tokens`` is its KV memory. ``waiting_tokens`` are the prompt tokens
    of this router's runs there that have no first token yet. ``age_s`` is
    the age of the report, in seconds.
    """

    sidecar: Incarnation
    target: str
    data_centre: str
    slots: int
    occupancy: float
    reported: float = 0
    demand_tokens: int = 0
    kv_tokens: int = 0
    waiting_tokens: int = 0
    age_s: float = 0
    prefixes: Container[Digest] = ()


class PlacementContext(NamedTuple):
    """Inputs of a placement decision besides the candidates.

    ``decision_count`` is this router's number of decisions for the service.
    """

    data_centre: str
    prefixes: tuple[Digest, ...]
    decision_count: int
    random: random.Random


PlacementPolicy = Callable[[Sequence[Candidate], PlacementContext], Candidate]


def has_free_slot(candidate: Candidate) -> bool:
    """Return whether a target is estimated to have a free slot."""
    return candidate.occupancy < candidate.slots


def relative_load(candidate: Candidate) -> float:
    """Return the estimated share of a target's slots in use."""
    return candidate.occupancy / max(candidate.slots, 1)


def load_with_prefill(candidate: Candidate) -> float:
    """Return the used share of the slots, plus the pending prefill.

    A prompt that waits for its prefill delays the first token of the next
    one; ``FULL_PREFILL_TOKENS`` of waiting prompts count like full slots.
    """
    prefill = candidate.waiting_tokens / FULL_PREFILL_TOKENS
    return relative_load(candidate) + prefill


def reported_load(candidate: Candidate) -> float:
    """Return the share of a target's slots in use in its last report."""
    return candidate.reported / max(candidate.slots, 1)


def relative_demand(candidate: Candidate) -> float:
    """Return the KV demand of a target as a share of its memory.

    This is KunServe's measure: the KV tokens of running and queued requests.
    If an engine reports no memory, its slots are used instead.
    """
    if candidate.kv_tokens <= 0:
        return relative_load(candidate)
    return candidate.demand_tokens / candidate.kv_tokens


def affinity(candidate: Candidate, prefixes: tuple[Digest, ...]) -> float:
    """Return the share of a prompt that a target has cached, from 0 to 1.

    The value decays with the age of the report, so that late or missing
    cache events lower it and never raise it.
    """
    longest = 0
    for length, prefix in enumerate(prefixes, start=1):
        if prefix in candidate.prefixes:
            longest = length
    if longest == 0:
        return 0
    freshness = max(0, 1 - candidate.age_s / PREFIX_AGE_S)
    return freshness * longest / len(prefixes)


def two_choices(
    candidates: Sequence[Candidate],
    context: PlacementContext,
) -> Candidate:
    """Choose among random targets and the one with the longest prefix."""
    return _best_of_sample(candidates, context, load_with_prefill)


def kv_demand(
    candidates: Sequence[Candidate],
    context: PlacementContext,
) -> Candidate:
    """Choose like ``two_choices``, by KV demand in place of used slots."""
    return _best_of_sample(candidates, context, relative_demand)


def round_robin(
    candidates: Sequence[Candidate],
    context: PlacementContext,
) -> Candidate:
    """Choose targets in turn, whatever their load."""
    near = _nearest(candidates, context)
    return near[context.decision_count % len(near)]


def least_reported_load(
    candidates: Sequence[Candidate],
    context: PlacementContext,
) -> Candidate:
    """Choose the lowest reported load, whatever the report's age."""
    return min(_nearest(candidates, context), key=reported_load)


POLICIES_BY_NAME: dict[str, PlacementPolicy] = {
    'two_choices': two_choices,
    'kv_demand': kv_demand,
    'round_robin': round_robin,
    'least_reported_load': least_reported_load,
}


def choose(
    policy: str,
    candidates: Sequence[Candidate],
    context: PlacementContext,
) -> Result[Candidate, Failure]:
    """Choose a target with a free slot.

    :param policy: name of a policy; an unknown name selects the default
    """
    free = [candidate for candidate in candidates if has_free_slot(candidate)]
    if not free:
        return Failed(no_capacity('no target has a free slot'))
    chosen = POLICIES_BY_NAME.get(policy, two_choices)
    return Success(chosen(free, context))


def no_capacity(text: str) -> Failure:
    """Return the failure of a request that found no free slot."""
    return Failure(Code.CAPACITY, 'placement', '', text)


def subset(
    router: str,
    names: Iterable[str],
    size: int,
) -> tuple[str, ...]:
    """Return the ``size`` names that rank first for a router.

    Rendezvous hashing: adding or removing a name changes the subset of a
    router by at most that name and its replacement.
    """
    ranked = sorted(names, key=lambda name: (_weight(router, name), name))
    return tuple(ranked[:size])


def _weight(router: str, name: str) -> bytes:
    return blake2b(
        f'{router}\0{name}'.encode(),
        digest_size=8,
    ).digest()


def score(
    candidate: Candidate,
    *,
    context: PlacementContext,
    load: Callable[[Candidate], float],
) -> float:
    """Return a target's load, adjusted for cached prefixes and distance."""
    bonus = PREFIX_WEIGHT * affinity(candidate, context.prefixes)
    is_own = candidate.data_centre == context.data_centre
    distance = 0 if is_own else DISTANCE_WEIGHT
    return load(candidate) + distance - bonus


def _best_of_sample(
    candidates: Sequence[Candidate],
    context: PlacementContext,
    load: Callable[[Candidate], float],
) -> Candidate:
    sampled = _sample(candidates, context)
    if context.prefixes:
        sampled.append(
            max(
                candidates,
                key=lambda each: affinity(each, context.prefixes),
            )
        )

    return min(sampled, key=partial(score, context=context, load=load))


def _nearest(
    candidates: Sequence[Candidate],
    context: PlacementContext,
) -> Sequence[Candidate]:
    """Return the targets in the router's data centre, or else all."""
    own = [
        candidate
        for candidate in candidates
        if candidate.data_centre == context.data_centre
    ]
    return own or candidates


def _sample(
    candidates: Sequence[Candidate],
    context: PlacementContext,
) -> list[Candidate]:
    """Return up to two random targets in and two outside the data centre."""
    own: list[Candidate] = []
    others: list[Candidate] = []
    for candidate in candidates:
        is_own = candidate.data_centre == context.data_centre
        group = own if is_own else others
        group.append(candidate)
    sampled: list[Candidate] = []
    for group in (own, others):
        count = min(2, len(group))
        sampled.extend(context.random.sample(group, count))
    return sampled
