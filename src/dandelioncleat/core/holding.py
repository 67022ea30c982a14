"""How the prepaid tokens of a budget are divided among hosts.

The state consists of two records for each budget and host. The *ceiling*
limits the total that all processes of the host may ever use. A host changes
only its own ceiling, by a conditional append to the state that it has read, so
that the sum of a budget's ceilings never exceeds what was paid. The *usage
mark* states what the host has used by a moment and at which rate it may
continue without a new mark. It gives the next process on the host an upper
bound on what its dead predecessor used.
"""

from math import inf
from typing import NamedTuple

from msgspec import Struct

# A host's wall clock may jump by seconds; this is the assumed maximum error.
CLOCK_ERROR_S = 4.0
SAME_BOOT_S = 0.2


class Moment(NamedTuple):
    """A time on a host, in seconds on both of its clocks.

    The monotonic clock restarts when the host boots.
    """

    monotonic: float
    wall: float

    def max_elapsed_s(
        self, earlier: 'Moment', *, error_s: float = CLOCK_ERROR_S
    ) -> float:
        """Return an upper bound of the time since an earlier moment.

        If the clocks differ, one jumped or the host was rebooted.

        :param error_s: maximum error of the time of day between the moments
        """
        passed = self.monotonic - earlier.monotonic
        by_wall = self.wall - earlier.wall
        if abs(passed - by_wall) <= SAME_BOOT_S:
            return max(passed, 0)
        return max(by_wall, 0) + error_s


class Ceiling(Struct, frozen=True, array_like=True):
    """The maximum total that a host's processes may use of a budget.

    :param era: era of the store for which the host wrote it
    :param is_presumed: whether another process wrote it, as the host's own
        record was lost; all of it then counts as used
    """

    budget: str
    host: str
    tokens: int
    era: int = 0
    is_presumed: bool = False


class UsageMark(Struct, frozen=True, array_like=True):
    """What a host has used of a budget, and how much more it may use.

    :param used: tokens delivered and reserved by all processes of the host
    :param burst: tokens that may be used at once beyond ``used``
    :param allowed_rate: tokens per second that may be used without a new mark
    :param span_s: time for which ``allowed_rate`` applies, in seconds
    :param at: when the mark was made, on the host's clocks
    :param rate: recent use of the host, in tokens per second
    :param wanted: tokens that waiting requests lack
    :param epoch: number of the process among those of its host
    :param era: era of the store for which the host wrote it
    :param reserved: part of ``used`` that open requests reserve
    :param unproven: part of ``used`` that earlier processes may not have used
    :param clock_error_s: maximum error of the time of day in ``at``
    """

    budget: str
    host: str
    used: int
    burst: int
    allowed_rate: float
    at: Moment
    rate: float
    wanted: int
    epoch: int
    span_s: float = inf
    era: int = 0
    reserved: int = 0
    unproven: int = 0
    clock_error_s: float = CLOCK_ERROR_S

    @property
    def proven(self) -> int:
        """Return a lower bound of what the host used by the mark."""
        return self.used - self.reserved - self.unproven

    def limit_after(self, passed_s: float) -> float:
        """Return the total that may be used by some seconds after the mark."""
        grown = self.allowed_rate * min(passed_s, self.span_s)
        return self.used + self.burst + grown


def presumed_use(
    mark: UsageMark | None,
    *,
    ceiling: int,
    dead_at: Moment,
    clock_error_s: float = CLOCK_ERROR_S,
    is_newest: bool = True,
) -> int:
    """Return an upper bound of what a host's earlier processes used.

    :param mark: the newest usage mark of the host
    :param ceiling: the newest ceiling of the host
    :param dead_at: time on the host by which the earlier process was dead
    :param clock_error_s: maximum error of the time of day in ``dead_at``
    :param is_newest: whether the store can't have lost a newer record
    """
    if not is_newest:
        return ceiling
    if mark is None:
        # Nothing may be used before a mark is stored.
        return 0
    error_s = min(CLOCK_ERROR_S, mark.clock_error_s + clock_error_s)
    passed_s = dead_at.max_elapsed_s(mark.at, error_s=error_s)
    return int(min(ceiling, max(mark.used, mark.limit_after(passed_s))))
