"""How the prepaid tokens of a budget are divided among hosts.

Two records for each budget and host say everything. The *ceiling* bounds
what the host's processes may use over all time; hosts change their own
ceiling only, and only in the state that they have read, so that the sum of
a budget's ceilings never passes what was paid. The *usage mark* says what
the host has used up to a moment and how fast it may go on without saying
more. A process that starts on a host therefore knows a bound on what its
dead predecessor used.
"""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from msgspec import Struct

# A host's time of day may jump by seconds; it is believed within this.
CLOCK_ERROR_S = 4.0
SAME_BOOT_S = 0.2


class Moment(NamedTuple):
    """A time on a host, in seconds of both of its clocks.

    The monotonic clock begins anew when the host starts.
    """

    monotonic: float
    wall: float

    def max_elapsed_s(self, earlier: 'Moment') -> float:
        """Return the most time that may have passed since another moment.

        Where the clocks moved apart, one jumped or the host was restarted.
        """
        passed = self.monotonic - earlier.monotonic
        by_wall = self.wall - earlier.wall
        if abs(passed - by_wall) <= SAME_BOOT_S:
            return max(passed, 0)
        return max(by_wall, 0) + CLOCK_ERROR_S


class Ceiling(Struct, frozen=True, array_like=True):
    """The most that the processes of a host may ever use of a budget."""

    budget: str
    host: str
    tokens: int


class UsageMark(Struct, frozen=True, array_like=True):
    """What a host has used of a budget, and how much more it may use.

    :param used: tokens delivered and reserved, over all processes of the host
    :param burst: tokens that may be used beyond ``used`` at once
    :param speed: further tokens a second that may be used without a new mark
    :param span_s: time after which ``speed`` adds no more, in seconds
    :param at: when the mark was made, on the host's clocks
    :param rate: tokens a second that the host used lately
    :param wanted: tokens that waiting requests miss
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
        """Return the most that may be used some seconds after the mark."""
        grown = self.allowed_rate * min(passed_s, self.span_s)
        return self.used + self.burst + grown


class Share(NamedTuple):
    """A host's part of a budget, as far as it is known."""

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
    """Keeps the newest ceilings and usage marks of all hosts."""

    def __init__(self) -> None:
        """Start with no budget."""
        self._ceilings: dict[str, dict[str, int]] = {}
        self._marks: dict[str, dict[str, UsageMark]] = {}

    def set_ceiling(self, ceiling: Ceiling) -> None:
        """Take the newest ceiling of a host."""
        by_host = self._ceilings.setdefault(ceiling.budget, {})
        by_host[ceiling.host] = ceiling.tokens

    def set_mark(self, mark: UsageMark) -> None:
        """Take the newest usage mark of a host."""
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
        """Return the parts of all hosts that have said anything."""
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
    """Return the most that a host's earlier processes can have used.

    :param mark: the newest usage mark of the host
    :param ceiling: the newest ceiling of the host
    :param now: time on the host after the earlier process was proved dead
    """
    if mark is None:
        # Nothing may be used before a mark stands in the store.
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
