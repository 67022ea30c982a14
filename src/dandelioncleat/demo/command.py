"""The command ``demo``: both workloads in one process, over real sockets.

Exit codes: 0 if every guarantee was kept, 1 if one was violated.
"""

import argparse
import asyncio
import logging
from typing import Any

import aiohttp
from rich.console import Console

from dandelioncleat.adapters.log_lines import configure_log_lines
from dandelioncleat.demo.consistency import ConsistencyChecker
from dandelioncleat.demo.fleet import DemoFleet
from dandelioncleat.demo.report import Report
from dandelioncleat.demo.scenarios import SCENARIOS
from dandelioncleat.demo.totals import read_ledger

EXIT_VIOLATED = 1
SCENARIO_TIMEOUT_S = 20.0


def add_parser(subparsers: Any) -> None:
    """Add the command ``demo`` to a command line."""
    parser = subparsers.add_parser(
        'demo', help='run both workloads in one process, with faults'
    )
    parser.add_argument(
        '--logs', action='store_true', help='print the log lines too'
    )
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    level = logging.INFO if arguments.logs else logging.CRITICAL
    configure_log_lines('console', level=level)
    return asyncio.run(_run_demo(Console()))


async def _run_demo(console: Console) -> int:
    report = Report(console)
    async with aiohttp.ClientSession() as session:
        fleet = DemoFleet(session, report)
        try:
            await fleet.open()
            await _run_scenarios(fleet)
        finally:
            await fleet.close()
        await _check_results(fleet.checker, report, fleet)
    return EXIT_VIOLATED if report.violations else 0


async def _run_scenarios(fleet: DemoFleet) -> None:
    for scenario in SCENARIOS:
        try:
            async with asyncio.timeout(SCENARIO_TIMEOUT_S):
                await scenario(fleet)
        except TimeoutError:
            fleet.report.check(
                False, f'the scenario ends within {SCENARIO_TIMEOUT_S:.0f} s'
            )


async def _check_results(
    checker: ConsistencyChecker, report: Report, fleet: DemoFleet
) -> None:
    report.heading('Answers to callers compared with actual runs')
    ledger = await read_ledger(fleet.platform.log)
    summaries = tuple(checker.summaries(ledger))
    report.check(
        not any(summary.overspend for summary in summaries),
        'no organisation spent beyond its budget',
    )
    report.check(
        not any(summary.double_runs for summary in summaries),
        'no invoice and no redemption ran twice',
    )
    report.check(
        not checker.wrong_answers(), 'every answer is complete and its own'
    )
    report.check(
        not checker.refusals_that_ran(), 'nothing reported as not-run ran'
    )
    misbilled = checker.misbilled(ledger)
    report.check(
        not misbilled, f'each request has one bill ({len(misbilled)} differ)'
    )
    report.print_summary(summaries)
