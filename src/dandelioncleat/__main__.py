"""The command line of dandelioncleat."""

import argparse
import sys
from collections.abc import Sequence

from dandelioncleat.bench import commands as bench_commands
from dandelioncleat.daemons import commands as daemon_commands
from dandelioncleat.daemons import settings_command
from dandelioncleat.demo import command as demo_command
from dandelioncleat.operator import command as operator_command
from dandelioncleat.replay import commands as replay_commands
from dandelioncleat.standin import commands as standin_commands


def new_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog='dandelioncleat',
        description='A router fleet for prepaid token budgets.',
    )
    subparsers = parser.add_subparsers(required=True, metavar='COMMAND')
    daemon_commands.add_parsers(subparsers)
    settings_command.add_parser(subparsers)
    demo_command.add_parser(subparsers)
    standin_commands.add_parser(subparsers)
    operator_command.add_parser(subparsers)
    replay_commands.add_parser(subparsers)
    bench_commands.add_parser(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code."""
    parsed = new_parser().parse_args(arguments)
    exit_code: int = parsed.run(parsed)
    return exit_code


if __name__ == '__main__':
    sys.exit(main())
