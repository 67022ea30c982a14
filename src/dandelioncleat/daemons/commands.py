"""The commands that each run a daemon.

``router`` and ``sidecar`` form a fleet without a store; ``direct-router`` and
``gateway`` run on a platform with one.

Exit codes: 0 after a planned stop, 1 if something was lost or the settings
have errors.
"""

import argparse
import asyncio
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from returns.pipeline import is_successful

from dandelioncleat.adapters.defect_table import print_defects
from dandelioncleat.core.fleet import ROUTER, SIDECAR
from dandelioncleat.daemons import direct, gateway
from dandelioncleat.daemons.direct_process import run_program
from dandelioncleat.daemons.process import run_process
from dandelioncleat.daemons.router import new_router_daemon
from dandelioncleat.daemons.settings import (
    RouterSettings,
    Settings,
    SidecarSettings,
    load_settings,
)
from dandelioncleat.daemons.sidecar import new_sidecar_daemon

EXIT_ERRORS = 1


def add_parsers(subparsers: Any) -> None:
    """Add the commands of all daemons to a command line."""
    for role in (ROUTER, SIDECAR):
        parser = subparsers.add_parser(
            role, help=f'run a {role} of a fleet with sidecars'
        )
        parser.add_argument('--settings', type=Path, required=True)
        parser.set_defaults(run=_run, role=role)
    _add_platform_parser(
        subparsers, direct.ROLE, _run_direct, help_text='run a router'
    )
    _add_platform_parser(
        subparsers, gateway.ROLE, _run_gateway, help_text='run a gateway'
    )


def _add_platform_parser(
    subparsers: Any,
    role: str,
    run: Callable[[argparse.Namespace], int],
    *,
    help_text: str,
) -> None:
    parser = subparsers.add_parser(
        role, help=f'{help_text} on a platform with a store'
    )
    parser.add_argument('--settings', type=Path, required=True)
    parser.set_defaults(run=run)


def _run_direct(arguments: argparse.Namespace) -> int:
    return run_program(direct.new_program(), arguments.settings)


def _run_gateway(arguments: argparse.Namespace) -> int:
    return run_program(gateway.new_program(), arguments.settings)


def _run(arguments: argparse.Namespace) -> int:
    loaded = load_settings(arguments.settings)
    if not is_successful(loaded):
        print_defects(f'Errors in {arguments.settings}', loaded.failure())
        return EXIT_ERRORS
    process = _process(arguments.role, loaded.unwrap())
    if process is None:
        role = arguments.role
        sys.stderr.write(
            f'{arguments.settings}: not the settings of a {role}\n'
        )
        return EXIT_ERRORS
    return asyncio.run(process)


def _process(role: str, settings: Settings) -> Coroutine[Any, Any, int] | None:
    match settings:
        case RouterSettings() if role == ROUTER:
            return run_process(
                settings,
                role=role,
                new_daemon=new_router_daemon,
            )
        case SidecarSettings() if role == SIDECAR:
            return run_process(
                settings,
                role=role,
                new_daemon=new_sidecar_daemon,
            )
        case _:
            return None
