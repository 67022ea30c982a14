"""The sidecar process of one target."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Any, NamedTuple

import msgspec
import structlog

from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app.billing import BillSender
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.executor import Executor
from dandelioncleat.app.executor_parts import ExecutorIdentity, ExecutorParts
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.holder_drain import HolderDrain
from dandelioncleat.app.homes import Homes, HomeSettings
from dandelioncleat.app.host_watch import HostWatch
from dandelioncleat.app.load_report import LoadReport
from dandelioncleat.app.run_end_reporter import RunEndReporter
from dandelioncleat.app.sidecar_life import SidecarLife
from dandelioncleat.app.sidecar_startup import SidecarStartup
from dandelioncleat.app.token_count import count_prompt
from dandelioncleat.core.failure import Code
from dandelioncleat.core.fleet import SIDECAR
from dandelioncleat.core.identity import Incarnation, RunId
from dandelioncleat.core.message import (
    AskStatus,
    AskTokenCount,
    Attach,
    Cancel,
    Dispatch,
    Message,
    NoteGuard,
    Refusal,
    Report,
    Resume,
    SealRun,
    Status,
    WatchLoad,
)
from dandelioncleat.core.record import End, Join, Leave
from dandelioncleat.ports.host_list import HostList
from dandelioncleat.ports.log import Log
from dandelioncleat.ports.peer import CallContext, Peers
from dandelioncleat.ports.target import TargetClient
from dandelioncleat.ports.telemetry import NullTelemetry, Telemetry

STOP_LIMIT_S = 60.0
FETCH_TIMEOUT_S = 5.0

_logger = structlog.get_logger(__name__)


class StopReport(NamedTuple):
    """What a stop has lost; empty and ``0`` after a clean stop.

    ``unbilled`` counts the bills, and ``unrecorded`` the runs that began
    without a claim, that are not in the log.
    """

    cut: tuple[RunId, ...]
    unbilled: int
    unrecorded: int

    @property
    def is_clean(self) -> bool:
        """Return whether nothing was lost."""
        return not (self.cut or self.unbilled or self.unrecorded)

    @property
    def text(self) -> str:
        """Describe what was lost; empty after a clean stop."""
        losses = {
            'runs cut': len(self.cut),
            'bills not in the log': self.unbilled,
            'runs not in the log': self.unrecorded,
        }
        return ', '.join(
            f'{number} {what}' for what, number in losses.items() if number
        )


class SidecarPorts(NamedTuple):
    """The ports of a sidecar."""

    log: Log
    host_list: HostList
    peers: Peers
    target_client: TargetClient
    telemetry: Telemetry


class Sidecar:
    """Answers routers and other sidecars for one target."""

    def __init__(
        self,
        join: Join,
        ports: SidecarPorts,
        *,
        configuration: ConfigurationKeeper,
        fleet: FleetKeeper,
        bills: BillSender,
    ) -> None:
        """Take the sidecar's announcement, its ports and its keepers."""
        self.life = SidecarLife(join.incarnation)
        self._configuration = configuration
        self._fleet = fleet
        self._bills = bills
        self._telemetry = ports.telemetry
        self._client = ports.target_client
        self._hosts = HostWatch(ports.host_list)
        self._tasks = TaskScope()
        self._stop_now = asyncio.Event()
        self._stop_report: StopReport | None = None
        self._identity = ExecutorIdentity(
            join.incarnation, join.target, join.service
        )
        parts = ExecutorParts(
            identity=self._identity,
            client=ports.target_client,
            configuration=lambda: configuration.current,
            fleet=fleet,
            bills=bills,
            telemetry=ports.telemetry,
            refusal_code=self._refusal_code,
            on_ended=lambda run: self._run_end_reporter.submit(run),
        )
        self.executor = Executor(parts, self._tasks)
        self.homes = Homes(
            HomeSettings(
                incarnation=join.incarnation,
                service=join.service,
                configuration=lambda: configuration.current,
                fleet=fleet,
                telemetry=ports.telemetry,
                is_closed=lambda: not self.life.is_ready,
            ),
            log=ports.log,
            hosts=self._hosts,
            peers=ports.peers,
            tasks=self._tasks,
        )
        self._run_end_reporter = RunEndReporter(
            join.incarnation,
            homes=self.homes,
            fleet=fleet,
            peers=ports.peers,
        )
        self._load_report = LoadReport(
            self._identity,
            client=ports.target_client,
            book=self.executor.book,
            slots=parts.slots,
            is_leaving=lambda: self._refusal_code() is not None,
            telemetry=ports.telemetry,
        )
        self._holder_drain = HolderDrain(
            join.incarnation,
            fleet=fleet,
            executor=self.executor,
            bills=bills,
        )
        self._startup = SidecarStartup(
            join,
            client=ports.target_client,
            configuration=configuration,
            fleet=fleet,
            life=self.life,
            set_fence=self.executor.scheduler.set_fence,
        )
        self.life.on_change(self._load_report.notify)
        configuration.on_change(self._load_report.notify)
        configuration.on_change(self.homes.check_now)
        self.life.on_change(self.homes.check_now)
        self._hosts.on_change(self._load_report.notify)

    async def answer(
        self,
        message: Message,
        context: CallContext,
    ) -> AsyncIterator[Message]:
        """Yield the replies to a call of another process."""
        match message:
            case Dispatch():
                replies = self.executor.dispatch(message, context.traceparent)
            case Resume():
                replies = self.executor.resume(message)
            case WatchLoad():
                replies = self._load_report.watch()
            case AskTokenCount():
                replies = count_prompt(message, self._client, self._identity)
            case _:
                replies = self._reply(message, context.traceparent)
        async with aclosing(replies):  # type: ignore[type-var]
            async for reply in replies:
                yield reply

    async def run(self) -> None:
        """Join the fleet and serve until stopped."""
        serving = asyncio.create_task(self._serve())
        ended = asyncio.create_task(self.life.ended.wait())
        try:
            await asyncio.wait(
                (serving, ended),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if serving.done():
                await serving
        finally:
            await _cancel(serving, ended)

    async def stop(self, *, limit_s: float = STOP_LIMIT_S) -> StopReport:
        """Refuse new work, finish open runs and report what was lost.

        A second call cuts the open runs at once.

        :param limit_s: time in seconds after which open runs are cut
        """
        if self.life.left.is_set():
            self._stop_now.set()
            await self.life.ended.wait()
            return self._stop_report or StopReport((), 0, 0)
        self.life.leave()
        await self._drain_within(limit_s)
        self._stop_report = StopReport(
            await self.executor.close(),
            self._bills.pending,
            self.homes.claim_manager.unrecorded_runs,
        )
        _log_report(self._stop_report)
        self.life.end()
        return self._stop_report

    def losses(self) -> StopReport:
        """Return what would be lost if the process ended now."""
        open_runs = self.executor.book.open_runs()
        return StopReport(
            tuple(active.run.id for active in open_runs),
            self._bills.pending,
            self.homes.claim_manager.unrecorded_runs,
        )

    def status(self) -> Status:
        """Describe this process."""
        current = self._configuration.current
        progress = self.executor.book.progress
        details = {
            'target': self._identity.target,
            'service': self._identity.service,
            'leaving': self._refusal_code() is not None,
            'running': progress.running,
            'queued': progress.queued,
            'unbilled': self._bills.pending,
        }
        return Status(
            self._identity.incarnation,
            SIDECAR,
            self.life.state.value,
            current.version,
            current.digest,
            msgspec.json.encode(details),
        )

    async def _reply(
        self,
        message: Message,
        traceparent: str,
    ) -> AsyncIterator[Message]:
        match message:
            case Attach():
                with self._telemetry.span('home', traceparent=traceparent):
                    reply = await self._attach(message)
                yield reply
            case Report():
                yield await self.homes.report(message)
            case NoteGuard():
                yield self.homes.notices.accept(message)
            case SealRun():
                yield self.executor.seal(message)
            case Cancel():
                yield self.executor.cancel(message)
            case AskStatus():
                yield self.status()
            case _:
                yield self._refusal(
                    Code.INVALID, 'a sidecar does not answer this message'
                )

    async def _attach(self, message: Attach) -> Message:
        if self.life.refusal_code is Code.NOT_READY:
            return self._refusal(
                Code.NOT_READY, 'the sidecar has not joined the fleet yet'
            )
        return await self.homes.attach(message)

    async def _serve(self) -> None:
        async with asyncio.TaskGroup() as group:
            self._tasks.open(group)
            group.create_task(self._hosts.run())
            group.create_task(self.homes.run())
            group.create_task(self._run_end_reporter.run())
            group.create_task(self._load_report.run())
            group.create_task(self._holder_drain.run())
            group.create_task(self._startup.run())

    async def _drain_within(self, limit_s: float) -> None:
        leaving = self._tasks.spawn(self._drain_and_end())
        stop_now = self._tasks.spawn(self._stop_now.wait())
        await asyncio.wait(
            (leaving, stop_now),
            timeout=limit_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        leaving.cancel()
        stop_now.cancel()

    async def _drain_and_end(self) -> None:
        book = self.executor.book
        announcement = self._tasks.spawn(self._announce_leave())
        await book.wait_until(lambda: not book.open_runs())
        await book.wait_until(book.is_all_fetched, FETCH_TIMEOUT_S)
        await announcement
        await self.homes.flush()
        await self._bills.flush()
        await self._fleet.submit(End(self._identity.incarnation))

    async def _announce_leave(self) -> None:
        await self._fleet.submit(Leave(self._identity.incarnation))
        await self.homes.flush()

    def _refusal_code(self) -> Code | None:
        """Return the code with which new work is refused, if any."""
        if self._hosts.is_leaving(self._identity.incarnation):
            return Code.LEAVING
        targets = self._configuration.current.targets_by_name
        target = targets.get(self._identity.target)
        if target is not None and target.drain:
            return Code.LEAVING
        return self.life.refusal_code

    def _refusal(self, code: Code, text: str) -> Refusal:
        return Refusal(code, 'answer', self._identity.incarnation, text)


def new_sidecar(  # noqa: WPS211  # each argument is a port or a name
    *,
    incarnation: Incarnation,
    target: str,
    service: str,
    data_centre: str,
    address: str,
    log: Log,
    host_list: HostList,
    peers: Peers,
    target_client: TargetClient,
    configuration: ConfigurationKeeper,
    fleet: FleetKeeper,
    bills: BillSender,
    telemetry: Telemetry | None = None,
) -> Sidecar:
    """Return the sidecar of a target; the caller runs its keepers.

    :param address: where other processes reach this one
    """
    join = Join(
        incarnation=incarnation,
        role=SIDECAR,
        data_centre=data_centre,
        address=address,
        target=target,
        service=service,
    )
    ports = SidecarPorts(
        log,
        host_list,
        peers,
        target_client,
        telemetry or NullTelemetry(),
    )
    return Sidecar(
        join,
        ports,
        configuration=configuration,
        fleet=fleet,
        bills=bills,
    )


async def _cancel(*tasks: asyncio.Task[Any]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _log_report(report: StopReport) -> None:
    if report.is_clean:
        _logger.info('sidecar stopped')
        return
    _logger.error(
        'sidecar stopped with losses',
        cut=len(report.cut),
        unbilled=report.unbilled,
        unrecorded=report.unrecorded,
    )
