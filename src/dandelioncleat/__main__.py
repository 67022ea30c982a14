"""The command line of dandelioncleat."""

import argparse
import sys
from collections.abc import Sequence


def new_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    return argparse.ArgumentParser(
        prog='dandelioncleat',
        description='A router fleet for prepaid token budgets.',
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code."""
    new_parser().parse_args(arguments)
    return 0


if __name__ == '__main__':
    sys.exit(main())
