"""The newest ceilings of all hosts.

The store may come back from a copy that lacks its newest records. Until all
hosts have written theirs again in the new era, the higher of what a process
remembers and what the store has kept counts for each host.
"""

from dandelioncleat.core.holding import Ceiling

# A host's record under this budget says that it may hold tokens of any budget.
REGISTRATION = ''
# Tokens that processes may have used whose records were lost. No host has
# this name.
LOST_HOST = ''


class CeilingRecords:
    """Stores the newest ceilings; ``era`` is that of the store."""

    def __init__(self) -> None:
        """Start with no budget."""
        self.era = 0
        self._ceilings: dict[str, dict[str, Ceiling]] = {}
        self._claimed_by_budget: dict[str, int] = {}
        self._outdated_keys: set[tuple[str, str]] = set()

    def begin_era(self, era: int) -> None:
        """Treat all records as not confirmed in a new era."""
        if era <= self.era:
            return
        self.era = era
        self._outdated_keys = {
            (budget, host)
            for budget, by_host in self._ceilings.items()
            for host in by_host
        }

    def set_ceiling(self, ceiling: Ceiling) -> bool:
        """Store a ceiling; return ``False`` if a newer one is known."""
        by_host = self._ceilings.setdefault(ceiling.budget, {})
        known = by_host.get(ceiling.host)
        if known is not None and self._is_outdated(ceiling, known):
            return False
        by_host[ceiling.host] = ceiling
        self._claim(ceiling, known)
        key = (ceiling.budget, ceiling.host)
        if ceiling.era < self.era:
            self._outdated_keys.add(key)
        else:
            self._outdated_keys.discard(key)
        return True

    def ceiling(self, budget: str, host: str) -> int:
        """Return a host's ceiling."""
        record = self.ceiling_record(budget, host)
        return 0 if record is None else record.tokens

    def ceiling_record(self, budget: str, host: str) -> Ceiling | None:
        """Return the newest ceiling record of a host."""
        return self._ceilings.get(budget, {}).get(host)

    def ceilings_of(self, host: str) -> tuple[Ceiling, ...]:
        """Return a host's ceilings of all budgets, without its registration."""
        found = (
            by_host.get(host)
            for budget, by_host in self._ceilings.items()
            if budget != REGISTRATION
        )
        return tuple(each for each in found if each is not None)

    def registration(self, host: str) -> Ceiling | None:
        """Return a host's registration."""
        return self.ceiling_record(REGISTRATION, host)

    def unconfirmed_hosts(self) -> tuple[str, ...]:
        """Return the hosts that have not written in the store's era."""
        outdated = {host for _, host in self._outdated_keys}
        return tuple(sorted(outdated - {LOST_HOST}))

    def has_presumed_hosts(self) -> bool:
        """Return whether the records of some host were lost for good."""
        registrations = self._ceilings.get(REGISTRATION, {}).values()
        return any(each.is_presumed for each in registrations)

    def claimed(self, budget: str) -> int:
        """Return the sum of the ceilings of all hosts."""
        return self._claimed_by_budget.get(budget, 0)

    def _claim(self, ceiling: Ceiling, known: Ceiling | None) -> None:
        """Replace a ceiling in the sum of its budget."""
        claimed = self.claimed(ceiling.budget) + ceiling.tokens
        if known is not None:
            claimed -= known.tokens
        self._claimed_by_budget[ceiling.budget] = claimed

    def _is_outdated(self, ceiling: Ceiling, known: Ceiling) -> bool:
        if ceiling.host == LOST_HOST and known.era < self.era:
            # Whoever remembers more writes it again.
            return ceiling.tokens < known.tokens
        if ceiling.era == self.era:
            return False
        # Restored from a copy, or appended late.
        rank = (known.era == self.era, known.tokens)
        return (False, ceiling.tokens) < rank
