"""The operations that any router offers to operators."""

from collections.abc import Callable

from dandelioncleat.app.budget_operations import BudgetOperations
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.configuration_operations import ConfigurationOperations
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.fleet_status import FleetStatus
from dandelioncleat.core.configuration import CredentialHash
from dandelioncleat.core.credential import CredentialIndex, verify_key
from dandelioncleat.core.message import Status
from dandelioncleat.ports.ledger_view import LedgerView
from dandelioncleat.ports.peer import Peers

BOOTSTRAP_OPERATOR = 'bootstrap'


class OperatorBackend:
    """Authenticates operators and groups the operations for them."""

    def __init__(
        self,
        *,
        configuration: ConfigurationKeeper,
        fleet: FleetKeeper,
        ledger: LedgerView,
        peers: Peers,
        own_status: Callable[[], Status],
        bootstrap: CredentialHash | None = None,
    ) -> None:
        """Take the keepers of this router.

        :param own_status: returns this router's reply to ``AskStatus``
        :param bootstrap: hash of the key that works before any patch
        """
        self.configuration = ConfigurationOperations(configuration)
        self.budgets = BudgetOperations(
            configuration=configuration,
            fleet=fleet,
            ledger=ledger,
        )
        self.status = FleetStatus(
            configuration=configuration,
            fleet=fleet,
            ledger=ledger,
            peers=peers,
            own_status=own_status,
        )
        self._keeper = configuration
        self._fleet = fleet
        self._bootstrap = bootstrap
        self._index = CredentialIndex(configuration.current)
        self._index_version = configuration.current.version

    @property
    def is_ready(self) -> bool:
        """Return whether the configuration and the fleet were read."""
        is_read = self._keeper.caught_up.is_set()
        return is_read and self._fleet.caught_up.is_set()

    def operator_of(self, key: str) -> str | None:
        """Return the operator to whom a key belongs, if any."""
        current = self._keeper.current
        if self._index_version != current.version:
            self._index = CredentialIndex(current)
            self._index_version = current.version
        operator = self._index.operator_of(key)
        if operator is not None or self._bootstrap is None:
            return operator
        is_bootstrap = verify_key(key, self._bootstrap)
        return BOOTSTRAP_OPERATOR if is_bootstrap else None
