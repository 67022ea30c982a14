"""The command ``bench``."""

import argparse
import logging
from collections.abc import Callable
from pathlib import Path

import msgspec
import structlog
from rich.console import Console
from rich.table import Table

from dandelioncleat.bench.control import run_control
from dandelioncleat.bench.decisions import run_decisions
from dandelioncleat.bench.folds import run_folds
from dandelioncleat.bench.path import run_path
from dandelioncleat.bench.result import Result

BENCHES: dict[str, Callable[..., Result]] = {
    'path': run_path,
    'control': run_control,
    'folds': run_folds,
    'decisions': run_decisions,
}


def add_parser(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser(
        'bench',
        help='measure cost against size, in memory or on the loopback',
    )
    parser.add_argument('bench', choices=BENCHES)
    parser.add_argument('--commit', default='', help='commit that is measured')
    parser.add_argument('--output', type=Path, help='file for the JSON result')
    parser.add_argument('--json', action='store_true', dest='as_json')
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Measure and show the result; return 0."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING),
    )
    result = BENCHES[arguments.bench](commit=arguments.commit)
    encoded = b'%b\n' % msgspec.json.format(msgspec.json.encode(result))
    if arguments.output is not None:
        arguments.output.write_bytes(encoded)
    if arguments.as_json:
        Console().out(encoded.decode(), highlight=False, end='')
    else:
        show(result, Console())
    return 0


def show(result: Result, console: Console) -> None:
    """Print slopes and figures as tables."""
    slopes = Table(title=result.bench)
    for heading in ('slope', 'unit', 'per', 'each', 'at 0', 'residual'):
        slopes.add_column(heading)
    for slope in result.slopes:
        slopes.add_row(
            slope.name,
            slope.unit,
            slope.per,
            format(slope.slope, '.4g'),
            format(slope.intercept, '.4g'),
            format(slope.residual, '.0%'),
        )
    figures = Table('figure', 'unit', 'value')
    for figure in result.figures:
        figures.add_row(figure.name, figure.unit, format(figure.value, '.4g'))
    console.print(slopes)
    console.print(figures)
