"""Replays a trace in virtual time and collects the facts."""

import asyncio
from typing import Any

import msgspec

from dandelioncleat.adapters import virtual_time
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.patch_verdict import PatchAccepted
from dandelioncleat.core.record import Patch
from dandelioncleat.replay.caller import Caller
from dandelioncleat.replay.facts import Facts, ReceivedAnswer
from dandelioncleat.replay.faults import FaultInjector
from dandelioncleat.replay.ledger_charges import append_top_up, read_ledger
from dandelioncleat.replay.process import Process
from dandelioncleat.replay.simulation import Simulation, strip_standin_fields
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
        """Set up the simulation; ``seed`` determines all randomness."""
        self._trace = trace
        self._simulation = Simulation(
            trace.deployment, seed=seed, policy=policy
        )
        self._faults = FaultInjector(self._simulation, seed=seed)
        self._answers: list[ReceivedAnswer] = []
        self._accepted_at_by_version: dict[int, float] = {}
        self._leaving_since_by_target: dict[str, float] = {}
        self._top_up_count = 0

    async def play(self) -> Facts:
        """Play every event and return the facts."""
        await self._simulation.start()
        started_at = _now()
        async with asyncio.TaskGroup() as group:
            for event in self._trace.events:
                await _sleep_until(started_at + event.at)
                group.create_task(self._play_event(event))
        await asyncio.sleep(SETTLE_S)
        return await self._facts()

    async def _play_event(self, event: TimedLine) -> None:
        match event:
            case Request():
                await self._request(event)
            case Fault():
                await self._faults.inject(event)
            case Leave():
                self._leaving_since_by_target[event.target] = _now()
                self._simulation.host_list.set_leaving(event.target)
            case Stop():
                await self._stop(event.router)
            case TopUpLine():
                await self._top_up(event)
            case PatchLine():
                await self._patch(event)

    async def _request(self, request: Request) -> None:
        caller = Caller(request, self._simulation)
        process = self._ready_router(request.router)
        router = (
            None if process is None else self._simulation.router(process.name)
        )
        if process is not None and router is not None:
            await process.run_for_caller(caller.call(router, process))
        self._answers.append(caller.received_answer())

    def _ready_router(self, name: str) -> Process | None:
        """Return the router that the platform's load balancer would choose."""
        names = sorted(self._simulation.routers_by_name, key=name.__ne__)
        for other in names:
            process = self._simulation.routers_by_name[other]
            is_paused = process.started and not process.responsive
            if is_paused or self._simulation.is_ready(other):
                return process
        return None

    async def _stop(self, name: str) -> None:
        process = self._simulation.routers_by_name[name]
        await process.stop()
        self._simulation.start_router(process)

    async def _top_up(self, event: TopUpLine) -> None:
        self._top_up_count += 1
        number = self._top_up_count
        while True:
            try:
                await append_top_up(
                    self._simulation.log,
                    organisation=event.organisation,
                    tokens=event.tokens,
                    number=number,
                    shards=self._simulation.ledger_shards,
                )
            except FailureError:
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                break

    async def _patch(self, event: PatchLine) -> None:
        process = self._ready_router(event.router)
        if process is None or process.ports is None:
            return
        body = msgspec.json.encode(strip_standin_fields(event.patch))
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
        simulation = self._simulation
        ledger = await read_ledger(
            simulation.log,
            live_holders=simulation.live_routers(),
        )
        return Facts(
            answers=tuple(self._answers),
            runs=tuple(simulation.ground_truth.runs()),
            charges_by_key=ledger.charges_by_key,
            top_ups=tuple(simulation.ground_truth.top_ups),
            versions=tuple(simulation.environment.versions),
            accepted_at_by_version=self._accepted_at_by_version,
            absences=tuple(simulation.environment.absences),
            leaving_since_by_target=self._leaving_since_by_target,
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
    """Replay a trace and return what happened.

    :param seed: determines all randomness; the trace's own by default
    :param policy: fields that override the default configuration policy
    """
    chosen_seed = trace.deployment.seed if seed is None else seed
    return virtual_time.run(_play(trace, chosen_seed, policy or {}))


async def _play(trace: Trace, seed: int, policy: dict[str, Any]) -> Facts:
    return await Runner(trace, seed=seed, policy=policy).play()


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0, at - _now()))


def _now() -> float:
    return asyncio.get_running_loop().time()
