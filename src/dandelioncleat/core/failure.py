"""Errors with the step and the peer at which they occurred."""

from enum import StrEnum
from typing import NamedTuple


class Code(StrEnum):
    """The reasons why a request or a message is refused."""

    BUDGET = 'budget'
    CAPACITY = 'capacity'
    CONFLICT = 'conflict'
    CREDENTIAL = 'credential'
    DEADLINE = 'deadline'
    FENCED = 'fenced'
    INVALID = 'invalid'
    LEAVING = 'leaving'
    LOG = 'log'
    NOT_FOUND = 'not_found'
    NOT_HOME = 'not_home'
    NOT_READY = 'not_ready'
    POISON = 'poison'
    SEALED = 'sealed'
    SUPERSEDED = 'superseded'
    TARGET = 'target'
    TOO_LARGE = 'too_large'
    UNKNOWN = 'unknown'
    UNREACHABLE = 'unreachable'


class Failure(NamedTuple):
    """States why, at which step and at which peer something failed."""

    code: Code
    step: str
    peer: str
    text: str


class FailureError(Exception):
    """Carries a failure through code that cannot return it."""

    def __init__(self, failure: Failure) -> None:
        """Wrap a failure."""
        super().__init__(f'{failure.step} at {failure.peer}: {failure.text}')
        self.failure = failure


def failure_error(
    code: Code, *, step: str, peer: str, text: str
) -> FailureError:
    """Return an error for a failure with these parts."""
    return FailureError(Failure(code, step, peer, text))
