"""The command ``operator`` and its subcommands.

Exit codes: 0 done, 1 refused, 2 wrong command line or unreadable file,
3 no answer (the outcome is unknown; the same command may be run again),
4 accepted but not yet in force everywhere, 5 no valid operator key.
"""

import argparse
from typing import Any

from dandelioncleat.operator import (
    budget_commands,
    fleet_commands,
    key_command,
    patch_commands,
)


def add_parser(subparsers: Any) -> None:
    """Add ``operator`` and its commands."""
    parser = subparsers.add_parser(
        'operator',
        help='operate the fleet through any router',
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    for module in (
        patch_commands,
        budget_commands,
        fleet_commands,
        key_command,
    ):
        module.add_parsers(commands)
