"""Brings about the faults of a trace and takes them back."""

import asyncio
import random

from dandelioncleat.replay.facts import Span
from dandelioncleat.replay.links import LOG, MS_PER_S
from dandelioncleat.replay.standins import ModelStandin, PlainStandin
from dandelioncleat.replay.trace import Fault
from dandelioncleat.replay.world import World

ALL_ENGINES = 'engines'


class Faults:
    """Applies faults to a world."""

    def __init__(self, world: World, *, seed: int) -> None:
        """Take the world."""
        self.lost_sidecars: list[Span] = []
        self._world = world
        self._random = random.Random(seed)

    async def bring(self, fault: Fault) -> None:
        """Begin a fault, let it last, and end it."""
        match fault.kind:
            case 'partition':
                await self._part(fault)
            case 'log_outage' | 'log_slow' | 'log_answers_lost':
                await self._disturb_log(fault)
            case 'host_list_lag':
                self._world.host_list.lag_s = fault.by_s
                await asyncio.sleep(fault.for_s)
                self._world.host_list.lag_s = 0
            case 'cache_events_late' | 'load_report_lag':
                await self._delay_reports(fault)
            case 'target_crash':
                self._crash_targets(fault)
            case _:
                await self._disturb_process(fault)

    async def _part(self, fault: Fault) -> None:
        ends = frozenset(fault.names)
        self._world.links.parted.add(ends)
        started_at = _now()
        await asyncio.sleep(fault.for_s)
        self._world.links.parted.discard(ends)
        if LOG in ends:
            self._note_absence(ends, started_at)

    def _note_absence(self, ends: frozenset[str], started_at: float) -> None:
        world = self._world
        processes = (
            *world.routers_by_name.values(),
            *world.sidecars_by_target.values(),
        )
        for process in processes:
            if process.data_centre in ends or ends == {LOG}:
                span = Span(process.name, started_at, _now())
                world.surroundings.absences.append(span)

    async def _disturb_log(self, fault: Fault) -> None:
        log = self._world.log
        started_at = _now()
        log.outage = fault.kind == 'log_outage'
        log.slow_s = fault.by_ms / MS_PER_S
        log.lost_answer_share = fault.share
        await asyncio.sleep(fault.for_s)
        log.outage = False
        log.slow_s = 0
        log.lost_answer_share = 0
        if fault.kind == 'log_outage':
            self._note_absence(frozenset((LOG,)), started_at)

    async def _delay_reports(self, fault: Fault) -> None:
        engines = [
            standin.engine
            for name, standin in self._world.standins_by_target.items()
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
            match self._world.standins_by_target[name]:
                case ModelStandin(engine=engine):
                    engine.crash(fault.for_s)
                case PlainStandin(plain=plain):
                    plain.crash(fault.for_s)

    async def _disturb_process(self, fault: Fault) -> None:
        name = fault.names[0]
        at_router = fault.kind.startswith('router')
        world = self._world
        processes = (
            world.routers_by_name if at_router else world.sidecars_by_target
        )
        process = processes[name]
        if fault.kind.endswith('pause'):
            process.pause()
            await asyncio.sleep(fault.for_s)
            process.resume()
            return
        if not process.started:
            # Another fault has ended it already and will start it again.
            return
        crashed_at = _now()
        await process.crash()
        await asyncio.sleep(fault.for_s)
        if at_router:
            world.start_router(process)
        else:
            self.lost_sidecars.append(Span(name, crashed_at, _now()))
            world.start_sidecar(process)


def _now() -> float:
    return asyncio.get_running_loop().time()
