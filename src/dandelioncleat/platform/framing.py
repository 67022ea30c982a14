"""The store's binary framing of records in HTTP bodies."""

import struct
from collections.abc import Iterable, Iterator

_LENGTH = struct.Struct('>I')
PAGE_HEAD = struct.Struct('>QQ')
"""Precedes the records of a read: end of the topic, first kept offset."""


def frame_records(records: Iterable[tuple[str, bytes]]) -> bytes:
    """Return the records, each prefixed with its length."""
    return b''.join(_framed(key, value) for key, value in records)


class IncompleteBodyError(ValueError):
    """A body ends inside a record."""


def split_records(body: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield the keys and values of a framed body.

    :raises IncompleteBodyError: if the body ends inside a record
    """
    at = 0
    while at < len(body):
        start = at + _LENGTH.size
        if start > len(body):
            raise IncompleteBodyError('the body ends inside a length')
        end = start + _LENGTH.unpack_from(body, at)[0]
        if end > len(body):
            raise IncompleteBodyError('the body ends inside a record')
        yield _key_and_value(body[start:end])
        at = end


def _framed(key: str, value: bytes) -> bytes:
    name = key.encode()
    content = bytes((len(name),)) + name + value
    return _LENGTH.pack(len(content)) + content


def _key_and_value(content: bytes) -> tuple[str, bytes]:
    size = content[0] if content else 0
    key_end = 1 + size
    key = content[1:key_end].decode('utf-8', 'replace')
    return key, content[key_end:]
