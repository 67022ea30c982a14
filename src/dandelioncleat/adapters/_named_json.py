"""Decodes JSON objects into named tuples.

msgspec itself decodes named tuples from arrays only.
"""

from typing import Any, NamedTuple, TypeVar

import msgspec

from dandelioncleat.core.decoding import decode_bytes

NamedT = TypeVar('NamedT', bound=NamedTuple)

_OBJECT_DECODER = msgspec.json.Decoder(dict[str, Any])
_OBJECTS_DECODER = msgspec.json.Decoder(list[dict[str, Any]])


def decode_named(body: bytes, named: type[NamedT]) -> NamedT:
    """Decode one object; raise ``msgspec.MsgspecError`` if malformed."""
    return _convert(decode_bytes(_OBJECT_DECODER.decode, body), named)


def decode_all_named(body: bytes, named: type[NamedT]) -> tuple[NamedT, ...]:
    """Decode a list of objects."""
    return tuple(
        _convert(each, named)
        for each in decode_bytes(_OBJECTS_DECODER.decode, body)
    )


def _convert(fields_by_name: dict[str, Any], named: type[NamedT]) -> NamedT:
    ordered = [fields_by_name.get(name) for name in named._fields]
    return msgspec.convert(ordered, named)
