"""Converts values between our types and Cap'n Proto's, by type hints."""

from collections.abc import Callable
from enum import Enum
from functools import cache
from typing import Any, NamedTuple, cast, get_args, get_origin, get_type_hints

Convert = Callable[[Any], Any]


class Field(NamedTuple):
    """A field of a struct, with its schema name and its conversions."""

    name: str
    schema_name: str
    write: Convert | None
    read: Convert | None


@cache
def fields_of(struct: type) -> tuple[Field, ...]:
    """Return the fields of a message or value class."""
    hints = get_type_hints(struct)
    return tuple(
        Field(
            name,
            schema_name(name),
            _writer(_plain_type(hint)),
            _reader(_plain_type(hint)),
        )
        for name, hint in hints.items()
        if not name.startswith('_')
    )


def schema_name(name: str) -> str:
    """Return the schema's name of a field."""
    first, *others = name.split('_')
    return first + ''.join(other.title() for other in others)


def write_fields(struct: type, value: Any) -> dict[str, Any]:
    """Return the schema's fields of a value."""
    written = {}
    for field in fields_of(struct):
        part = getattr(value, field.name)
        written[field.schema_name] = field.write(part) if field.write else part
    return written


def read_fields(struct: type, reader: Any) -> Any:
    """Return the value that a schema's reader holds."""
    parts = []
    for field in fields_of(struct):
        part = getattr(reader, field.schema_name)
        parts.append(field.read(part) if field.read else part)
    return struct(*parts)


def _plain_type(hint: Any) -> Any:
    while hasattr(hint, '__supertype__'):
        hint = hint.__supertype__
    return hint


def _is_value_class(hint: Any) -> bool:
    return isinstance(hint, type) and hasattr(hint, '_fields')


def _writer(hint: Any) -> Convert | None:
    if get_origin(hint) is tuple:
        write = _writer(_plain_type(get_args(hint)[0]))
        if write is None:
            return list
        return lambda parts: [write(part) for part in parts]
    if _is_value_class(hint):
        return lambda part: write_fields(hint, part)
    if issubclass(hint, Enum):
        return str
    return None


def _reader(hint: Any) -> Convert | None:
    if get_origin(hint) is tuple:
        read = _reader(_plain_type(get_args(hint)[0]))
        if read is None:
            return tuple
        return lambda parts: tuple(read(part) for part in parts)
    if _is_value_class(hint):
        return lambda part: read_fields(hint, part)
    if issubclass(hint, Enum):
        return cast(Convert, hint)
    return None
