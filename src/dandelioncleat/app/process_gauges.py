"""Reports the state of a process as metrics, and its changes as log lines."""

import asyncio
from typing import NamedTuple

import structlog

from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import BudgetId, Incarnation
from dandelioncleat.ports.ledger_view import LedgerView
from dandelioncleat.ports.telemetry import Telemetry

SAMPLE_INTERVAL_S = 5.0


class ProcessState(NamedTuple):
    """The state that is logged when it changes."""

    version: int
    is_ready: bool
    log_failing: bool


class ProcessGauges:
    """Samples the keepers of a process at intervals."""

    def __init__(
        self,
        *,
        telemetry: Telemetry,
        incarnation: Incarnation,
        configuration: ConfigurationKeeper,
        fleet: FleetKeeper,
        ledger: LedgerView | None = None,
    ) -> None:
        """Take the keepers; routers have a ledger as well."""
        self._telemetry = telemetry
        self._configuration = configuration
        self._fleet = fleet
        self._ledger = ledger
        self._state: ProcessState | None = None
        self._logger = structlog.get_logger(incarnation=incarnation)

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Set every gauge and log what changed."""
        self._sample_configuration()
        self._sample_fleet()
        if self._ledger is not None:
            self._sample_ledger(self._ledger)
        self._log_changes()

    def _sample_configuration(self) -> None:
        keeper = self._configuration
        behind = max(0, keeper.highest_known_version - keeper.current.version)
        self._telemetry.gauge('configuration.version', keeper.current.version)
        self._telemetry.gauge('configuration.versions_behind', behind)
        self._telemetry.gauge('configuration.ready', int(keeper.ready))
        self._telemetry.gauge('log.failing', int(self._log_failing))

    def _sample_fleet(self) -> None:
        fold = self._fleet.fold
        limit = self._configuration.current.policy.poison_crashes
        refused = [
            digest
            for digest, crashes in fold.quarantine.snapshot().counts
            if crashes >= limit
        ]
        waiting = [
            holder
            for holder, retirement in fold.retirements.by_holder.items()
            if retirement.waiting
        ]
        self._telemetry.gauge('quarantine.refused_requests', len(refused))
        self._telemetry.gauge('fleet.draining_holders', len(waiting))

    def _sample_ledger(self, ledger: LedgerView) -> None:
        try:
            holdings = ledger.holdings()
            late = sum(view.late for view in ledger.budgets())
        except FailureError:
            return
        stranded = sum(
            _total_tokens(held)
            for holder, held in holdings.items()
            if self._fleet.fold.retirements.waiting_for(holder)
        )
        self._telemetry.gauge('ledger.stranded_tokens', stranded)
        self._telemetry.gauge('ledger.late_tokens', late)

    @property
    def _log_failing(self) -> bool:
        return self._configuration.log_failing or self._fleet.log_failing

    def _log_changes(self) -> None:
        state = ProcessState(
            self._configuration.current.version,
            self._configuration.ready,
            self._log_failing,
        )
        if state != self._state:
            self._state = state
            self._logger.info('process_state', **state._asdict())


def _total_tokens(tokens_by_budget: dict[BudgetId, int]) -> int:
    return sum(tokens_by_budget.values())
