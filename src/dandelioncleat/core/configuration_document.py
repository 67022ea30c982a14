"""A configuration as a document, and the differences between two."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from dandelioncleat.core.configuration import Configuration


class Difference(NamedTuple):
    """A key whose value differs; ``None`` stands for no value."""

    key: str
    before: Any
    after: Any


def document_of(configuration: Configuration) -> dict[str, Any]:
    """Return a configuration in the format of a patch."""
    return {
        'services': _section(configuration.services_by_name),
        'targets': _section(configuration.targets_by_name),
        'organisations': _section(configuration.organisations_by_name),
        'operators': _section(configuration.operators_by_name),
        'policy': as_builtins(configuration.policy),
    }


def differences(
    before: dict[str, Any],
    after: dict[str, Any],
) -> tuple[Difference, ...]:
    """Return the differences between two documents, by key."""
    return tuple(_differences('', before, after))


def as_builtins(value: Any) -> Any:
    """Convert named tuples and structs to JSON types, recursively."""
    match value:
        case msgspec.Struct():
            return {
                **_tag_of(value),
                **as_builtins(msgspec.structs.asdict(value)),
            }
        case Enum():
            return value.value
        case bytes():
            return value.decode('utf-8', 'replace')
        case dict():
            return {key: as_builtins(part) for key, part in value.items()}
        case tuple() if hasattr(value, '_asdict'):
            return as_builtins(value._asdict())  # noqa: WPS437
        case tuple() | list():
            return [as_builtins(part) for part in value]
    return value


def _section(entries_by_name: dict[str, Any]) -> dict[str, Any]:
    return {
        name: {
            field: part
            for field, part in as_builtins(entry).items()
            if field != 'name'
        }
        for name, entry in entries_by_name.items()
    }


def _tag_of(value: msgspec.Struct) -> dict[str, Any]:
    configuration = value.__struct_config__
    if configuration.tag_field is None:
        return {}
    return {configuration.tag_field: configuration.tag}


def _differences(key: str, before: Any, after: Any) -> Iterator[Difference]:
    if isinstance(before, dict) and isinstance(after, dict):
        for name in sorted({**before, **after}):
            child = f'{key}.{name}' if key else name
            yield from _differences(child, before.get(name), after.get(name))
    elif before != after:
        yield Difference(key, before, after)
