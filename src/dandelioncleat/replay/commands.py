"""The command ``replay``."""

import argparse
import tomllib
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from dandelioncleat.replay.evaluation import Finding, evaluate, measure_all
from dandelioncleat.replay.runner import replay
from dandelioncleat.replay.trace import TraceError, read_trace

ALL_MET = 0
SOME_MISSED = 1
INVALID_TRACE = 2


class Report(msgspec.Struct, frozen=True):
    """The result of one replay."""

    trace: str
    findings: tuple[Finding, ...]
    measures: dict[str, float]

    @property
    def met(self) -> bool:
        """Return whether every expected outcome was met."""
        return all(finding.met for finding in self.findings)


def add_parser(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser(
        'replay',
        help='replay recorded traces and check their expected outcomes',
    )
    parser.add_argument('traces', nargs='+', type=Path, metavar='TRACE')
    parser.add_argument(
        '--policy', type=Path, help='TOML file that overrides policy fields'
    )
    parser.add_argument('--seed', type=int, help="overrides the trace's seed")
    parser.add_argument('--json', action='store_true', dest='as_json')
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Replay every trace; return 0 if all outcomes were met, else 1 or 2."""
    console = Console(stderr=True)
    policy = _read_policy(arguments.policy)
    exit_code = ALL_MET
    for path in arguments.traces:
        try:
            report = replay_file(path, seed=arguments.seed, policy=policy)
        except TraceError as error:
            console.print(str(error), *error.errors, sep='\n')
            return INVALID_TRACE
        _show(report, as_json=arguments.as_json)
        exit_code = max(exit_code, ALL_MET if report.met else SOME_MISSED)
    return exit_code


def replay_file(
    path: Path,
    *,
    seed: int | None = None,
    policy: dict[str, Any] | None = None,
) -> Report:
    """Replay one trace and evaluate its expected outcomes.

    :raises TraceError: if the trace is invalid
    """
    trace = read_trace(path)
    facts = replay(trace, seed=seed, policy=policy)
    findings = evaluate(facts, trace.expectations)
    return Report(trace.deployment.name, findings, measure_all(facts))


def _read_policy(path: Path | None) -> dict[str, Any]:
    if path is None:
        return {}
    return tomllib.loads(path.read_text())


def _show(report: Report, *, as_json: bool) -> None:
    if as_json:
        encoded = msgspec.json.encode(report, order='sorted')
        Console().out(encoded.decode(), highlight=False)
        return
    table = Table(title=report.trace)
    for heading in ('measure', 'stated', 'found', ''):
        table.add_column(heading)
    for finding in report.findings:
        result = 'met' if finding.met else '[red]missed'
        found = format(finding.value, 'g')
        table.add_row(finding.measure, finding.bound, found, result)
    Console().print(table)
