"""The command ``operator key new``."""

import argparse
import secrets
from typing import Any

from dandelioncleat.core.credential import (
    SALT_BYTES,
    SECRET_BYTES,
    new_key,
)
from dandelioncleat.operator.exit_code import ExitCode
from dandelioncleat.operator.output import print_json, print_line


def add_parsers(commands: Any) -> None:
    """Add ``key``."""
    key = commands.add_parser('key', help='keys of callers and operators')
    actions = key.add_subparsers(required=True, metavar='ACTION')
    new = actions.add_parser('new', help='print a key and its hash entry')
    new.add_argument('--json', action='store_true', help='print JSON')
    new.set_defaults(run=_new)


def _new(arguments: argparse.Namespace) -> ExitCode:
    generated = new_key(
        secrets.token_bytes(SALT_BYTES),
        secrets.token_bytes(SECRET_BYTES),
    )
    entry = generated.entry
    if arguments.json:
        print_json({'key': generated.text, 'entry': entry._asdict()})
        return ExitCode.DONE
    print_line(generated.text)
    print_line(f'salt = "{entry.salt}"')
    print_line(f'digest = "{entry.digest}"')
    return ExitCode.DONE
