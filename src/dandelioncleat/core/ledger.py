"""The ledger: a fold over top-ups, grants, returns and bills.

A budget's outstanding grants, bills and waste never exceed its top-ups, also
if records are repeated or late. The only exception is a bill for tokens that
were freed before it; it is charged and counted as late.
"""

import msgspec

from dandelioncleat.core.account import Account, Accounts, Balance, OpenGrant
from dandelioncleat.core.billed_runs import BilledRuns, Billing, Period
from dandelioncleat.core.draws import distribute
from dandelioncleat.core.identity import (
    BudgetId,
    Draw,
    GrantId,
    Incarnation,
    RunId,
)
from dandelioncleat.core.ledger_verdict import (
    Added,
    Billed,
    Denied,
    Freed,
    Granted,
    LedgerVerdict,
    Repeated,
    Returned,
    Void,
    Wasted,
)
from dandelioncleat.core.record import (
    Bill,
    CompleteRetirement,
    LedgerRecord,
    ReleaseHolder,
    RequestGrant,
    ReturnGrant,
    TopUp,
)


class _Snapshot(msgspec.Struct, array_like=True):
    """The encoded form of the ledger's state."""

    accounts: dict[BudgetId, Account]
    grants: dict[Incarnation, dict[int, OpenGrant]]
    highest: dict[Incarnation, int]
    completed: dict[Incarnation, float]
    billed: list[Period]


class LedgerFold:
    """Applies ledger records to accounts, open grants and billed runs."""

    def __init__(self) -> None:
        """Start with no budget."""
        self.accounts = Accounts()
        self.completed_at_by_holder: dict[Incarnation, float] = {}
        self._highest_by_holder: dict[Incarnation, int] = {}
        self._billed_runs = BilledRuns()

    def apply(
        self,
        offset: int,
        appended_at: float,
        producer: Incarnation,
        record: LedgerRecord,
    ) -> LedgerVerdict:
        """Apply one record and return its verdict."""
        match record:
            case TopUp():
                return self._top_up(record)
            case RequestGrant():
                return self._grant(record)
            case ReturnGrant():
                return self._return(record)
            case Bill():
                return self._bill(record, appended_at)
            case CompleteRetirement() | ReleaseHolder():
                return self._free(record.holder, appended_at)

    def balance(self, budget: BudgetId) -> Balance:
        """Return the totals of a budget, zeros for an unknown one."""
        return self.accounts.balance(budget)

    def has_reference(self, budget: BudgetId, reference: str) -> bool:
        """Return whether a top-up with this reference was added."""
        account = self.accounts.by_budget.get(budget)
        return account is not None and reference in account.references

    def has_billed_run(self, run: RunId) -> bool:
        """Return whether a bill of this run was read."""
        return self._billed_runs.contains(run)

    def snapshot(self) -> bytes:
        """Encode the state for a checkpoint."""
        return msgspec.msgpack.encode(
            _Snapshot(
                self.accounts.by_budget,
                self.accounts.grants_by_holder,
                self._highest_by_holder,
                self.completed_at_by_holder,
                self._billed_runs.snapshot(),
            ),
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a checkpoint."""
        state = msgspec.msgpack.decode(data, type=_Snapshot)
        self.accounts.by_budget = state.accounts
        self.accounts.grants_by_holder = state.grants
        self._highest_by_holder = state.highest
        self.completed_at_by_holder = state.completed
        self._billed_runs.restore(state.billed)

    def _top_up(self, record: TopUp) -> LedgerVerdict:
        if record.tokens <= 0:
            return Void('a top-up adds tokens')
        if self.accounts.top_up(record.budget, record.tokens, record.reference):
            return Added(record.tokens)
        return Repeated()

    def _grant(self, record: RequestGrant) -> LedgerVerdict:
        holder, number = record.grant
        if holder in self.completed_at_by_holder:
            return Void('the holder is retired')
        if number <= self._highest_by_holder.get(holder, 0):
            return Void('the grant number was used')
        left = self.balance(record.budget).left
        tokens = min(record.tokens, left)
        if tokens < max(record.least, 1):
            return Denied(left)
        self._highest_by_holder[holder] = number
        self.accounts.grant(record.grant, record.budget, tokens)
        return Granted(record.grant, tokens)

    def _return(self, record: ReturnGrant) -> LedgerVerdict:
        returned = self.accounts.take(record.grant, max(record.tokens, 0))
        if returned:
            return Returned(returned)
        return Void('the grant has ended')

    def _bill(self, record: Bill, appended_at: float) -> LedgerVerdict:
        if record.tokens < 0:
            return Void('a bill is never negative')
        match self._billed_runs.note(record.run, appended_at):
            case Billing.FIRST:
                late = self._charge(record, wasted=False)
                return Billed(record.tokens, late)
            case Billing.SECOND_RUN:
                late = self._charge(record, wasted=True)
                return Wasted(record.tokens, late)
            case Billing.REPEATED:
                return Repeated()

    def _charge(self, record: Bill, *, wasted: bool) -> int:
        charge = self.accounts.waste if wasted else self.accounts.bill
        total_late = 0
        for draw in distribute(record.draws or _no_draw(record), record.tokens):
            grant = self.accounts.grant_of(draw.grant)
            budget = record.budget if grant is None else grant.budget
            late = draw.tokens - self.accounts.take(draw.grant, draw.tokens)
            charge(budget, draw.tokens, late)
            total_late += late
        return total_late

    def _free(self, holder: Incarnation, appended_at: float) -> LedgerVerdict:
        if holder in self.completed_at_by_holder:
            return Repeated()
        self.completed_at_by_holder[holder] = appended_at
        self._highest_by_holder.pop(holder, None)
        return Freed(self.accounts.free(holder))


def _no_draw(record: Bill) -> tuple[Draw, ...]:
    return (Draw(GrantId(record.source, 0), record.tokens),)
