"""Generates identifiers of process starts."""

import secrets

from dandelioncleat.core.identity import Incarnation

UNIQUE_BYTES = 6


def new_incarnation(host: str) -> Incarnation:
    """Return a unique identifier for one start of a process."""
    unique = secrets.token_hex(UNIQUE_BYTES)
    return Incarnation(f'{host}/{unique}')
