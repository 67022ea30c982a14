"""Exit codes of the operator commands."""

from enum import IntEnum


class ExitCode(IntEnum):
    """States how a command ended; 2 is a wrong command line."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    LAGGING = 4
    CREDENTIAL = 5
