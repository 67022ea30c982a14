"""The accounts of budgets and the open grants of holders."""

from typing import NamedTuple

import msgspec

from dandelioncleat.core.identity import BudgetId, GrantId, Incarnation


class Balance(NamedTuple):
    """The totals of a budget, in tokens.

    ``late`` is the part of bills and waste that no open grant covered.
    """

    topped_up: int = 0
    outstanding: int = 0
    billed: int = 0
    wasted: int = 0
    late: int = 0

    @property
    def left(self) -> int:
        """Return the tokens that can still be granted."""
        return self.topped_up - self.outstanding - self.billed - self.wasted


class Account(msgspec.Struct, array_like=True):
    """The totals of a budget and the references of its top-ups."""

    balance: Balance = Balance()
    references: list[str] = msgspec.field(default_factory=list)


class OpenGrant(NamedTuple):
    """A grant with tokens that are neither returned nor billed."""

    budget: BudgetId
    granted: int
    tokens: int


class Accounts:
    """Updates accounts and grants together so that their totals agree."""

    def __init__(self) -> None:
        """Start with no budget."""
        self.by_budget: dict[BudgetId, Account] = {}
        self.grants_by_holder: dict[Incarnation, dict[int, OpenGrant]] = {}

    def get_or_create(self, budget: BudgetId) -> Account:
        """Return the account of a budget, creating it if needed."""
        return self.by_budget.setdefault(budget, Account())

    def balance(self, budget: BudgetId) -> Balance:
        """Return the totals of a budget, zeros for an unknown one."""
        account = self.by_budget.get(budget)
        return Balance() if account is None else account.balance

    def top_up(self, budget: BudgetId, tokens: int, reference: str) -> bool:
        """Add tokens; return whether the reference is new."""
        account = self.get_or_create(budget)
        if reference in account.references:
            return False
        account.references.append(reference)
        self._add(budget, topped_up=tokens)
        return True

    def grant(self, name: GrantId, budget: BudgetId, tokens: int) -> None:
        """Open a grant."""
        self._add(budget, outstanding=tokens)
        grants = self.grants_by_holder.setdefault(name.holder, {})
        grants[name.number] = OpenGrant(budget, tokens, tokens)

    def grant_of(self, name: GrantId) -> OpenGrant | None:
        """Return a grant, ``None`` if it has ended."""
        return self.grants_by_holder.get(name.holder, {}).get(name.number)

    def open_grants(self, holder: Incarnation) -> tuple[OpenGrant, ...]:
        """Return the grants of a holder that have not ended."""
        return tuple(self.grants_by_holder.get(holder, {}).values())

    def take(self, name: GrantId, tokens: int) -> int:
        """Take at most ``tokens`` out of a grant; return how many."""
        grant = self.grant_of(name)
        if grant is None:
            return 0
        taken = min(tokens, grant.tokens)
        self._add(grant.budget, outstanding=-taken)
        grants = self.grants_by_holder[name.holder]
        grants[name.number] = grant._replace(tokens=grant.tokens - taken)
        if taken == grant.tokens:
            self._end_grant(name)
        return taken

    def bill(self, budget: BudgetId, tokens: int, late: int) -> None:
        """Charge a bill to a budget."""
        self._add(budget, billed=tokens, late=late)

    def waste(self, budget: BudgetId, tokens: int, late: int) -> None:
        """Charge a repeated run of a billed request to a budget."""
        self._add(budget, wasted=tokens, late=late)

    def free(self, holder: Incarnation) -> int:
        """End all grants of a holder; return the tokens that they held."""
        freed = 0
        for grant in self.grants_by_holder.pop(holder, {}).values():
            self._add(grant.budget, outstanding=-grant.tokens)
            freed += grant.tokens
        return freed

    def _end_grant(self, name: GrantId) -> None:
        grants = self.grants_by_holder[name.holder]
        grants.pop(name.number)
        if not grants:
            self.grants_by_holder.pop(name.holder)

    def _add(self, budget: BudgetId, **tokens_by_field: int) -> None:
        account = self.get_or_create(budget)
        old = account.balance._asdict()
        new = {name: old[name] + part for name, part in tokens_by_field.items()}
        account.balance = account.balance._replace(**new)
