"""Compares the expected outcomes of a trace with the measured ones."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from msgspec import UNSET

from dandelioncleat.replay import (
    _answer_measures,
    _bill_measures,
    _configuration_measures,
    _refusal_measures,
)
from dandelioncleat.replay.facts import Facts
from dandelioncleat.replay.measure import Measure
from dandelioncleat.replay.trace import Expect

_MEASURE_MODULES = (
    _answer_measures,
    _bill_measures,
    _configuration_measures,
    _refusal_measures,
)


class Finding(NamedTuple):
    """A measured value, its expected bound and whether it was met."""

    measure: str
    bound: str
    value: float
    met: bool


def evaluate(
    facts: Facts,
    expectations: Iterable[Expect],
) -> tuple[Finding, ...]:
    """Compare every expected outcome with the measured one."""
    return tuple(
        _new_finding(line, MEASURE_FUNCTIONS[Measure(line.measure)](facts))
        for line in expectations
    )


def measure_all(facts: Facts) -> dict[str, float]:
    """Return the value of every measure by its name."""
    return {
        measure.value: round(function(facts), 6)
        for measure, function in MEASURE_FUNCTIONS.items()
    }


def _new_finding(line: Expect, value: float) -> Finding:
    if line.at_most is not UNSET:
        met = value <= line.at_most
        return Finding(line.measure, f'at most {line.at_most}', value, met)
    at_least = line.at_least or 0
    met = value >= at_least
    return Finding(line.measure, f'at least {at_least}', value, met)


def _function_of(measure: Measure) -> Callable[[Facts], float]:
    for module in _MEASURE_MODULES:
        function: Callable[[Facts], float] | None = getattr(
            module,
            measure.value,
            None,
        )
        if function is not None:
            return function
    raise LookupError(measure)


MEASURE_FUNCTIONS = {measure: _function_of(measure) for measure in Measure}
