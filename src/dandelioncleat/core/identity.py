"""Value classes that identify processes, grants, requests and runs."""

from typing import NamedTuple, NewType

Incarnation = NewType('Incarnation', str)
"""One start of one process, as ``host/unique``; a restart gets a new one."""

BudgetId = NewType('BudgetId', str)
"""A prepaid budget: the organisation, or ``organisation/name``."""

Digest = NewType('Digest', str)
"""A hexadecimal digest of a request or of a configuration."""


class RequestKey(NamedTuple):
    """Identifies one request of one organisation, across its retries."""

    organisation: str
    key: str


class GrantId(NamedTuple):
    """Identifies a grant by its holder and the holder's own counter."""

    holder: Incarnation
    number: int


class Draw(NamedTuple):
    """Tokens that a run may spend from one grant."""

    grant: GrantId
    tokens: int


class RunId(NamedTuple):
    """Identifies one attempt to run a request; issued by the key's home."""

    organisation: str
    key: str
    home: Incarnation
    attempt: int


def request_key_of(run: RunId) -> RequestKey:
    """Return the request that a run serves."""
    return RequestKey(run.organisation, run.key)


def organisation_of(budget: BudgetId) -> str:
    """Return the organisation that owns a budget."""
    return budget.partition('/')[0]


def host_of(incarnation: Incarnation) -> str:
    """Return the host part of an incarnation."""
    return incarnation.partition('/')[0]
