"""Parses a caller's credentials, key and limits from HTTP headers."""

import secrets
from collections.abc import Callable, Mapping
from typing import NamedTuple

from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.credential import CredentialIndex
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.identity import BudgetId, organisation_of

KEY_HEADER = 'Idempotency-Key'
BUDGET_HEADER = 'X-Budget'
DEADLINE_HEADER = 'X-Deadline-Ms'
PRIORITY_HEADER = 'X-Priority'
STEP = 'headers'
BEARER = 'Bearer '
MAX_KEY_CHARACTERS = 128
GENERATED_KEY_BYTES = 16
LOWEST_PRIORITY = 9
DEFAULT_PRIORITY = 5
MS_PER_S = 1000


class Caller(NamedTuple):
    """The organisation, budget, key and limits of a caller.

    ``priority`` is from 0 (served first) to 9.
    """

    organisation: str
    budget: BudgetId
    key: str
    has_generated_key: bool
    priority: int
    deadline_s: float | None


class CallerKeys:
    """Finds the organisation that a bearer key belongs to."""

    def __init__(self, configuration: Callable[[], Configuration]) -> None:
        """Take the source of the configuration in force."""
        self._configuration = configuration
        self._digest = ''
        self._index = CredentialIndex(configuration())

    def organisation_of(self, headers: Mapping[str, str]) -> str:
        """Return the caller's organisation or raise ``FailureError``."""
        current = self._configuration()
        if current.digest != self._digest:
            self._index = CredentialIndex(current)
            self._digest = current.digest
        text = headers.get('Authorization', '')
        organisation = None
        if text.startswith(BEARER):
            organisation = self._index.organisation_of(
                text.removeprefix(BEARER).strip(),
            )
        if organisation is None:
            raise failure_error(
                Code.CREDENTIAL,
                step='authenticate',
                peer='',
                text='missing or invalid bearer key',
            )
        return organisation


def parse_caller(organisation: str, headers: Mapping[str, str]) -> Caller:
    """Return the caller described by a request's headers."""
    key = headers.get(KEY_HEADER, '')
    if not key.isprintable() or len(key) > MAX_KEY_CHARACTERS:
        raise _invalid(
            KEY_HEADER,
            f'up to {MAX_KEY_CHARACTERS} printable characters',
        )
    priority = _number(headers, PRIORITY_HEADER, 0, LOWEST_PRIORITY)
    deadline_ms = _number(headers, DEADLINE_HEADER, 1, None)
    return Caller(
        organisation,
        _budget(organisation, headers),
        key or secrets.token_hex(GENERATED_KEY_BYTES),
        has_generated_key=not key,
        priority=DEFAULT_PRIORITY if priority is None else priority,
        deadline_s=None if deadline_ms is None else deadline_ms / MS_PER_S,
    )


def _budget(organisation: str, headers: Mapping[str, str]) -> BudgetId:
    budget = BudgetId(headers.get(BUDGET_HEADER, organisation))
    if organisation_of(budget) != organisation:
        raise failure_error(
            Code.CREDENTIAL,
            step='authorise',
            peer='',
            text='the budget belongs to another organisation',
        )
    return budget


def _number(
    headers: Mapping[str, str],
    name: str,
    minimum: int,
    maximum: int | None,
) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdecimal():
        raise _invalid(name, 'a whole number')
    number = int(text)
    if number < minimum or (maximum is not None and number > maximum):
        raise _invalid(name, f'a number from {minimum} to {maximum}')
    return number


def _invalid(name: str, expected: str) -> FailureError:
    return failure_error(
        Code.INVALID,
        step=STEP,
        peer='',
        text=f'{name}: expected {expected}',
    )
