"""Runs an operator command against the routers in its options."""

import argparse
import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp

from dandelioncleat.core.failure import FailureError
from dandelioncleat.operator.client import CALL_TIMEOUT_S, OperatorClient
from dandelioncleat.operator.exit_code import ExitCode

ROUTERS_VARIABLE = 'DANDELIONCLEAT_ROUTERS'
KEY_VARIABLE = 'DANDELIONCLEAT_OPERATOR_KEY'

Operation = Callable[[OperatorClient, argparse.Namespace], Awaitable[ExitCode]]


def new_options() -> argparse.ArgumentParser:
    """Return the options that all commands share, as a parent parser."""
    parser = argparse.ArgumentParser(add_help=False)
    parser.add_argument(
        '--router',
        action='append',
        metavar='URL',
        help=f'base URL of a router; or ${ROUTERS_VARIABLE}, comma-separated',
    )
    parser.add_argument(
        '--key-file',
        type=Path,
        help=f'file with the operator key; or ${KEY_VARIABLE}',
    )
    parser.add_argument(
        '--timeout',
        type=float,
        default=CALL_TIMEOUT_S,
        metavar='S',
        help='seconds to keep trying (default: %(default)s)',
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    return parser


def runner(operation: Operation) -> Callable[[argparse.Namespace], int]:
    """Return the ``run`` function of a command."""

    def run(arguments: argparse.Namespace) -> int:  # noqa: WPS430
        try:
            return asyncio.run(_run(operation, arguments))
        except FailureError as error:
            return _fail(str(error), ExitCode.UNKNOWN)
        except OSError as error:
            return _fail(str(error), ExitCode.USAGE)

    return run


async def _run(operation: Operation, arguments: argparse.Namespace) -> ExitCode:
    routers = arguments.router or os.environ.get(ROUTERS_VARIABLE, '').split(
        ',',
    )
    key = _key(arguments.key_file)
    headers = {'Authorization': f'Bearer {key}'}
    async with aiohttp.ClientSession(headers=headers) as session:
        client = OperatorClient(
            session=session,
            routers=tuple(url.rstrip('/') for url in routers if url),
            timeout_s=arguments.timeout,
        )
        return await operation(client, arguments)


def _key(path: Path | None) -> str:
    if path is None:
        return os.environ.get(KEY_VARIABLE, '').strip()
    lines = path.read_text().split()
    return lines[0] if lines else ''


def _fail(text: str, code: ExitCode) -> ExitCode:
    sys.stderr.write(f'{text}\n')
    return code
