"""The newest ceilings and usage marks of all hosts."""

from collections.abc import Iterable
from typing import NamedTuple

from dandelioncleat.core.ceiling_records import LOST_HOST, CeilingRecords
from dandelioncleat.core.holding import Ceiling, UsageMark


class Share(NamedTuple):
    """A host's known part of a budget.

    ``unproven`` is the part of ``used`` that may not have been used: what
    had to be presumed of processes that died.
    """

    host: str
    ceiling: int
    used: int
    rate: float
    wanted: int
    unproven: int = 0

    @property
    def free(self) -> int:
        """Return the tokens that the host may still use."""
        return max(0, self.ceiling - self.used)


class BudgetRecords(CeilingRecords):
    """Stores the newest ceilings and usage marks of all hosts."""

    def __init__(self) -> None:
        """Start with no budget."""
        super().__init__()
        self._marks: dict[str, dict[str, UsageMark]] = {}
        self._shares_by_budget: dict[str, tuple[Share, ...]] = {}
        self._wanting_hosts_by_budget: dict[str, set[str]] = {}

    def set_ceiling(self, ceiling: Ceiling) -> bool:
        """Store a ceiling; return ``False`` if a newer one is known."""
        self._shares_by_budget.pop(ceiling.budget, None)
        return super().set_ceiling(ceiling)

    def set_mark(self, mark: UsageMark) -> None:
        """Store the newest usage mark of a host."""
        by_host = self._marks.setdefault(mark.budget, {})
        known = by_host.get(mark.host)
        if known is not None and mark.era < self.era:
            rank = (mark.era, mark.epoch, mark.used)
            if rank <= (known.era, known.epoch, known.used):
                return
        by_host[mark.host] = mark
        self._shares_by_budget.pop(mark.budget, None)
        wanting = self._wanting_hosts_by_budget.setdefault(mark.budget, set())
        if mark.wanted:
            wanting.add(mark.host)
        else:
            wanting.discard(mark.host)

    def is_wanted_by_others(self, budget: str, host: str) -> bool:
        """Return whether requests at other hosts lack tokens of a budget."""
        wanting = self._wanting_hosts_by_budget.get(budget, set())
        return bool(wanting - {host})

    def mark(self, budget: str, host: str) -> UsageMark | None:
        """Return a host's newest usage mark."""
        return self._marks.get(budget, {}).get(host)

    def used(self, budget: str) -> int:
        """Return the sum of what all hosts have used and reserved."""
        marks = self._marks.get(budget, {}).values()
        return sum(mark.used for mark in marks)

    def shares(self, budget: str) -> tuple[Share, ...]:
        """Return the parts of all hosts that have written a record."""
        known = self._shares_by_budget.get(budget)
        if known is None:
            known = self._build_shares(budget)
            self._shares_by_budget[budget] = known
        return known

    def _build_shares(self, budget: str) -> tuple[Share, ...]:
        marks = self._marks.get(budget, {})
        ceilings = self._ceilings.get(budget, {})
        hosts = (marks.keys() | ceilings.keys()) - {LOST_HOST}
        return tuple(
            _share(host, ceilings.get(host), marks.get(host))
            for host in sorted(hosts)
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


def _share(host: str, ceiling: Ceiling | None, mark: UsageMark | None) -> Share:
    tokens = 0 if ceiling is None else ceiling.tokens
    if ceiling is not None and ceiling.is_presumed:
        proven = 0 if mark is None else mark.proven
        return Share(host, tokens, tokens, float(0), 0, tokens - proven)
    if mark is None:
        return Share(host, tokens, 0, float(0), 0)
    return Share(host, tokens, mark.used, mark.rate, mark.wanted, mark.unproven)
