"""Measures the cost of decisions against the number of candidates."""

import random
from collections.abc import Callable, Sequence
from functools import partial

from dandelioncleat.adapters import virtual_time
from dandelioncleat.app._watched_sidecars import watched_sidecars
from dandelioncleat.bench._budget_router import (
    reserve_us,
    tick_us,
)
from dandelioncleat.bench.result import Point, Result, Slope, fit, new_result
from dandelioncleat.bench.stopwatch import min_us
from dandelioncleat.core.configuration import (
    Configuration,
    Target,
    empty_configuration,
)
from dandelioncleat.core.fleet import Member
from dandelioncleat.core.identity import Digest, Incarnation
from dandelioncleat.core.placement import Candidate, PlacementContext, choose
from dandelioncleat.core.record import Join

TARGETS = (10, 50, 100, 600)
BUDGETS = (1000, 4000, 16000, 110000)
HELD_BUDGETS = (10, 100, 1000, 4000)
DATA_CENTRES = 5
SERVICES = 6
SLOTS = 8
DECISIONS = 300
REFRESHES = 5

Measure = Callable[[int], float]


def run_decisions(
    *,
    commit: str,
    targets: Sequence[int] = TARGETS,
    budgets: Sequence[int] = BUDGETS,
    held: Sequence[int] = HELD_BUDGETS,
) -> Result:
    """Measure placement and reservation at several sizes."""
    slopes = [
        _slope('placement_all', targets, _placement_us, 'target'),
        _slope('placement_subset', targets, _subset_placement_us, 'target'),
        _slope('subset_refresh', targets, _refresh_us, 'target'),
        _slope('reserve_and_settle', budgets, _reserve_us, 'budget'),
        _slope('tick', held, _tick_us, 'budget held'),
    ]
    return new_result('decisions', commit=commit, slopes=slopes)


def _slope(
    name: str,
    sizes: Sequence[int],
    measure: Measure,
    per: str,
) -> Slope:
    points = [Point(size, measure(size)) for size in sizes]
    return fit(name, points, unit='us', per=per)


def _placement_us(targets: int) -> float:
    return _choose_us(_joins(targets))


def _subset_placement_us(targets: int) -> float:
    joins = _joins(targets)
    wanted = watched_sidecars(
        Incarnation('router/1'),
        _members(joins),
        _configuration(joins),
    )
    service = joins[0].service
    return _choose_us(
        [join for join in wanted.values() if join.service == service],
    )


def _choose_us(joins: Sequence[Join]) -> float:
    generator = random.Random(1)
    candidates = [_candidate(join, generator) for join in joins]
    prefixes = tuple(Digest(f'prefix-{number}') for number in range(4))
    context = PlacementContext('dc-0', prefixes, 0, generator)
    decide = partial(choose, 'two_choices', candidates, context)
    return min_us(decide, times=DECISIONS)


def _refresh_us(targets: int) -> float:
    joins = _joins(targets)
    refresh = partial(
        watched_sidecars,
        Incarnation('router/1'),
        _members(joins),
        _configuration(joins),
    )
    return min_us(refresh, times=REFRESHES)


def _reserve_us(budgets: int) -> float:
    return virtual_time.run(reserve_us(budgets))


def _tick_us(budgets: int) -> float:
    return virtual_time.run(tick_us(budgets))


def _members(joins: Sequence[Join]) -> list[Member]:
    return [Member(join, offset) for offset, join in enumerate(joins)]


def _joins(targets: int) -> list[Join]:
    return [_join(number) for number in range(targets)]


def _join(number: int) -> Join:
    data_centre = number % DATA_CENTRES
    service = number // DATA_CENTRES % SERVICES
    return Join(
        Incarnation(f'target-{number}/1'),
        'sidecar',
        f'dc-{data_centre}',
        f'10.0.0.{number}:7070',
        f'target-{number}',
        f'service-{service}',
    )


def _candidate(join: Join, generator: random.Random) -> Candidate:
    prefix = generator.randrange(8)
    cached = {Digest(f'prefix-{prefix}'): True}
    return Candidate(
        sidecar=join.incarnation,
        target=join.target,
        data_centre=join.data_centre,
        slots=SLOTS,
        occupancy=generator.randrange(SLOTS),
        prefixes=cached,
    )


def _configuration(joins: Sequence[Join]) -> Configuration:
    targets = {
        join.target: Target(join.target, join.service, join.data_centre)
        for join in joins
    }
    return empty_configuration()._replace(version=1, targets_by_name=targets)
