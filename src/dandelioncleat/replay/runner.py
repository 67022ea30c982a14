"""Replays a trace on virtual time and collects the facts."""

import asyncio
from typing import Any

import msgspec

from dandelioncleat.adapters import virtual_time
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.patch_verdict import PatchAccepted
from dandelioncleat.core.record import Patch
from dandelioncleat.replay.caller import Caller
from dandelioncleat.replay.facts import Facts, Receipt
from dandelioncleat.replay.faults import Faults
from dandelioncleat.replay.ledger_truth import append_top_up, read_ledger
from dandelioncleat.replay.process import Process
from dandelioncleat.replay.trace import (
    Fault,
    Leave,
    PatchLine,
    Request,
    Stop,
    TimedLine,
    TopUpLine,
    Trace,
)
from dandelioncleat.replay.world import World, settings_only

SETTLE_S = 60.0
RETRY_DELAY_S = 0.25
OPERATOR = 'trace'


class Runner:
    """Plays the events of one trace."""

    def __init__(
        self,
        trace: Trace,
        *,
        seed: int,
        policy: dict[str, Any],
    ) -> None:
        """Take the trace; ``seed`` decides all chance."""
        self._trace = trace
        self._world = World(trace.deployment, seed=seed, policy=policy)
        self._faults = Faults(self._world, seed=seed)
        self._receipts: list[Receipt] = []
        self._accepted_at_by_version: dict[int, float] = {}
        self._leaves_by_target: dict[str, float] = {}
        self._top_ups = 0

    async def play(self) -> Facts:
        """Play every event and return the facts."""
        await self._world.start()
        started_at = _now()
        async with asyncio.TaskGroup() as group:
            for event in self._trace.events:
                await _sleep_until(started_at + event.at)
                group.create_task(self._happen(event))
        await asyncio.sleep(SETTLE_S)
        return await self._facts()

    async def _happen(self, event: TimedLine) -> None:
        match event:
            case Request():
                await self._request(event)
            case Fault():
                await self._faults.bring(event)
            case Leave():
                self._leaves_by_target[event.target] = _now()
                self._world.host_list.set_leaving(event.target)
            case Stop():
                await self._stop(event.router)
            case TopUpLine():
                await self._top_up(event)
            case PatchLine():
                await self._patch(event)

    async def _request(self, request: Request) -> None:
        caller = Caller(request, self._world)
        process = self._ready_router(request.router)
        router = None if process is None else self._world.router(process.name)
        if process is not None and router is not None:
            await process.run_for_caller(caller.call(router, process))
        self._receipts.append(caller.receipt())

    def _ready_router(self, name: str) -> Process | None:
        """Return a router as the platform's balancer would choose it."""
        names = sorted(self._world.routers_by_name, key=name.__ne__)
        for other in names:
            process = self._world.routers_by_name[other]
            is_paused = process.started and not process.alive
            if is_paused or self._world.is_ready(other):
                return process
        return None

    async def _stop(self, name: str) -> None:
        process = self._world.routers_by_name[name]
        await process.stop()
        self._world.start_router(process)

    async def _top_up(self, event: TopUpLine) -> None:
        self._top_ups += 1
        number = self._top_ups
        while True:
            try:
                await append_top_up(
                    self._world.log,
                    organisation=event.organisation,
                    tokens=event.tokens,
                    number=number,
                    shards=self._world.ledger_shards,
                )
            except FailureError:
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                break

    async def _patch(self, event: PatchLine) -> None:
        process = self._ready_router(event.router)
        if process is None or process.ports is None:
            return
        body = msgspec.json.encode(settings_only(event.patch))
        patch = Patch(event.id, event.against, OPERATOR, body)
        await process.run_for_caller(
            self._submit(process.ports.configuration, patch),
        )

    async def _submit(
        self,
        configuration: ConfigurationKeeper,
        patch: Patch,
    ) -> None:
        verdict = await configuration.submit(patch)
        if isinstance(verdict, PatchAccepted):
            self._accepted_at_by_version[verdict.version] = _now()

    async def _facts(self) -> Facts:
        world = self._world
        ledger = await read_ledger(
            world.log,
            live_holders=world.live_routers(),
        )
        return Facts(
            receipts=tuple(self._receipts),
            runs=tuple(world.ground.runs()),
            charges_by_key=ledger.charges_by_key,
            top_ups=tuple(world.ground.top_ups),
            versions=tuple(world.surroundings.versions),
            accepted_at_by_version=self._accepted_at_by_version,
            absences=tuple(world.surroundings.absences),
            leaves_by_target=self._leaves_by_target,
            lost_sidecars=tuple(self._faults.lost_sidecars),
            stranded_tokens=ledger.stranded_tokens,
            ended_at=_now(),
        )


def replay(
    trace: Trace,
    *,
    seed: int | None = None,
    policy: dict[str, Any] | None = None,
) -> Facts:
    """Replay a trace and return what really happened.

    :param seed: decides all chance; the trace's own by default
    :param policy: fields of the configuration's policy that replace defaults
    """
    chosen = trace.deployment.seed if seed is None else seed
    return virtual_time.run(_play(trace, chosen, policy or {}))


async def _play(trace: Trace, seed: int, policy: dict[str, Any]) -> Facts:
    return await Runner(trace, seed=seed, policy=policy).play()


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0, at - _now()))


def _now() -> float:
    return asyncio.get_running_loop().time()
