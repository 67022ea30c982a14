"""Bills of a router, sent only if the executor's bill does not appear."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from dandelioncleat.app._shards import Shards
from dandelioncleat.app.billing import BillSender
from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.identity import Incarnation, RunId
from dandelioncleat.core.ledger_verdict import LedgerVerdict
from dandelioncleat.core.record import Bill, LedgerRecord
from dandelioncleat.ports.log import Log

DELAY_S = 2.0


class _ScheduledBill(NamedTuple):
    """A bill and the event-loop time at which it is sent, in seconds."""

    due: float
    bill: Bill


class FallbackBills:
    """Sends a router's bill of a run unless the executor's bill appears."""

    def __init__(
        self,
        *,
        log: Log,
        incarnation: Incarnation,
        configuration: Callable[[], Configuration],
        shards: Shards,
    ) -> None:
        """Take the log and the shards in which bills appear."""
        self.sender = BillSender(
            log=log,
            incarnation=incarnation,
            configuration=configuration,
        )
        self._shards = shards
        self._scheduled_by_run: dict[RunId, _ScheduledBill] = {}
        shards.on_record(self._note_record)

    def schedule(self, bill: Bill) -> None:
        """Send a bill after a delay, unless another bill of its run appears."""
        due = asyncio.get_running_loop().time() + DELAY_S
        self._scheduled_by_run[bill.run] = _ScheduledBill(due, bill)

    def send_due(self) -> None:
        """Send the bills that are due while their shard is available."""
        now = asyncio.get_running_loop().time()
        for scheduled in tuple(self._scheduled_by_run.values()):
            shard = self._shards.of(scheduled.bill.budget)
            if scheduled.due <= now and shard.is_available:
                self._send(scheduled.bill)

    async def flush(self) -> None:
        """Send all bills and wait until they are in the log."""
        for scheduled in tuple(self._scheduled_by_run.values()):
            self._send(scheduled.bill)
        await self.sender.flush()

    def _send(self, bill: Bill) -> None:
        self._scheduled_by_run.pop(bill.run, None)
        if not self._shards.of(bill.budget).fold.has_billed_run(bill.run):
            self.sender.submit(bill)

    def _note_record(
        self,
        record: LedgerRecord,
        verdict: LedgerVerdict,
    ) -> None:
        if isinstance(record, Bill):
            self._scheduled_by_run.pop(record.run, None)
