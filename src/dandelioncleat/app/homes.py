"""The homes of the request keys that this process owns."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app._ticker import Ticker
from dandelioncleat.app.claim_manager import ClaimManager
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.guard_notices import GuardNotices
from dandelioncleat.app.home_parts import HomeParts
from dandelioncleat.app.host_watch import HostWatch
from dandelioncleat.app.log_guard import LogGuard
from dandelioncleat.app.owner_watch import OwnerWatch
from dandelioncleat.app.slot_keeper import SlotKeeper
from dandelioncleat.app.stream import StreamFollower
from dandelioncleat.core.claim import ClaimFold
from dandelioncleat.core.configuration import Configuration, ServiceKind
from dandelioncleat.core.envelope import claim_codec
from dandelioncleat.core.failure import Code
from dandelioncleat.core.home import ATTACH_STEP, Home
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import (
    Accepted,
    Attach,
    Message,
    Refusal,
    Report,
)
from dandelioncleat.core.not_run_replies import NotRunReplies
from dandelioncleat.ports.log import Log
from dandelioncleat.ports.peer import Peers
from dandelioncleat.ports.telemetry import Telemetry

EXPIRY_INTERVAL_S = 10.0
MS_PER_S = 1000
CHECK_INTERVAL_S = 1.0


def claim_stream(service: str) -> str:
    """Return the name of a service's stream of claims."""
    return f'claims-{service}'


class HomeSettings(NamedTuple):
    """What a home needs to know about its process.

    ``is_closed`` returns whether it neither takes over slots nor runs
    anything without a claim.
    """

    incarnation: Incarnation
    service: str
    configuration: Callable[[], Configuration]
    fleet: FleetKeeper
    telemetry: Telemetry
    is_closed: Callable[[], bool]


class Homes:
    """Answers ``Attach`` and ``Report``, and maintains the slots.

    Idempotent requests are placed from memory and never wait for the log.
    """

    def __init__(
        self,
        settings: HomeSettings,
        *,
        log: Log,
        hosts: HostWatch,
        peers: Peers,
        tasks: TaskScope,
    ) -> None:
        """Take the process settings, the log, the hosts and the peers."""
        claims = ClaimFold()
        self.follower = StreamFollower(
            log=log,
            name=claim_stream(settings.service),
            fold=claims,
            codec=claim_codec(),
            producer=settings.incarnation,
        )
        self._parts = HomeParts(
            incarnation=settings.incarnation,
            service_name=settings.service,
            configuration=settings.configuration,
            fleet=settings.fleet,
            hosts=hosts,
            claims=claims,
            follower=self.follower,
            telemetry=settings.telemetry,
            is_closed=settings.is_closed,
        )
        self.notices = GuardNotices(self._parts, peers)
        guard = LogGuard(self._parts, self.notices)
        self.claim_manager = ClaimManager(self._parts, guard, tasks)
        owners = OwnerWatch(self._parts, peers)
        self.slots = SlotKeeper(
            self._parts,
            guard=guard,
            notices=self.notices,
            owners=owners,
            unrecorded_runs=lambda: self.claim_manager.unrecorded_runs,
        )
        self._ticker = Ticker()
        self._home = Home(settings.incarnation)
        self._denials = NotRunReplies()

    def check_now(self) -> None:
        """Check the process state and the configuration without delay."""
        self._ticker.trigger()
        self.slots.ticker.trigger()

    async def attach(self, attach: Attach) -> Message:
        """Place a request or find its run."""
        if attach.service != self._parts.service_name:
            return self._refusal(
                Code.INVALID, 'the home belongs to another service'
            )
        now = asyncio.get_running_loop().time()
        arrived_at = now - attach.age_ms / MS_PER_S
        if attach.executor and self._denials.bars(attach.request, arrived_at):
            text = 'another router was told that the request has no run'
            return self._refusal(Code.SUPERSEDED, text)
        reply = await self._place(attach)
        if isinstance(reply, Refusal) and reply.code == Code.NOT_FOUND:
            now = asyncio.get_running_loop().time()
            self._denials.note(attach.request, now)
        return reply

    async def _place(self, attach: Attach) -> Message:
        if not attach.idempotent:
            return await self.claim_manager.attach(attach)
        now = asyncio.get_running_loop().time()
        return self._home.attach(attach, now)

    async def report(self, report: Report) -> Accepted:
        """Note how a run of a request ended."""
        self._home.report(report)
        if not report.ran:
            await self.claim_manager.release(report.run)
        return Accepted()

    async def flush(self) -> None:
        """End the guard; return once everything submitted is in the log."""
        if self._is_plain():
            await self.slots.end_guard()

    async def run(self) -> None:
        """Follow the claims, maintain slots and expire old requests."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._expire_forever())
            group.create_task(self._keep_claims())

    async def _keep_claims(self) -> None:
        while True:
            if self._is_plain():
                await self._follow_claims()
            await self._ticker.wait(CHECK_INTERVAL_S)

    async def _follow_claims(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self.follower.run())
            group.create_task(self.slots.run())

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            before = now - self._parts.window_s()
            self._home.expire(before)
            self._denials.expire(before)

    def _is_plain(self) -> bool:
        service = self._parts.service()
        return service is not None and service.kind is ServiceKind.PLAIN

    def _refusal(self, code: Code, text: str) -> Refusal:
        return Refusal(code, ATTACH_STEP, self._parts.incarnation, text)
