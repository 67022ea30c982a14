"""Validation errors of settings and patches, each with its key."""

from typing import NamedTuple

from pydantic import ValidationError

MAX_VALUE_CHARACTERS = 80
_SECRET_PARTS = ('secret', 'credential', 'digest')


class Defect(NamedTuple):
    """A key, its invalid value and what was expected instead."""

    key: str
    value: str
    expected: str


def defects_of(error: ValidationError) -> tuple[Defect, ...]:
    """Return every error of a validation, with secrets masked."""
    return tuple(
        Defect(
            key='.'.join(str(part) for part in line['loc']),
            value=_shown(line['type'], line['loc'], line['input']),
            expected=_expected(line['type'], line['msg']),
        )
        for line in error.errors(include_url=False, include_context=False)
    )


def shorten(text: str) -> str:
    """Truncate a value so that it fits on a line."""
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    start = text[:MAX_VALUE_CHARACTERS]
    return f'{start}...'


def _shown(kind: str, location: tuple[int | str, ...], found: object) -> str:
    if kind == 'missing':
        return '(missing)'
    if kind == 'json_invalid':
        return '(document)'
    names = [part for part in location if isinstance(part, str)]
    if any(part in name for name in names for part in _SECRET_PARTS):
        return '(hidden)'
    return shorten(repr(found))


def _expected(kind: str, message: str) -> str:
    if kind == 'extra_forbidden':
        return 'no such key'
    if kind == 'missing':
        return 'a value'
    text = message.removeprefix('Input should be ')
    return text.removeprefix('Value error, ')
