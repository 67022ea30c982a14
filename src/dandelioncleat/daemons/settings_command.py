"""The command ``settings``: checks settings files and prints examples.

Exit codes: 0 if the file is valid, 1 if it has errors.
"""

import argparse
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from returns.pipeline import is_successful
from returns.result import Result

from dandelioncleat.adapters.defect_table import print_defects
from dandelioncleat.daemons import direct, gateway
from dandelioncleat.daemons.direct_settings import (
    load_direct_settings,
    load_gateway_settings,
)
from dandelioncleat.daemons.settings import load_settings
from dandelioncleat.daemons.settings_example import EXAMPLES_BY_ROLE

EXIT_ERRORS = 1

_LOADERS_BY_ROLE: dict[str, Callable[[Path], Result[Any, str]]] = {
    direct.ROLE: load_direct_settings,
    gateway.ROLE: load_gateway_settings,
}


def add_parser(subparsers: Any) -> None:
    """Add ``settings check`` and ``settings example``."""
    parser = subparsers.add_parser('settings', help='check settings files')
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    check = commands.add_parser('check', help='report every error of a file')
    check.add_argument('file', type=Path)
    check.add_argument(
        '--role',
        choices=sorted(_LOADERS_BY_ROLE),
        help='a role on a platform with a store',
    )
    check.set_defaults(run=_check)
    example = commands.add_parser('example', help='print a complete example')
    example.add_argument('role', choices=sorted(EXAMPLES_BY_ROLE))
    example.set_defaults(run=_print_example)


def _check(arguments: argparse.Namespace) -> int:
    if arguments.role is not None:
        return _check_for_platform(arguments)
    settings = load_settings(arguments.file)
    if is_successful(settings):
        sys.stdout.write(f'{arguments.file}: valid\n')
        return 0
    print_defects(f'Errors in {arguments.file}', settings.failure())
    return EXIT_ERRORS


def _check_for_platform(arguments: argparse.Namespace) -> int:
    loaded = _LOADERS_BY_ROLE[arguments.role](arguments.file)
    if is_successful(loaded):
        sys.stdout.write(f'{arguments.file}: valid\n')
        return 0
    sys.stderr.write(f'{arguments.file}: {loaded.failure()}\n')
    return EXIT_ERRORS


def _print_example(arguments: argparse.Namespace) -> int:
    sys.stdout.write(EXAMPLES_BY_ROLE[arguments.role])
    return 0
