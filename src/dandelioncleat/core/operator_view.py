"""Views of budgets, holders and processes for operators."""

from typing import Any, NamedTuple

from dandelioncleat.core.identity import BudgetId, Digest, Incarnation


class BudgetView(NamedTuple):
    """A budget's totals in tokens; ``held`` is granted and not yet spent.

    ``late`` is the part of the spending that no open grant covered.
    """

    budget: BudgetId
    topped_up: int
    billed: int
    wasted: int
    held: int
    left: int
    late: int


class OrganisationView(NamedTuple):
    """An organisation as configured, with its budgets."""

    name: str
    is_configured: bool
    services: tuple[str, ...]
    max_running: int
    keys: int
    budgets: tuple[BudgetView, ...]


class HolderView(NamedTuple):
    """The tokens that a process holds of a budget.

    ``waiting`` are the sidecars that a retirement waits for.
    """

    holder: Incarnation
    budget: BudgetId
    tokens: int
    state: str
    waiting: tuple[Incarnation, ...]


class TargetView(NamedTuple):
    """A target as configured, and the sidecars beside it."""

    name: str
    service: str
    data_centre: str
    slots: int
    drain: bool
    sidecars: tuple[Incarnation, ...]


class MemberView(NamedTuple):
    """A process by its own status; ``unreachable`` if it sent none."""

    incarnation: Incarnation
    role: str
    data_centre: str
    address: str
    state: str
    version: int
    digest: Digest
    details: Any = None


class SuspectView(NamedTuple):
    """A request digest and the number of crashes while it was running."""

    digest: Digest
    crashes: int
    is_refused: bool


class FleetView(NamedTuple):
    """The whole fleet.

    ``lagging`` processes are on an older version, ``diverged`` ones on a
    version whose digest differs from that of the same version here.
    """

    version: int
    digest: Digest
    log_failing: bool
    members: tuple[MemberView, ...]
    lagging: tuple[Incarnation, ...]
    diverged: tuple[Incarnation, ...]
    stranded: tuple[HolderView, ...]
    quarantined: tuple[SuspectView, ...]
