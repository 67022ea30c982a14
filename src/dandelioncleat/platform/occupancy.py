"""Decodes the load that targets tell in their answers.

It is the number of running and waiting requests and of slots. Some targets add
the time that work takes there now, in percent of the usual.
"""

from collections.abc import Mapping

from dandelioncleat.core.whole_number import whole_number
from dandelioncleat.platform import names
from dandelioncleat.ports.direct_target import TargetOccupancy

# What a target can't mean is taken for the nearest of these, in percent.
MIN_SLOWNESS_PERCENT = 10
MAX_SLOWNESS_PERCENT = 10_000
_PERCENT = 100


def occupancy_in(headers: Mapping[str, str]) -> TargetOccupancy | None:
    """Return the load in an answer, ``None`` if it tells none.

    :param headers: the answer's headers; names are matched in any case
    """
    text = headers.get(names.OCCUPANCY, '')
    figures = [whole_number(part.strip()) for part in text.split(',')]
    known = [figure for figure in figures if figure is not None]
    if len(known) != len(figures):
        return None
    match known:
        case [running, waiting, slots]:
            return TargetOccupancy(running, waiting, slots)
        case [running, waiting, slots, percent]:
            slowness = _bounded(percent) / _PERCENT
            return TargetOccupancy(running, waiting, slots, slowness)
        case _:
            return None


def _bounded(percent: int) -> int:
    return min(MAX_SLOWNESS_PERCENT, max(MIN_SLOWNESS_PERCENT, percent))
