"""Reports the ends of runs to their requests' homes."""

import asyncio
from contextlib import suppress

from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.homes import Homes
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import Report
from dandelioncleat.core.run import Run, RunState
from dandelioncleat.ports.peer import Peers

MAX_REPORTS = 1000
WORKERS = 4
REPORT_TIMEOUT_S = 2.0


class RunEndReporter:
    """Sends each report once; a home that misses one learns it on a retry."""

    def __init__(
        self,
        incarnation: Incarnation,
        *,
        homes: Homes,
        fleet: FleetKeeper,
        peers: Peers,
    ) -> None:
        """Take the local homes, and the fleet and peers to reach others."""
        self._incarnation = incarnation
        self._homes = homes
        self._fleet = fleet
        self._peers = peers
        self._reports: asyncio.Queue[Report] = asyncio.Queue(MAX_REPORTS)

    def submit(self, run: Run) -> None:
        """Queue an ended run's report, or record its outcome in the log."""
        ran = run.state is not RunState.SEALED
        ending = run.ending
        status = 0
        if ending is not None and run.state is RunState.FINISHED:
            status = ending.status
        if ran and not run.dispatch.idempotent:
            if status:
                self._homes.claim_manager.record_outcome(run.id, status)
            return
        with suppress(asyncio.QueueFull):
            self._reports.put_nowait(Report(run.id, status, ran))

    async def run(self) -> None:
        """Send reports until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(WORKERS):
                group.create_task(self._work())

    async def _work(self) -> None:
        while True:
            report = await self._reports.get()
            await self._send(report)

    async def _send(self, report: Report) -> None:
        home = report.run.home
        if home == self._incarnation:
            await self._homes.report(report)
            return
        member = self._fleet.fold.members_by_incarnation.get(home)
        if member is None or member.ended:
            return
        with suppress(FailureError):
            await self._peers.call(
                member.join.address,
                report,
                timeout_s=REPORT_TIMEOUT_S,
            )
