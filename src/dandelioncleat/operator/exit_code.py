"""Exit codes of the operator commands."""

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended; argparse also exits with ``USAGE``."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    LAGGING = 4
    CREDENTIAL = 5
