"""The command ``router``: runs the process of an entry host.

Exit codes: 0 after a planned stop, 1 if something was lost or the settings
have errors.
"""

import argparse
import asyncio
import sys
from pathlib import Path
from typing import Any

from returns.pipeline import is_successful

from dandelioncleat.adapters.defect_table import print_defects
from dandelioncleat.daemons.router import run_router
from dandelioncleat.daemons.settings import RouterSettings, load_settings

EXIT_ERRORS = 1


def add_parser(subparsers: Any) -> None:
    """Add the command ``router`` to a command line."""
    parser = subparsers.add_parser('router', help='run a router')
    parser.add_argument('--settings', type=Path, required=True)
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    loaded = load_settings(arguments.settings)
    if not is_successful(loaded):
        print_defects(f'Errors in {arguments.settings}', loaded.failure())
        return EXIT_ERRORS
    settings = loaded.unwrap()
    if not isinstance(settings, RouterSettings):
        sys.stderr.write(f'{arguments.settings}: not the role of a router\n')
        return EXIT_ERRORS
    return asyncio.run(run_router(settings))
