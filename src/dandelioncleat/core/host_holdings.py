"""The prepaid tokens of one host: what it may use and what it says of it."""

from collections.abc import Mapping
from typing import NamedTuple

from dandelioncleat.core.holding import (
    Ceiling,
    HoldingBook,
    Moment,
    Share,
    UsageMark,
    inherited_use,
)
from dandelioncleat.core.holding_policy import (
    Position,
    burst_of,
    next_ceiling,
    speed_of,
)
from dandelioncleat.core.wallet_account import WalletAccount

REFRESH_S = 1.0


class Need(NamedTuple):
    """The tokens that a request takes at its most."""

    request: str
    budget: str
    tokens: int


class OpenedAccount(NamedTuple):
    """With what a budget was taken over from the host's earlier process."""

    budget: str
    ceiling: int
    marked: int
    presumed_used: int
    mark_age_s: float


class HostHoldings:
    """Keeps the accounts of a host and decides on their next records."""

    def __init__(self, host: str) -> None:
        """Start with no budget."""
        self.host = host
        self.book = HoldingBook()
        self.paid_by_budget: Mapping[str, int] = {}
        self.accounts_by_budget: dict[str, WalletAccount] = {}
        self.is_closing = False

    def open_accounts(self, now: Moment) -> list[OpenedAccount]:
        """Open the accounts of budgets that have none."""
        return [
            self._open_account(budget, now)
            for budget in self.paid_by_budget
            if budget not in self.accounts_by_budget
        ]

    def try_reserve(self, need: Need, now: float) -> bool:
        """Set a request's tokens aside if that may be done now."""
        account = self.accounts_by_budget.get(need.budget)
        if account is None or self.is_closing:
            return False
        account.note_need(need.tokens)
        if not account.may_reserve(need.tokens, now):
            return False
        account.reserve(need.tokens)
        return True

    def is_exhausted(self, need: Need) -> bool:
        """Return whether what all hosts have left can't cover a request."""
        account = self.accounts_by_budget.get(need.budget)
        own = 0 if account is None else account.total
        others = sum(share.used for share in self._others(need.budget))
        paid = self.paid_by_budget.get(need.budget, 0)
        return paid - others - own < need.tokens

    def richest_others(
        self, need: Need, *, silence_s: float
    ) -> tuple[str, ...]:
        """Return the other hosts that could cover a request, best first.

        :param silence_s: time since the store was heard, in seconds
        """
        room_by_host = {
            share.host: share.room_after(silence_s)
            for share in self._others(need.budget)
        }
        able = [
            host for host, room in room_by_host.items() if room >= need.tokens
        ]
        able.sort(key=room_by_host.__getitem__, reverse=True)
        return tuple(able)

    def room_in_s(self, need: Need, now: float) -> float | None:
        """Return when the marks will let a request begin, in seconds.

        ``None`` if they never will, without more tokens.

        :param now: monotonic time of the host, in seconds
        """
        account = self.accounts_by_budget.get(need.budget)
        if account is None or need.tokens > account.free:
            return None
        mark = account.confirmed
        if mark is None or mark.speed <= 0:
            return None
        lacking = need.tokens - account.marked_room(now)
        return max(0, lacking / mark.speed)

    def due_marks(self, now: Moment, *, epoch: int) -> list[UsageMark]:
        """Return the usage marks that should be written now."""
        due = []
        for budget, account in self.accounts_by_budget.items():
            account.meter.update(account.total, now.monotonic)
            mark = self._mark(budget, account, now=now, epoch=epoch)
            if _is_due(account.confirmed, mark):
                due.append(mark)
        return due

    def due_ceilings(self, *, may_rebalance: bool) -> tuple[Ceiling, ...]:
        """Return the ceilings that should be written now.

        :param may_rebalance: whether tokens may move that nobody waits for
        """
        due = []
        for budget, account in self.accounts_by_budget.items():
            tokens = self._next_ceiling(
                budget, account, may_rebalance=may_rebalance
            )
            if tokens != account.ceiling:
                due.append(Ceiling(budget, self.host, tokens))
        return tuple(due)

    @property
    def is_given_back(self) -> bool:
        """Return whether nothing is left that others could use."""
        return all(
            account.free == 0
            and account.confirmed is not None
            and account.confirmed.speed == 0
            for account in self.accounts_by_budget.values()
        )

    def inputs_of(self, budget: str, now: float) -> dict[str, int]:
        """Return the inputs of decisions on a budget, for a log line."""
        account = self.accounts_by_budget.get(budget)
        if account is None:
            return {}
        return {
            'paid': self.paid_by_budget.get(budget, 0),
            'used_by_all': self.book.used(budget),
            'ceiling': account.ceiling,
            'free': account.free,
            'marked': int(account.marked_room(now)),
        }

    def _open_account(self, budget: str, now: Moment) -> OpenedAccount:
        ceiling = self.book.ceiling(budget, self.host)
        mark = self.book.mark(budget, self.host)
        used = inherited_use(mark, ceiling=ceiling, now=now)
        self.accounts_by_budget[budget] = WalletAccount(
            ceiling=ceiling, used=used
        )
        if mark is None:
            return OpenedAccount(budget, ceiling, 0, used, float(0))
        age_s = round(now.most_since(mark.at), 3)
        return OpenedAccount(budget, ceiling, mark.used, used, age_s)

    def _mark(
        self,
        budget: str,
        account: WalletAccount,
        *,
        now: Moment,
        epoch: int,
    ) -> UsageMark:
        free = 0 if self.is_closing else account.free
        waiting = max(account.waiting_by_request.values(), default=0)
        return UsageMark(
            budget=budget,
            host=self.host,
            used=account.total,
            burst=max(
                burst_of(free, account.large_need),
                min(waiting, free),
            ),
            speed=speed_of(free, account.meter.rate),
            at=now,
            rate=round(account.meter.rate, 1),
            wanted=account.missing,
            epoch=epoch,
        )

    def _next_ceiling(
        self, budget: str, account: WalletAccount, *, may_rebalance: bool
    ) -> int:
        if self.is_closing:
            return account.total
        own = Share(
            self.host,
            account.ceiling,
            account.total,
            account.meter.rate,
            account.missing,
        )
        return next_ceiling(
            Position(
                paid=self.paid_by_budget.get(budget, 0),
                claimed=self.book.claimed(budget),
                own=own,
                others=self._others(budget),
                waiting=account.waiting,
                may_rebalance=may_rebalance,
            )
        )

    def _others(self, budget: str) -> tuple[Share, ...]:
        shares = self.book.shares(budget)
        return tuple(share for share in shares if share.host != self.host)


def _is_due(confirmed: UsageMark | None, mark: UsageMark) -> bool:
    if confirmed is None:
        return True
    said = (mark.used, mark.burst, mark.wanted)
    if said != (confirmed.used, confirmed.burst, confirmed.wanted):
        return True
    is_old = mark.at.monotonic - confirmed.at.monotonic > REFRESH_S
    return is_old and (mark.speed > 0 or confirmed.speed > 0)
