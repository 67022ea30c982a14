"""Ends and bills the runs of retired holders, and records it in the log."""

import asyncio
from contextlib import suppress
from typing import Protocol

import structlog

from dandelioncleat.app.executor import Executor
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.record import Drained

GRACE_PERIOD_S = 10.0

_logger = structlog.get_logger(__name__)


class FlushableBills(Protocol):
    """Waits until bills are in the log."""

    async def flush(self) -> None:
        """Return when all submitted bills are in the log."""


class HolderDrain:
    """Drains the retired holders that wait for this process."""

    def __init__(
        self,
        incarnation: Incarnation,
        *,
        fleet: FleetKeeper,
        executor: Executor,
        bills: FlushableBills,
    ) -> None:
        """Take the fleet, the executor of the runs and their bills."""
        self._incarnation = incarnation
        self._fleet = fleet
        self._executor = executor
        self._bills = bills
        self._changed = asyncio.Event()
        fleet.on_change(self._changed.set)

    async def run(self) -> None:
        """Drain holders until cancelled."""
        while True:
            holders = self._holders()
            if holders:
                await self._drain(holders)
            else:
                self._changed.clear()
                await self._changed.wait()

    def _holders(self) -> tuple[Incarnation, ...]:
        retirements = self._fleet.fold.retirements
        return retirements.holders_to_drain(self._incarnation)

    async def _drain(self, holders: tuple[Incarnation, ...]) -> None:
        # The fold refuses these holders since the retirement was read.
        await self._executor.end_runs_of(holders, grace_period_s=GRACE_PERIOD_S)
        await self._bills.flush()
        records = [Drained(holder, self._incarnation) for holder in holders]
        with suppress(FailureError):
            await self._fleet.submit(*records)
        _logger.info('holders drained', holders=list(holders))
