"""Measures the cost of control traffic of a fleet on virtual time."""

import asyncio
import resource
import time
from collections.abc import Sequence
from functools import partial
from typing import NamedTuple

import msgspec

from dandelioncleat.adapters import virtual_time
from dandelioncleat.adapters.frames.codec import (
    Frame,
    FrameKind,
    decode_frame,
    encode_frame,
)
from dandelioncleat.bench._counted_simulation import (
    SERVICE,
    CountedSimulation,
    new_deployment,
)
from dandelioncleat.bench._ledger_records import KEY_FORMAT
from dandelioncleat.bench.result import (
    Figure,
    Point,
    Result,
    Slope,
    fit,
    new_result,
)
from dandelioncleat.bench.stopwatch import min_us
from dandelioncleat.core.identity import Digest, Incarnation
from dandelioncleat.core.message import Load
from dandelioncleat.ports.host_list import HostState
from dandelioncleat.replay.caller import Caller
from dandelioncleat.replay.trace import Request

ROUTERS = (4, 8, 16, 32)
TARGETS = (8, 16, 32, 64)
ORGANISATIONS = (10, 55, 110, 220)
REQUESTS_PER_S = (5, 10, 20, 40)
PREFIXES = (0, 16, 64, 128)
WARM_UP_S = 20
MEASURED_S = 20
DRAIN_S = 5
PROMPT_TOKENS = 400
OUTPUT_TOKENS = 100
FRAMES_TIMED = 300
PREFIX = '0b9e5c1e4f624a7d'
MS_PER_S = 1000
BYTES_PER_KIB = 1024


class FleetSize(NamedTuple):
    """The size of a fleet in memory and its load."""

    routers: int = 4
    targets: int = 8
    organisations: int = 10
    requests_per_s: int = 0


class Cost(NamedTuple):
    """The average cost of the whole fleet in one second.

    ``counts`` and ``sizes`` are by message and by stream read or appended.
    """

    cpu_ms: float
    counts: dict[str, float]
    sizes: dict[str, float]

    def frames(self) -> float:
        """Return the messages between processes."""
        return _sum_of(self.counts, 'frame')

    def frame_bytes(self) -> float:
        """Return the bytes of the messages between processes."""
        return _sum_of(self.sizes, 'frame')


def run_control(
    *,
    commit: str,
    routers: Sequence[int] = ROUTERS,
    targets: Sequence[int] = TARGETS,
    organisations: Sequence[int] = ORGANISATIONS,
    requests_per_s: Sequence[int] = REQUESTS_PER_S,
) -> Result:
    """Measure fleets that grow in one dimension at a time."""
    start_memory = Figure('start_memory', 'MiB', _memory_mib())
    by_routers = {size: measure(FleetSize(routers=size)) for size in routers}
    by_targets = {size: measure(FleetSize(targets=size)) for size in targets}
    by_organisations = {
        size: measure(FleetSize(organisations=size)) for size in organisations
    }
    by_load = {
        size: measure(FleetSize(requests_per_s=size)) for size in requests_per_s
    }
    slopes = (
        *_idle_slopes(by_routers, 'router'),
        *_idle_slopes(by_targets, 'target'),
        *_idle_slopes(by_organisations, 'organisation'),
        *_load_slopes(by_load),
        *_frame_slopes(),
    )
    busiest = by_load[requests_per_s[-1]]
    return new_result(
        'control',
        commit=commit,
        slopes=slopes,
        figures=(start_memory, *_traffic_figures(busiest)),
    )


def measure(fleet: FleetSize) -> Cost:
    """Run a fleet in memory and return its cost."""
    return virtual_time.run(_measure(fleet))


async def _measure(fleet: FleetSize) -> Cost:
    deployment = new_deployment(
        routers=fleet.routers,
        targets=fleet.targets,
        organisations=fleet.organisations,
    )
    simulation = CountedSimulation(deployment)
    await simulation.start()
    await asyncio.sleep(WARM_UP_S)
    simulation.traffic.clear()
    started_at = time.process_time()
    await _send_requests(simulation, fleet)
    spent_s = time.process_time() - started_at
    return Cost(
        spent_s * MS_PER_S / MEASURED_S,
        _per_second(simulation.traffic.count),
        _per_second(simulation.traffic.size),
    )


async def _send_requests(
    simulation: CountedSimulation, fleet: FleetSize
) -> None:
    if not fleet.requests_per_s:
        await asyncio.sleep(MEASURED_S)
        return
    async with asyncio.TaskGroup() as group:
        for number in range(fleet.requests_per_s * MEASURED_S):
            group.create_task(_call(simulation, fleet, number))
            await asyncio.sleep(1 / fleet.requests_per_s)
    await asyncio.sleep(DRAIN_S)


async def _call(
    simulation: CountedSimulation, fleet: FleetSize, number: int
) -> None:
    router_number = number % fleet.routers
    organisation_number = number % fleet.organisations
    name = f'router-{router_number}'
    request = Request(
        at=0,
        key=KEY_FORMAT.format(number),
        organisation=f'organisation-{organisation_number}',
        service=SERVICE,
        router=name,
        idempotent=True,
        prompt_tokens=PROMPT_TOKENS,
        max_tokens=OUTPUT_TOKENS,
        output_tokens=OUTPUT_TOKENS,
    )
    router = simulation.router(name)
    if router is None:
        raise RuntimeError(f'{name} does not run')
    caller = Caller(request, simulation)
    await caller.call(router, simulation.routers_by_name[name])


def _idle_slopes(costs: dict[int, Cost], per: str) -> list[Slope]:
    by_measure = {
        ('rest_cpu', 'ms/s'): {size: c.cpu_ms for size, c in costs.items()},
        ('rest_frames', '1/s'): {size: c.frames() for size, c in costs.items()},
        ('rest_frame_bytes', 'B/s'): {
            size: c.frame_bytes() for size, c in costs.items()
        },
    }
    return [
        _slope_of(f'{name}_by_{per}', unit, per, by_size)
        for (name, unit), by_size in by_measure.items()
    ]


def _load_slopes(costs: dict[int, Cost]) -> list[Slope]:
    per = 'request/s'
    by_name = {
        'load_cpu': {size: cost.cpu_ms for size, cost in costs.items()},
        'load_frames': {size: cost.frames() for size, cost in costs.items()},
        'load_frame_bytes': {
            size: cost.frame_bytes() for size, cost in costs.items()
        },
        'load_appends': {
            size: _sum_of(cost.counts, 'append') for size, cost in costs.items()
        },
        'load_append_bytes': {
            size: _sum_of(cost.sizes, 'append') for size, cost in costs.items()
        },
        'load_log_read_bytes': {
            size: _sum_of(cost.sizes, 'read') for size, cost in costs.items()
        },
    }
    units = ('ms/s', '1/s', 'B/s', '1/s', 'B/s', 'B/s')
    return [
        _slope_of(name, unit, per, by_size)
        for unit, (name, by_size) in zip(units, by_name.items(), strict=True)
    ]


def _frame_slopes() -> list[Slope]:
    loads = {size: _load_frame(size) for size in PREFIXES}
    sizes = {size: len(encode_frame(frame)) for size, frame in loads.items()}
    times = {size: _codec_us(frame) for size, frame in loads.items()}
    hosts = {size: len(_host_list(size)) for size in ORGANISATIONS}
    return [
        _slope_of('load_report_bytes', 'B', 'prefix', sizes),
        _slope_of('load_report_codec', 'us', 'prefix', times),
        _slope_of('host_list_bytes', 'B', 'host', hosts),
    ]


def _load_frame(prefixes: int) -> Frame:
    digests = tuple(Digest(PREFIX) for _ in range(prefixes))
    sidecar = Incarnation('engine-204.klang-b/91b3aa0791b3')
    load = Load(
        'dues-204', sidecar, False, 32, 8, 2, 90000, 400000, 300, digests
    )
    return Frame(7, FrameKind.REPLY, 40, '', load)


def _codec_us(frame: Frame) -> float:
    data = encode_frame(frame)
    encode_us = min_us(partial(encode_frame, frame), times=FRAMES_TIMED)
    decode = partial(decode_frame, data, peer='sidecar')
    return encode_us + min_us(decode, times=FRAMES_TIMED)


def _host_list(hosts: int) -> bytes:
    return msgspec.json.encode(
        [
            HostState(f'engine-{number}', 'klang-b', leaving=False)._asdict()
            for number in range(hosts)
        ],
    )


def _traffic_figures(cost: Cost) -> list[Figure]:
    counts = [
        Figure(f'{name} count', '1/s', value)
        for name, value in sorted(cost.counts.items())
    ]
    sizes = [
        Figure(f'{name} bytes', 'B/s', value)
        for name, value in sorted(cost.sizes.items())
    ]
    return counts + sizes


def _slope_of(
    name: str,
    unit: str,
    per: str,
    by_size: dict[int, float] | dict[int, int],
) -> Slope:
    points = (Point(size, value) for size, value in by_size.items())
    return fit(name, points, unit=unit, per=per)


def _per_second(totals: dict[str, int]) -> dict[str, float]:
    return {name: total / MEASURED_S for name, total in totals.items()}


def _sum_of(by_name: dict[str, float], kind: str) -> float:
    return sum(
        value for name, value in by_name.items() if name.startswith(f'{kind} ')
    )


def _memory_mib() -> float:
    peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return peak_kib / BYTES_PER_KIB
