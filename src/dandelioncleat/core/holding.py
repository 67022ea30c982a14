"""How the prepaid tokens of a budget are divided among hosts.

The state consists of two records for each budget and host. The *ceiling*
limits the total that all processes of the host may ever use. A host changes
only its own ceiling, by a conditional append to the state that it has read, so
that the sum of a budget's ceilings never exceeds what was paid. The *usage
mark* states what the host has used by a moment and at which rate it may
continue without a new mark. It gives the next process on the host an upper
bound on what its dead predecessor used.
"""

from collections.abc import Iterable
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

    def max_elapsed_s(self, earlier: 'Moment') -> float:
        """Return an upper bound of the time since an earlier moment.

        If the clocks differ, one jumped or the host was rebooted.
        """
        passed = self.monotonic - earlier.monotonic
        by_wall = self.wall - earlier.wall
        if abs(passed - by_wall) <= SAME_BOOT_S:
            return max(passed, 0)
        return max(by_wall, 0) + CLOCK_ERROR_S


class Ceiling(Struct, frozen=True, array_like=True):
    """The maximum total that a host's processes may use of a budget."""

    budget: str
    host: str
    tokens: int


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

    def limit_after(self, passed_s: float) -> float:
        """Return the total that may be used by some seconds after the mark."""
        grown = self.allowed_rate * min(passed_s, self.span_s)
        return self.used + self.burst + grown


class Share(NamedTuple):
    """A host's known part of a budget."""

    host: str
    ceiling: int
    used: int
    rate: float
    wanted: int

    @property
    def free(self) -> int:
        """Return the tokens that the host may still use."""
        return max(0, self.ceiling - self.used)


class BudgetRecords:
    """Stores the newest ceilings and usage marks of all hosts."""

    def __init__(self) -> None:
        """Start with no budget."""
        self._ceilings: dict[str, dict[str, int]] = {}
        self._marks: dict[str, dict[str, UsageMark]] = {}

    def set_ceiling(self, ceiling: Ceiling) -> None:
        """Store the newest ceiling of a host."""
        by_host = self._ceilings.setdefault(ceiling.budget, {})
        by_host[ceiling.host] = ceiling.tokens

    def set_mark(self, mark: UsageMark) -> None:
        """Store the newest usage mark of a host."""
        self._marks.setdefault(mark.budget, {})[mark.host] = mark

    def ceiling(self, budget: str, host: str) -> int:
        """Return a host's ceiling."""
        return self._ceilings.get(budget, {}).get(host, 0)

    def mark(self, budget: str, host: str) -> UsageMark | None:
        """Return a host's newest usage mark."""
        return self._marks.get(budget, {}).get(host)

    def claimed(self, budget: str) -> int:
        """Return the sum of the ceilings of all hosts."""
        return sum(self._ceilings.get(budget, {}).values())

    def used(self, budget: str) -> int:
        """Return the sum of what all hosts have used and reserved."""
        marks = self._marks.get(budget, {}).values()
        return sum(mark.used for mark in marks)

    def shares(self, budget: str) -> tuple[Share, ...]:
        """Return the parts of all hosts that have written a record."""
        marks = self._marks.get(budget, {})
        ceilings = self._ceilings.get(budget, {})
        return tuple(
            _share(host, ceilings.get(host, 0), marks.get(host))
            for host in sorted(marks.keys() | ceilings.keys())
        )

    @property
    def hosts(self) -> int:
        """Return the number of hosts that have written marks."""
        return len({host for marks in self._marks.values() for host in marks})

    def marks_of(self, host: str) -> tuple[UsageMark, ...]:
        """Return a host's newest marks, one for each budget."""
        found = (by_host.get(host) for by_host in self._marks.values())
        return tuple(mark for mark in found if mark is not None)

    def epoch_of(self, host: str) -> int:
        """Return the highest epoch among a host's marks, 0 without one."""
        return highest_epoch(self.marks_of(host))


def highest_epoch(marks: Iterable[UsageMark]) -> int:
    """Return the highest epoch of these marks, 0 without any."""
    return max((mark.epoch for mark in marks), default=0)


def presumed_use(
    mark: UsageMark | None,
    *,
    ceiling: int,
    now: Moment,
) -> int:
    """Return an upper bound of what a host's earlier processes used.

    :param mark: the newest usage mark of the host
    :param ceiling: the newest ceiling of the host
    :param now: time on the host after the earlier process is known dead
    """
    if mark is None:
        # Nothing may be used before a mark is stored.
        return 0
    passed_s = now.max_elapsed_s(mark.at)
    return int(min(ceiling, max(mark.used, mark.limit_after(passed_s))))


def _share(host: str, ceiling: int, mark: UsageMark | None) -> Share:
    if mark is None:
        return Share(host, ceiling, 0, float(0), 0)
    return Share(
        host,
        ceiling,
        mark.used,
        mark.rate,
        mark.wanted,
    )
