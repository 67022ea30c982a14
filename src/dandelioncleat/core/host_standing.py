"""Whether a host may raise its ceilings, and what a restored store needs.

A raise rests on the ceilings of all other hosts. A store that came back from a
copy lacks the newest ones, so in each era of the store every host first writes
its ceilings again. For a host whose process died nobody can: others presume
its ceilings, and set aside all tokens that it may have raised them by.
"""

from collections.abc import Mapping

from msgspec.structs import replace

from dandelioncleat.core.ceiling_records import (
    LOST_HOST,
    REGISTRATION,
    CeilingRecords,
)
from dandelioncleat.core.holding import Ceiling

# Time for hosts that are alive to write their ceilings again.
PRESUME_AFTER_S = 5.0


class HostStanding:
    """Keeps what one host has confirmed in the store's current era.

    ``is_successor_of_lost`` says that the records of the host's earlier
    process may be lost, so that its ceilings must be presumed. ``is_hidden``
    says that a late append now stands over a newer record of the host.
    """

    def __init__(self, host: str, records: CeilingRecords) -> None:
        """Initialise with the ceilings of all hosts."""
        self.is_successor_of_lost = False
        self.is_hidden = False
        self._host = host
        self._records = records
        self._is_presumed = False
        self._raises_from = float('-inf')
        self._unsettled_since: float | None = None

    def open(self, now: float, *, copy_age_s: float) -> None:
        """Take over from the host's earlier process.

        A new host waits until its registration is in every copy that the
        store may be restored from.

        :param now: monotonic time in seconds
        :param copy_age_s: maximum age of such a copy, in seconds
        """
        registration = self._records.registration(self._host)
        is_known = registration is not None or bool(
            self._records.ceilings_of(self._host)
        )
        self.is_successor_of_lost = (
            self._host in self._records.unconfirmed_hosts()
        )
        if registration is not None:
            self._is_presumed = registration.is_presumed
        if not is_known:
            self._raises_from = now + copy_age_s

    @property
    def is_confirmed(self) -> bool:
        """Return whether all of the host's records are of the store's era."""
        registration = self._records.registration(self._host)
        if self.is_hidden or registration is None:
            return False
        if registration.era < self._records.era:
            return False
        return all(
            each.era == self._records.era and not each.is_presumed
            for each in self._records.ceilings_of(self._host)
        )

    def may_raise(self, now: float) -> bool:
        """Return whether the host may raise its ceilings."""
        if now < self._raises_from or self.is_successor_of_lost:
            return False
        if not self.is_confirmed:
            return False
        return not self._records.unconfirmed_hosts()

    def assertion(self, ceilings_by_budget: Mapping[str, int]) -> list[Ceiling]:
        """Return the records that confirm the host's ceilings in this era.

        Empty if they are confirmed, or if only others can presume them.

        :param ceilings_by_budget: what the process knows that it may use
        """
        if self.is_successor_of_lost or self.is_confirmed:
            return []
        era = self._records.era
        known = {
            each.budget: each.tokens
            for each in self._records.ceilings_of(self._host)
        }
        tokens_by_budget = {**known, **ceilings_by_budget}
        ceilings = [
            Ceiling(budget, self._host, tokens, era)
            for budget, tokens in tokens_by_budget.items()
        ]
        ceilings.extend(self._set_aside(tokens_by_budget))
        ceilings.append(
            Ceiling(REGISTRATION, self._host, 0, era, self._is_presumed)
        )
        return ceilings

    def presumption(
        self, paid_by_budget: Mapping[str, int], now: float
    ) -> list[Ceiling]:
        """Return the records that presume the ceilings of silent hosts.

        Empty unless they have been silent for ``PRESUME_AFTER_S``.

        :param now: monotonic time in seconds
        """
        silent = self._records.unconfirmed_hosts()
        if not silent or not (self.is_confirmed or self.is_successor_of_lost):
            self._unsettled_since = None
            return []
        if self._unsettled_since is None:
            self._unsettled_since = now
        if now - self._unsettled_since < PRESUME_AFTER_S:
            return []
        era = self._records.era
        ceilings = [
            Ceiling(budget, LOST_HOST, self._unclaimed(budget, paid), era)
            for budget, paid in paid_by_budget.items()
        ]
        for host in silent:
            ceilings.extend(
                replace(each, era=era, is_presumed=True)
                for each in self._records.ceilings_of(host)
            )
            ceilings.append(Ceiling(REGISTRATION, host, 0, era, True))
        return ceilings

    def accept_presumption(self) -> bool:
        """Return whether the host's own ceilings have now been presumed."""
        registration = self._records.registration(self._host)
        if not self.is_successor_of_lost or registration is None:
            return False
        if registration.era < self._records.era:
            return False
        self.is_successor_of_lost = False
        self._is_presumed = True
        return True

    def released(self) -> list[Ceiling]:
        """Return the records that free what was set aside needlessly.

        That is so once every host has confirmed its ceilings by itself.
        """
        records = self._records
        if not self.is_confirmed or records.unconfirmed_hosts():
            return []
        if records.has_presumed_hosts():
            return []
        return [
            Ceiling(each.budget, LOST_HOST, 0, records.era)
            for each in records.ceilings_of(LOST_HOST)
            if each.tokens > 0
        ]

    def _unclaimed(self, budget: str, paid: int) -> int:
        """Return the tokens to set aside: all that no ceiling covers."""
        own = self._records.ceiling(budget, LOST_HOST)
        return max(own, own + paid - self._records.claimed(budget))

    def _set_aside(self, tokens_by_budget: Mapping[str, int]) -> list[Ceiling]:
        """Return what stays set aside if the host was presumed wrongly.

        Other hosts that were presumed with it may hold what it does not.
        """
        era = self._records.era
        ceilings = []
        for each in self._records.ceilings_of(LOST_HOST):
            tokens = each.tokens
            own = self._records.ceiling_record(each.budget, self._host)
            if own is not None and own.is_presumed:
                freed = own.tokens - tokens_by_budget[each.budget]
                tokens += max(0, freed)
            if tokens != each.tokens or each.era < era:
                ceilings.append(Ceiling(each.budget, LOST_HOST, tokens, era))
        return ceilings
