"""The caller's credentials, its key and its limits, from HTTP headers."""

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
MADE_KEY_BYTES = 16
LOWEST_PRIORITY = 9
DEFAULT_PRIORITY = 5
MS_PER_S = 1000


class Caller(NamedTuple):
    """Who asks, in what name and within which limits.

    ``priority`` is from 0, which goes first, to 9.
    """

    organisation: str
    budget: BudgetId
    key: str
    fresh_key: bool
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
                text='a valid bearer key is needed',
            )
        return organisation


def caller_of(organisation: str, headers: Mapping[str, str]) -> Caller:
    """Return the caller that a request's headers describe."""
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
        key or secrets.token_hex(MADE_KEY_BYTES),
        fresh_key=not key,
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
    least: int,
    most: int | None,
) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdecimal():
        raise _invalid(name, 'a whole number')
    number = int(text)
    if number < least or (most is not None and number > most):
        raise _invalid(name, f'a number from {least} to {most}')
    return number


def _invalid(name: str, expected: str) -> FailureError:
    return failure_error(
        Code.INVALID,
        step=STEP,
        peer='',
        text=f'{name}: expected {expected}',
    )
