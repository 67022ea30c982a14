"""Builders of records that can't be read."""

import msgspec

DEPTH = 100_000
DEEP_JSON = b'{"load":' + b'[' * DEPTH
MAX_SHORT_ARRAY = 14
"""Fields of an array with a one-byte head, less the deep one."""


def deep_row(*fields):
    """Return an array of fields and one more that is nested too deep."""
    assert len(fields) <= MAX_SHORT_ARRAY
    head = bytes((0x90 + len(fields) + 1,))
    rows = b''.join(msgspec.msgpack.encode(field) for field in fields)
    return head + rows + b'\x91' * DEPTH
