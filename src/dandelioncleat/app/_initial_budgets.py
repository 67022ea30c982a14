"""Appends the initial top-up of each organisation that lacks it."""

from collections.abc import Callable

from dandelioncleat.app._shards import Shards
from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app._turns import Turns
from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.identity import BudgetId
from dandelioncleat.core.record import TopUp

INITIAL_REFERENCE = 'initial'


class InitialBudgets:
    """Brings the budgets that the configuration states into the ledger."""

    def __init__(
        self,
        *,
        configuration: Callable[[], Configuration],
        shards: Shards,
        turns: Turns,
        scope: TaskScope,
    ) -> None:
        """Take the configuration, the ledger and the routers' turns."""
        self._configuration = configuration
        self._shards = shards
        self._turns = turns
        self._scope = scope

    def add_missing(self) -> None:
        """Append missing initial top-ups if it is this router's turn."""
        organisations = self._configuration().organisations_by_name
        for name, organisation in organisations.items():
            if organisation.budget and self._is_missing(BudgetId(name)):
                self._add(BudgetId(name), organisation.budget)

    def _is_missing(self, budget: BudgetId) -> bool:
        shard = self._shards.of(budget)
        is_known = shard.fold.has_reference(budget, INITIAL_REFERENCE)
        return shard.is_available and not is_known

    def _add(self, budget: BudgetId, tokens: int) -> None:
        if self._turns.is_mine(budget):
            self._turns.restart(budget)
            top_up = TopUp(budget, tokens, INITIAL_REFERENCE)
            follower = self._shards.of(budget).follower
            self._scope.spawn(follower.submit(top_up))
