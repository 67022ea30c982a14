"""Names the starts of a process."""

import secrets

from dandelioncleat.core.identity import Incarnation

UNIQUE_BYTES = 6


def new_incarnation(host: str) -> Incarnation:
    """Name one start of a process on a host."""
    unique = secrets.token_hex(UNIQUE_BYTES)
    return Incarnation(f'{host}/{unique}')
