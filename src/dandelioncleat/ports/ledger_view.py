"""Access of operators to the ledger, across its shards."""

from typing import Protocol

from dandelioncleat.core.identity import BudgetId, Incarnation
from dandelioncleat.core.operator_view import BudgetView


class LedgerView(Protocol):
    """Reads the shards and appends to them.

    Appends raise ``FailureError`` with code ``log`` if no verdict was read
    back in time; the ledger may contain the record nevertheless.
    """

    def budgets(self) -> tuple[BudgetView, ...]:
        """Return every budget of the ledger, by name."""

    def holdings(self) -> dict[Incarnation, dict[BudgetId, int]]:
        """Return the tokens held, by holder and budget."""

    async def top_up(
        self,
        budget: BudgetId,
        tokens: int,
        reference: str,
    ) -> bool:
        """Add tokens; return false if the reference was used already."""

    async def release(self, holder: Incarnation, operator: str) -> int:
        """Free a holder's tokens; return the number of tokens freed."""
