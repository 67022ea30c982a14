"""Converts between Python values and Cap'n Proto by type hints."""

from collections.abc import Callable
from enum import Enum
from functools import cache, partial
from typing import Any, NamedTuple, cast, get_args, get_origin, get_type_hints

Convert = Callable[[Any], Any]
Write = Callable[[Any, str, Any], None]


class Field(NamedTuple):
    """A field of a struct, with its schema name and its conversions."""

    name: str
    schema_name: str
    write: Write
    read: Convert | None


@cache
def fields_of(struct: type) -> tuple[Field, ...]:
    """Return the fields of a message or value class."""
    hints = get_type_hints(struct)
    return tuple(
        Field(
            name,
            schema_name(name),
            _writer(_without_newtype(hint)),
            _reader(_without_newtype(hint)),
        )
        for name, hint in hints.items()
        if not name.startswith('_')
    )


def schema_name(name: str) -> str:
    """Return the name of a field in the schema."""
    first, *others = name.split('_')
    return first + ''.join(other.title() for other in others)


def write_fields(struct: type, value: Any, builder: Any) -> None:
    """Set the fields of a Cap'n Proto builder one by one.

    This takes a fraction of the time of a builder that is made of a ``dict``.
    """
    for field in fields_of(struct):
        field.write(builder, field.schema_name, getattr(value, field.name))


def read_fields(struct: type, reader: Any) -> Any:
    """Return the value of a Cap'n Proto reader."""
    parts = []
    for field in fields_of(struct):
        part = getattr(reader, field.schema_name)
        parts.append(field.read(part) if field.read else part)
    return struct(*parts)


def _without_newtype(hint: Any) -> Any:
    while hasattr(hint, '__supertype__'):
        hint = hint.__supertype__
    return hint


def _is_value_class(hint: Any) -> bool:
    return isinstance(hint, type) and hasattr(hint, '_fields')


def _writer(hint: Any) -> Write:
    if get_origin(hint) is tuple:
        part_hint = _without_newtype(get_args(hint)[0])
        if _is_value_class(part_hint):
            return partial(_write_values, part_hint)
        return _write_list
    if _is_value_class(hint):
        return partial(_write_value, hint)
    if issubclass(hint, Enum):
        return _write_enum
    return setattr


def _write_values(
    struct: type,
    builder: Any,
    name: str,
    parts: tuple[Any, ...],
) -> None:
    written = builder.init(name, len(parts))
    for position, part in enumerate(parts):
        write_fields(struct, part, written[position])


def _write_list(builder: Any, name: str, parts: tuple[Any, ...]) -> None:
    setattr(builder, name, list(parts))


def _write_value(struct: type, builder: Any, name: str, part: Any) -> None:
    write_fields(struct, part, getattr(builder, name))


def _write_enum(builder: Any, name: str, part: Enum) -> None:
    setattr(builder, name, str(part))


def _reader(hint: Any) -> Convert | None:
    if get_origin(hint) is tuple:
        read = _reader(_without_newtype(get_args(hint)[0]))
        if read is None:
            return tuple
        return lambda parts: tuple(read(part) for part in parts)
    if _is_value_class(hint):
        return lambda part: read_fields(hint, part)
    if issubclass(hint, Enum):
        return cast(Convert, hint)
    return None
