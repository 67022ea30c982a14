"""The command ``sidecar``: runs the process beside a target.

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
from dandelioncleat.daemons.settings import SidecarSettings, load_settings
from dandelioncleat.daemons.sidecar import run_sidecar

EXIT_ERRORS = 1


def add_parser(subparsers: Any) -> None:
    """Add the command ``sidecar`` to a command line."""
    parser = subparsers.add_parser('sidecar', help='run a sidecar')
    parser.add_argument('--settings', type=Path, required=True)
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    loaded = load_settings(arguments.settings)
    if not is_successful(loaded):
        print_defects(f'Errors in {arguments.settings}', loaded.failure())
        return EXIT_ERRORS
    settings = loaded.unwrap()
    if not isinstance(settings, SidecarSettings):
        sys.stderr.write(f'{arguments.settings}: not the role of a sidecar\n')
        return EXIT_ERRORS
    return asyncio.run(run_sidecar(settings))
