"""The command ``demo``: both workloads in one process, over real sockets.

Exit codes: 0 if every promise was kept, 1 if one was broken.
"""

import argparse
import asyncio
import logging
from typing import Any

import aiohttp
from rich.console import Console

from dandelioncleat.adapters.log_lines import configure_log_lines
from dandelioncleat.demo.account import read_ledger
from dandelioncleat.demo.report import Report
from dandelioncleat.demo.scenes import SCENES
from dandelioncleat.demo.stage import Stage
from dandelioncleat.demo.witness import Witness

EXIT_BROKEN = 1
SCENE_LIMIT_S = 20.0


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
    return asyncio.run(_demonstrate(Console()))


async def _demonstrate(console: Console) -> int:
    report = Report(console)
    async with aiohttp.ClientSession() as session:
        stage = Stage(session, report)
        try:
            await stage.open()
            await _play(stage)
        finally:
            await stage.close()
        await _judge(stage.witness, report, stage)
    return EXIT_BROKEN if report.breaches else 0


async def _play(stage: Stage) -> None:
    for scene in SCENES:
        try:
            async with asyncio.timeout(SCENE_LIMIT_S):
                await scene(stage)
        except TimeoutError:
            stage.report.check(
                False, f'the scene ends within {SCENE_LIMIT_S:.0f} s'
            )


async def _judge(witness: Witness, report: Report, stage: Stage) -> None:
    report.scene('What callers were told against what really ran')
    ledger = await read_ledger(stage.platform.log)
    accounts = tuple(witness.accounts(ledger))
    report.check(
        not any(account.overspend for account in accounts),
        'no organisation spent beyond its budget',
    )
    report.check(
        not any(account.double_runs for account in accounts),
        'no invoice and no redemption ran twice',
    )
    report.check(
        not witness.wrong_answers(), 'every answer is its own and whole'
    )
    report.check(not witness.untrue_refusals(), 'what was not-run did not run')
    misbilled = witness.misbilled(ledger)
    report.check(
        not misbilled, f'each request has one bill ({len(misbilled)} differ)'
    )
    report.close(accounts)
