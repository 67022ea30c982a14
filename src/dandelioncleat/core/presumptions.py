"""What had to be presumed used of the processes that a host had before.

It rests on how long ago their newest marks were written. Once the time of day
is known to be right, less of it has to be presumed.
"""

from collections.abc import Mapping
from typing import NamedTuple

from dandelioncleat.core.clock_check import ClockEvidence
from dandelioncleat.core.holding import (
    CLOCK_ERROR_S,
    Moment,
    UsageMark,
    presumed_use,
)
from dandelioncleat.core.host_account import HostAccount


class Presumption(NamedTuple):
    """What an account was opened with.

    :param mark: the newest mark of the earlier process
    :param ceiling: the ceiling of the host
    :param dead_at: when the earlier process was dead
    :param used: tokens that count as used
    """

    mark: UsageMark
    ceiling: int
    dead_at: Moment
    used: int

    def unused(self, clock_error_s: float) -> int:
        """Return the tokens that were not used.

        :param clock_error_s: maximum error of the time of day in ``dead_at``
        """
        most = presumed_use(
            self.mark,
            ceiling=self.ceiling,
            dead_at=self.dead_at,
            clock_error_s=clock_error_s,
        )
        return self.used - most


class ProvenUnused(NamedTuple):
    """Tokens of a budget that no longer have to be presumed used."""

    budget: str
    tokens: int


class Presumptions:
    """Keeps presumptions until they are proved or replaced."""

    def __init__(self) -> None:
        """Start without any."""
        self._by_budget: dict[str, Presumption] = {}

    def add(self, budget: str, presumption: Presumption) -> None:
        """Keep what an account was opened with."""
        self._by_budget[budget] = presumption

    def clear(self) -> None:
        """Forget all, as other records now decide what was used."""
        self._by_budget.clear()

    def reduce(
        self,
        accounts_by_budget: Mapping[str, HostAccount],
        evidence: ClockEvidence,
    ) -> list[ProvenUnused]:
        """Free the tokens that were not used if the clock is right.

        Does nothing until that is known.
        """
        found = []
        for budget, presumption in tuple(self._by_budget.items()):
            error_s = evidence.error_s(presumption.dead_at)
            if error_s >= CLOCK_ERROR_S:
                break
            self._by_budget.pop(budget)
            tokens = presumption.unused(error_s)
            if tokens > 0:
                account = accounts_by_budget[budget]
                account.used -= tokens
                account.unproven -= tokens
                found.append(ProvenUnused(budget, tokens))
        return found
