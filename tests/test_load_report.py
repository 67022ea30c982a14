"""Tests of how a target's load reaches the routers that watch it."""

import asyncio
from contextlib import aclosing

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from dandelioncleat.adapters import virtual_time
from dandelioncleat.app.executor_parts import ExecutorIdentity
from dandelioncleat.app.load_report import (
    MAX_INTERVAL_S,
    MAX_REPORTS_PER_S,
    LoadReport,
    load_changes,
)
from dandelioncleat.app.run_book import RunBook
from dandelioncleat.app.target_record import TargetRecord
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import Load
from dandelioncleat.core.record import Join
from dandelioncleat.ports.target import CacheEvents, TargetLoad
from dandelioncleat.ports.telemetry import NullTelemetry

SIDECAR = Incarnation('s/1')
PREFIXES = st.lists(st.sampled_from('abcdefgh'), unique=True).map(tuple)
DURATION_S = 40.0


class BusyTarget:
    """Reports another load and another cached prefix at each poll."""

    def __init__(self) -> None:
        self.polls = 0

    async def load(self) -> TargetLoad:
        self.polls += 1
        return TargetLoad(8, 4, 0, self.polls, 1000, 0)

    async def cache_events(self, start: int) -> CacheEvents:
        return CacheEvents(self.polls, False, (f'p{self.polls}',), ())


def new_load(prefixes: tuple[str, ...]) -> Load:
    return Load('t', SIDECAR, False, 8, 1, 0, 100, 1000, 0, prefixes)


def new_report() -> LoadReport:
    return LoadReport(
        ExecutorIdentity(SIDECAR, 't', 'dues-llm'),
        client=BusyTarget(),
        book=RunBook(SIDECAR, on_abandoned=lambda _run: None),
        slots=lambda: 8,
        is_leaving=lambda: False,
        telemetry=NullTelemetry(),
    )


class LoadReportTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(PREFIXES, min_size=1, max_size=8))
    def test_record_updated_by_changes_has_the_current_prefixes(
        self, steps
    ) -> None:
        join = Join(SIDECAR, 'sidecar', 'a', 'x:1', 't', 'dues-llm')
        record = TargetRecord(join)
        last_sent = new_load(steps[0])
        record.take(last_sent, 0)
        for prefixes in steps[1:]:
            load = new_load(prefixes)
            record.take(load_changes(last_sent, load), 0)
            last_sent = load
        known = record.candidate(0).prefixes
        self.assertThat(set(known), Equals(set(steps[-1])))

    def test_first_report_of_a_watch_is_whole(self) -> None:
        async def scenario() -> list[Load]:
            report = new_report()
            polling = asyncio.create_task(report.run())
            watch = report.watch()
            async with aclosing(watch):
                loads = [await anext(watch) for _ in range(3)]
            polling.cancel()
            return loads

        loads = virtual_time.run(scenario())
        self.assertThat(
            [load.is_whole for load in loads],
            Equals([True, False, False]),
        )

    def test_many_watchers_share_the_rate_of_reports(self) -> None:
        async def count(report: LoadReport, counts: list[int]) -> None:
            watch = report.watch()
            async with aclosing(watch):
                async for _load in watch:
                    counts.append(1)

        async def scenario(watchers: int) -> float:
            report = new_report()
            counts: list[int] = []
            tasks = [asyncio.create_task(report.run())]
            for _ in range(watchers):
                tasks.append(asyncio.create_task(count(report, counts)))
            await asyncio.sleep(DURATION_S)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return (len(counts) - watchers) / DURATION_S

        for watchers in (1, 20, 100):
            rate = virtual_time.run(scenario(watchers))
            self.assertThat(rate, LessThan(MAX_REPORTS_PER_S + 1), watchers)
        min_rate = 300 / MAX_INTERVAL_S
        rate = virtual_time.run(scenario(300))
        self.assertThat(rate, LessThan(min_rate + 1))

    def test_unchanged_load_reports_no_prefixes(self) -> None:
        load = new_load(('a', 'b'))
        same = structs.replace(load, prefixes=(), is_whole=False)
        self.assertThat(load_changes(load, load), Equals(same))
