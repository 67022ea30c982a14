"""A record of a keyed topic of the platform's store."""

from typing import NamedTuple


class KeyedRecord(NamedTuple):
    """The newest record of a key; an empty ``value`` marks a deletion."""

    key: str
    value: bytes
    offset: int
