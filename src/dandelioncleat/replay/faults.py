"""Injects the faults of a trace and reverts them."""

import asyncio
import random

from dandelioncleat.replay.facts import Interval
from dandelioncleat.replay.links import LOG, MS_PER_S
from dandelioncleat.replay.simulation import Simulation
from dandelioncleat.replay.standins import ModelStandin, PlainStandin
from dandelioncleat.replay.trace import Fault

ALL_ENGINES = 'engines'


class FaultInjector:
    """Injects faults into a simulation."""

    def __init__(self, simulation: Simulation, *, seed: int) -> None:
        """Store the simulation."""
        self.lost_sidecars: list[Interval] = []
        self._simulation = simulation
        self._random = random.Random(seed)

    async def inject(self, fault: Fault) -> None:
        """Start a fault, wait for its duration and revert it."""
        match fault.kind:
            case 'partition':
                await self._partition(fault)
            case 'log_outage' | 'log_slow' | 'log_answers_lost':
                await self._degrade_log(fault)
            case 'host_list_lag':
                self._simulation.host_list.lag_s = fault.by_s
                await asyncio.sleep(fault.for_s)
                self._simulation.host_list.lag_s = 0
            case 'cache_events_late' | 'load_report_lag':
                await self._delay_reports(fault)
            case 'target_crash':
                self._crash_targets(fault)
            case _:
                await self._interrupt_process(fault)

    async def _partition(self, fault: Fault) -> None:
        ends = frozenset(fault.names)
        self._simulation.links.partitioned.add(ends)
        started_at = _now()
        await asyncio.sleep(fault.for_s)
        self._simulation.links.partitioned.discard(ends)
        if LOG in ends:
            self._record_absences(ends, started_at)

    def _record_absences(self, ends: frozenset[str], started_at: float) -> None:
        simulation = self._simulation
        processes = (
            *simulation.routers_by_name.values(),
            *simulation.sidecars_by_target.values(),
        )
        for process in processes:
            if process.data_centre in ends or ends == {LOG}:
                absence = Interval(process.name, started_at, _now())
                simulation.environment.absences.append(absence)

    async def _degrade_log(self, fault: Fault) -> None:
        log = self._simulation.log
        started_at = _now()
        log.outage = fault.kind == 'log_outage'
        log.slow_s = fault.by_ms / MS_PER_S
        log.lost_answer_share = fault.share
        await asyncio.sleep(fault.for_s)
        log.outage = False
        log.slow_s = 0
        log.lost_answer_share = 0
        if fault.kind == 'log_outage':
            self._record_absences(frozenset((LOG,)), started_at)

    async def _delay_reports(self, fault: Fault) -> None:
        engines = [
            standin.engine
            for name, standin in self._simulation.standins_by_target.items()
            if isinstance(standin, ModelStandin)
            and (name in fault.names or ALL_ENGINES in fault.names)
        ]
        for engine in engines:
            if fault.kind == 'load_report_lag':
                engine.load_reports.lag_s = fault.by_s
            else:
                engine.cache_feed.lag_s = fault.by_s
                engine.cache_feed.gap_share = fault.gap_share
        await asyncio.sleep(fault.for_s)
        for engine in engines:
            engine.load_reports.lag_s = 0
            engine.cache_feed.lag_s = 0
            engine.cache_feed.gap_share = 0

    def _crash_targets(self, fault: Fault) -> None:
        for name in fault.names:
            match self._simulation.standins_by_target[name]:
                case ModelStandin(engine=engine):
                    engine.crash(fault.for_s)
                case PlainStandin(plain=plain):
                    plain.crash(fault.for_s)

    async def _interrupt_process(self, fault: Fault) -> None:
        name = fault.names[0]
        at_router = fault.kind.startswith('router')
        simulation = self._simulation
        processes = (
            simulation.routers_by_name
            if at_router
            else simulation.sidecars_by_target
        )
        process = processes[name]
        if fault.kind.endswith('pause'):
            process.pause()
            await asyncio.sleep(fault.for_s)
            process.resume()
            return
        if not process.started:
            # Another fault has already crashed it and will restart it.
            return
        crashed_at = _now()
        await process.crash()
        await asyncio.sleep(fault.for_s)
        if at_router:
            simulation.start_router(process)
        else:
            self.lost_sidecars.append(Interval(name, crashed_at, _now()))
            simulation.start_sidecar(process)


def _now() -> float:
    return asyncio.get_running_loop().time()
