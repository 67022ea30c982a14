"""Measures the request path against calling the target directly.

The router, the sidecar, the stand-ins and the caller share one process and
one event loop. The added cost is the difference between two runs that send
the same requests, one through the router and one to the engine.
"""

import asyncio
import time
from collections.abc import Sequence
from statistics import quantiles
from typing import Any, NamedTuple

from aiohttp import ClientSession

from dandelioncleat.bench.loopback import MODEL, LoopbackFleet
from dandelioncleat.bench.result import (
    Figure,
    Point,
    Result,
    Slope,
    fit,
    new_result,
)
from dandelioncleat.bench.stopwatch import US_PER_S

CHAT_PATH = '/v1/chat/completions'
STREAMS = 40
STREAM_TOKENS = (25, 50, 100, 200)
STREAM_TOKENS_S = 50.0
REQUESTS_PER_S = 50
REQUESTS = 250
SHORT_ANSWER_TOKENS = 8
WARM_UP_REQUESTS = 20
MS_PER_S = 1000
TARGET_TOKENS_S = 5000
FIRST_BYTES = 5


class Sizes(NamedTuple):
    """The load that is sent.

    :param streams: streams at a time
    :param tokens: tokens of each stream, by trial
    :param requests: whole and streamed requests at a steady rate
    """

    streams: int = STREAMS
    tokens: Sequence[int] = STREAM_TOKENS
    requests: int = REQUESTS


class Trial(NamedTuple):
    """Times of one kind of request, to the first part and to the last."""

    first_s: list[float]
    last_s: list[float]
    cpu_s: float
    wall_s: float


class Route(NamedTuple):
    """A base URL with the headers that it requires."""

    name: str
    session: ClientSession
    url: str
    headers: dict[str, str]


def run_path(*, commit: str, sizes: Sizes | None = None) -> Result:
    """Measure whole and streamed answers, directly and routed."""
    return asyncio.run(_measure(commit, sizes or Sizes()))


async def _measure(commit: str, sizes: Sizes) -> Result:
    rate = sizes.streams * STREAM_TOKENS_S
    async with LoopbackFleet(tokens_s=rate) as fleet:
        routes = _routes(fleet)
        for route in routes:
            body = _body(stream=True)
            await _send_at_fixed_rate(route, body, WARM_UP_REQUESTS)
            await _send_concurrently(route, body, sizes.streams)
        figures = []
        for stream in (False, True):
            figures.extend(await _latency(routes, sizes, stream=stream))
        points, ratios = await _token_points(routes, sizes)
    slope = fit('path_cpu_by_tokens', points, unit='ms', per='token')
    figures.extend((*ratios, *_token_figures(slope)))
    return new_result('path', commit=commit, slopes=(slope,), figures=figures)


def _token_figures(slope: Slope) -> tuple[Figure, ...]:
    us_per_token = slope.slope * MS_PER_S
    at_target = us_per_token * TARGET_TOKENS_S / US_PER_S
    return (
        Figure('path_cpu', 'us/token', us_per_token),
        Figure('path_share_at_target', 'core', at_target),
        Figure('path_tokens_per_core', '1/s', US_PER_S / us_per_token),
    )


def _routes(fleet: LoopbackFleet) -> tuple[Route, Route]:
    return (
        Route('direct', fleet.session, fleet.engine_url, {}),
        Route('routed', fleet.session, fleet.router_url, fleet.headers),
    )


async def _latency(
    routes: tuple[Route, Route],
    sizes: Sizes,
    *,
    stream: bool,
) -> list[Figure]:
    kind = 'streamed' if stream else 'whole'
    body = _body(stream=stream)
    direct, routed = [
        await _send_at_fixed_rate(route, body, sizes.requests)
        for route in routes
    ]
    figures = []
    for part in ('first', 'last'):
        direct_ms = _p95_ms(getattr(direct, f'{part}_s'))
        routed_ms = _p95_ms(getattr(routed, f'{part}_s'))
        name = f'{kind}_{part}_p95'
        figures.append(Figure(f'{name}_direct', 'ms', direct_ms))
        figures.append(Figure(f'{name}_added', 'ms', routed_ms - direct_ms))
        figures.append(Figure(f'{name}_ratio', '', routed_ms / direct_ms))
    figures.extend(_cpu_figures(kind, direct, routed))
    return figures


def _cpu_figures(kind: str, direct: Trial, routed: Trial) -> list[Figure]:
    added_s = (routed.cpu_s - direct.cpu_s) / len(direct.last_s)
    ratio = routed.cpu_s / direct.cpu_s
    return [
        Figure(f'{kind}_cpu', 'us/request', added_s * US_PER_S),
        Figure(f'{kind}_cpu_ratio', '', ratio),
    ]


async def _token_points(
    routes: tuple[Route, Route],
    sizes: Sizes,
) -> tuple[list[Point], list[Figure]]:
    points = []
    figures = []
    for tokens in sizes.tokens:
        body = _body(stream=True, tokens=tokens)
        direct, routed = [
            await _send_concurrently(route, body, sizes.streams)
            for route in routes
        ]
        added_ms = (routed.cpu_s - direct.cpu_s) * MS_PER_S
        points.append(Point(sizes.streams * tokens, added_ms))
        figures.extend(_ratio_figures(f'streams_of_{tokens}', direct, routed))
    return points, figures


def _ratio_figures(name: str, direct: Trial, routed: Trial) -> list[Figure]:
    wall_ratio = routed.wall_s / direct.wall_s
    cpu_ratio = routed.cpu_s / direct.cpu_s
    return [
        Figure(f'{name}_wall_ratio', '', wall_ratio),
        Figure(f'{name}_cpu_ratio', '', cpu_ratio),
    ]


async def _send_at_fixed_rate(
    route: Route, body: dict[str, Any], count: int
) -> Trial:
    trial = Trial([], [], 0, 0)
    stopwatch = _Stopwatch()
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            group.create_task(_send(route, body, trial))
            await asyncio.sleep(1 / REQUESTS_PER_S)
    return stopwatch.stop(trial)


async def _send_concurrently(
    route: Route, body: dict[str, Any], count: int
) -> Trial:
    trial = Trial([], [], 0, 0)
    stopwatch = _Stopwatch()
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            group.create_task(_send(route, body, trial))
    return stopwatch.stop(trial)


async def _send(route: Route, body: dict[str, Any], trial: Trial) -> None:
    started_at = time.perf_counter()
    async with route.session.post(
        route.url + CHAT_PATH,
        json=body,
        headers=route.headers,
    ) as response:
        response.raise_for_status()
        await response.content.readexactly(FIRST_BYTES)
        trial.first_s.append(time.perf_counter() - started_at)
        await response.read()
    trial.last_s.append(time.perf_counter() - started_at)


def _body(*, stream: bool, tokens: int = SHORT_ANSWER_TOKENS) -> dict[str, Any]:
    question = {'role': 'user', 'content': 'Which dues of this call are open?'}
    return {
        'model': MODEL,
        'messages': [question],
        'max_tokens': tokens,
        'standin': {'prompt_tokens': 16, 'output_tokens': tokens},
        'stream': stream,
    }


def _p95_ms(times_s: list[float]) -> float:
    return quantiles(times_s, n=20)[-1] * MS_PER_S


class _Stopwatch:
    def __init__(self) -> None:
        self._cpu_at = time.process_time()
        self._wall_at = time.perf_counter()

    def stop(self, trial: Trial) -> Trial:
        return trial._replace(
            cpu_s=time.process_time() - self._cpu_at,
            wall_s=time.perf_counter() - self._wall_at,
        )
