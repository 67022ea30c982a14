"""The prepaid tokens of one host, and the records that it writes."""

from collections.abc import Mapping
from typing import NamedTuple

from dandelioncleat.core.budget_records import BudgetRecords, Share
from dandelioncleat.core.clock_check import ClockEvidence
from dandelioncleat.core.holding import (
    CLOCK_ERROR_S,
    Ceiling,
    Moment,
    UsageMark,
    presumed_use,
)
from dandelioncleat.core.holding_policy import (
    AllowanceInputs,
    CeilingInputs,
    allowance,
    next_ceiling,
)
from dandelioncleat.core.host_account import HostAccount
from dandelioncleat.core.host_choice import HostChoice
from dandelioncleat.core.host_standing import HostStanding
from dandelioncleat.core.presumptions import Presumption, Presumptions
from dandelioncleat.core.round_trip import RoundTripMean
from dandelioncleat.core.stable_hash import stable_hash

MARK_REFRESH_S = 1.0
# A host with this many times a request's need likely still has it.
AMPLE_NEEDS = 2


class TokenNeed(NamedTuple):
    """The maximum tokens that a request may use."""

    request: str
    budget: str
    tokens: int


class Balance(NamedTuple):
    """The tokens of a budget that are left on all hosts together.

    :param certain: what is left if all was used that had to be presumed
    :param possible: what is left if none of that was used
    """

    certain: int
    possible: int


class OpenedAccount(NamedTuple):
    """The state that a budget's account takes over at a process start.

    ``unproven`` is the part of ``presumed_used`` that may not have been used.
    """

    budget: str
    ceiling: int
    marked: int
    presumed_used: int
    unproven: int
    mark_age_s: float


class HostHoldings:
    """Keeps the accounts of a host and computes their next records.

    ``is_ending`` drops the allowance for an outage and releases what no request
    waits for, since the process stops soon and gets no forwarded requests any
    more; ``is_closing`` releases all that is left, once nothing runs.
    ``round_trip`` measures the store's confirmations of marks,
    ``clock_evidence`` says whether the host's time of day is right.
    """

    def __init__(
        self,
        host: str,
        holders: HostChoice,
        clock_evidence: ClockEvidence | None = None,
    ) -> None:
        """Start with no budget.

        :param holders: which hosts should hold tokens
        :param clock_evidence: checks of the host's time of day
        """
        self.host = host
        self.records = BudgetRecords()
        self.standing = HostStanding(host, self.records)
        self.paid_by_budget: Mapping[str, int] = {}
        self.holders = holders
        self.accounts_by_budget: dict[str, HostAccount] = {}
        self.is_closing = False
        self.is_ending = False
        self.round_trip = RoundTripMean()
        self.clock_evidence = clock_evidence or ClockEvidence()
        self.presumptions = Presumptions()

    def open_accounts(self, started_at: Moment) -> list[OpenedAccount]:
        """Open the accounts of budgets that have none.

        :param started_at: when the host's earlier process was dead
        """
        return [
            self._open_account(budget, started_at)
            for budget in self.paid_by_budget
            if budget not in self.accounts_by_budget
        ]

    def try_reserve(self, need: TokenNeed, now: float) -> bool:
        """Reserve a request's tokens if its account allows that now."""
        account = self.accounts_by_budget.get(need.budget)
        if account is None or self.is_closing:
            return False
        account.note_need(need.tokens)
        if not account.may_reserve(need.tokens, now):
            return False
        account.reserve(need.tokens)
        return True

    def balance(self, budget: str) -> Balance:
        """Return the tokens of a budget that are left on all hosts."""
        account = self.accounts_by_budget.get(budget)
        used = 0 if account is None else account.total
        unproven = 0 if account is None else account.unproven
        for share in self._others(budget):
            used += share.used
            unproven += share.unproven
        left = self.paid_by_budget.get(budget, 0) - used
        return Balance(left, left + unproven)

    def others_with_free_tokens(self, need: TokenNeed) -> tuple[str, ...]:
        """Return the other hosts that can cover a request, best first.

        In a large fleet hosts with ample tokens are spread by the request, as
        many hosts see the same numbers, which are some moments old.
        """
        able = [
            share
            for share in self._others(need.budget)
            if share.free >= need.tokens
        ]
        if self.holders.is_selective:
            able.sort(
                key=lambda share: (
                    share.free < AMPLE_NEEDS * need.tokens,
                    stable_hash(need.request + share.host),
                )
            )
        else:
            able.sort(key=lambda share: share.free, reverse=True)
        return tuple(share.host for share in able)

    def due_marks(self, now: Moment, *, epoch: int) -> list[UsageMark]:
        """Return the usage marks that should be written now."""
        due = []
        for budget, account in self.accounts_by_budget.items():
            if _is_unused(account):
                continue
            account.meter.update(account.total, now.monotonic)
            mark = self._mark(budget, account, now=now, epoch=epoch)
            if _is_due(account, mark):
                due.append(mark)
        return due

    def due_confirmations(self, now: float) -> tuple[Ceiling, ...]:
        """Return the records that a new era of the store needs.

        :param now: monotonic time of the host, in seconds
        """
        tokens_by_budget = {
            budget: account.ceiling
            for budget, account in self.accounts_by_budget.items()
        }
        return tuple(
            self.standing.assertion(tokens_by_budget)
            or self.standing.presumption(self.paid_by_budget, now)
            or self.standing.released()
        )

    def accept_presumption(self) -> bool:
        """Take over the ceilings that were presumed for the host, if any."""
        if not self.standing.accept_presumption():
            return False
        self.presumptions.clear()
        for budget, account in self.accounts_by_budget.items():
            account.presume_used(self.records.ceiling(budget, self.host))
        return True

    def due_ceilings(
        self, now: float, *, may_rebalance: bool
    ) -> tuple[Ceiling, ...]:
        """Return the ceilings that should be written now.

        :param now: monotonic time of the host, in seconds
        :param may_rebalance: whether tokens may move although no request waits
        """
        if not (self.is_closing or self.standing.may_raise(now)):
            return ()
        due = []
        for budget, account in self.accounts_by_budget.items():
            tokens = self._next_ceiling(
                budget, account, may_rebalance=may_rebalance
            )
            if tokens != account.ceiling:
                due.append(Ceiling(budget, self.host, tokens, self.records.era))
        return tuple(due)

    @property
    def is_released(self) -> bool:
        """Return whether all unused tokens are released to other hosts."""
        return all(
            _is_unused(account)
            or (
                account.free == 0
                and account.confirmed is not None
                and _extra_allowance(account.confirmed) == 0
            )
            for account in self.accounts_by_budget.values()
        )

    def _open_account(self, budget: str, started_at: Moment) -> OpenedAccount:
        ceiling = self.records.ceiling(budget, self.host)
        mark = self.records.mark(budget, self.host)
        is_newest = _is_newest(self, budget, mark)
        used = presumed_use(
            mark, ceiling=ceiling, dead_at=started_at, is_newest=is_newest
        )
        if mark is not None and is_newest:
            self.presumptions.add(
                budget, Presumption(mark, ceiling, started_at, used)
            )
        unproven = used if mark is None else used - mark.proven
        self.accounts_by_budget[budget] = HostAccount(
            ceiling=ceiling, used=used, unproven=unproven
        )
        if mark is None:
            return OpenedAccount(budget, ceiling, 0, used, unproven, float(0))
        age_s = round(started_at.max_elapsed_s(mark.at), 3)
        return OpenedAccount(budget, ceiling, mark.used, used, unproven, age_s)

    def _mark(
        self,
        budget: str,
        account: HostAccount,
        *,
        now: Moment,
        epoch: int,
    ) -> UsageMark:
        free = 0 if self.is_closing else account.free
        clock_error_s = self.clock_evidence.error_s(now)
        allowed = allowance(
            AllowanceInputs(
                free,
                account.meter.rate,
                account.large_need,
                self.round_trip.mean_s,
                is_one_of_few=self.holders.is_selective,
                is_clock_checked=clock_error_s < CLOCK_ERROR_S,
            )
        )
        if self.is_ending:
            allowed = allowed._replace(burst=0, allowed_rate=float(0))
        waiting = max(account.waiting_by_request.values(), default=0)
        return UsageMark(
            budget=budget,
            host=self.host,
            used=account.total,
            burst=max(allowed.burst, min(waiting, free)),
            allowed_rate=allowed.allowed_rate,
            at=now,
            rate=round(account.meter.rate, 1),
            wanted=account.missing,
            epoch=epoch,
            span_s=allowed.span_s,
            era=self.records.era,
            reserved=account.reserved,
            unproven=account.unproven,
            clock_error_s=clock_error_s,
        )

    def _next_ceiling(
        self, budget: str, account: HostAccount, *, may_rebalance: bool
    ) -> int:
        if self.is_closing:
            return account.total
        is_holder = not self.is_ending
        is_holder &= self.holders.includes(budget, self.host)
        if is_holder and not may_rebalance and _is_settled(self, budget):
            return account.ceiling
        own = Share(
            self.host,
            account.ceiling,
            account.total,
            account.meter.rate,
            account.missing,
        )
        # A host that should hold nothing returns what it has in any case.
        others: tuple[Share, ...] = ()
        if is_holder:
            others = tuple(
                share
                for share in self._others(budget)
                if share.free or self.holders.includes(budget, share.host)
            )
        return next_ceiling(
            CeilingInputs(
                paid=self.paid_by_budget.get(budget, 0),
                claimed=self.records.claimed(budget),
                own=own,
                others=others,
                waiting=account.waiting,
                may_rebalance=may_rebalance,
                is_holder=is_holder,
                holders=self.holders.holders,
            )
        )

    def _others(self, budget: str) -> tuple[Share, ...]:
        shares = self.records.shares(budget)
        return tuple(share for share in shares if share.host != self.host)


def is_better_forwarded(holdings: HostHoldings, need: TokenNeed) -> bool:
    """Return whether a request's tokens would have to be moved here.

    That is so at a host that should hold none, and if neither the host nor
    the unclaimed tokens cover the request, but another host does. A small
    fleet moves the tokens: each of its hosts needs a part for what follows.
    """
    if not holdings.holders.is_selective:
        return False
    budget = need.budget
    if holdings.is_ending:
        return True
    if not holdings.holders.includes(budget, holdings.host):
        return True
    unclaimed = holdings.paid_by_budget.get(budget, 0)
    unclaimed -= holdings.records.claimed(budget)
    free = holdings.accounts_by_budget[budget].free
    if need.tokens <= free + max(0, unclaimed):
        return False
    return bool(holdings.others_with_free_tokens(need))


def budget_inputs(
    holdings: HostHoldings, budget: str, now: float
) -> dict[str, int]:
    """Return the inputs of decisions on a budget, as log fields.

    :param now: monotonic time of the host, in seconds
    """
    account = holdings.accounts_by_budget.get(budget)
    if account is None:
        return {}
    return {
        'paid': holdings.paid_by_budget.get(budget, 0),
        'used_by_all': holdings.records.used(budget),
        'left_at_most': holdings.balance(budget).possible,
        'ceiling': account.ceiling,
        'free': account.free,
        'marked': int(account.headroom(now)),
        'era': holdings.records.era,
    }


def _is_settled(holdings: HostHoldings, budget: str) -> bool:
    """Return whether only a rebalance could change the host's ceiling.

    Each record of each host asks for that, so it must cost little.
    """
    if holdings.accounts_by_budget[budget].missing:
        return False
    paid = holdings.paid_by_budget.get(budget, 0)
    if holdings.records.claimed(budget) > paid:
        return False
    return not holdings.records.is_wanted_by_others(budget, holdings.host)


def _is_newest(
    holdings: HostHoldings, budget: str, mark: UsageMark | None
) -> bool:
    """Return whether the store can't have lost newer records of the host."""
    if holdings.standing.is_successor_of_lost:
        return False
    records = holdings.records
    record = records.ceiling_record(budget, holdings.host)
    if record is None or record.tokens == 0:
        return True
    if record.is_presumed or record.era < records.era:
        return False
    if mark is None:
        # The earlier process may have confirmed its ceiling in the new era, and
        # died before it wrote its mark again.
        return records.era == 0
    return mark.era == records.era


def _is_due(account: HostAccount, mark: UsageMark) -> bool:
    confirmed = account.confirmed
    if confirmed is None or confirmed.era != mark.era:
        return True
    if _stated_use(mark) != _stated_use(confirmed):
        return True
    if _unblocks_request(account, mark.at.monotonic):
        return True
    if _releases_allowance(mark, confirmed):
        return True
    is_old = mark.at.monotonic - confirmed.at.monotonic > MARK_REFRESH_S
    return is_old and (
        _extra_allowance(mark) > 0 or _extra_allowance(confirmed) > 0
    )


def _stated_use(mark: UsageMark) -> tuple[int, int, int]:
    return mark.used, mark.wanted, mark.reserved


def _releases_allowance(mark: UsageMark, confirmed: UsageMark) -> bool:
    """Return whether a mark ends an allowance; a stop waits for that."""
    return _extra_allowance(mark) == 0 and _extra_allowance(confirmed) > 0


def _is_unused(account: HostAccount) -> bool:
    """Return whether nothing was ever held, used or wanted here."""
    if account.confirmed is not None or account.sent is not None:
        return False
    return not (account.ceiling or account.total or account.waiting)


def _unblocks_request(account: HostAccount, now: float) -> bool:
    """Return whether a new mark would permit a waiting request."""
    room = account.headroom(now)
    waiting = account.waiting_by_request.values()
    return any(room < tokens <= account.free for tokens in waiting)


def _extra_allowance(mark: UsageMark) -> float:
    """Return what a mark allows beyond the tokens used."""
    return mark.burst + mark.allowed_rate
