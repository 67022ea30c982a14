"""Builders of ledger and fleet records."""

from dandelioncleat.core.fleet import ROUTER, SIDECAR
from dandelioncleat.core.identity import (
    BudgetId,
    Draw,
    GrantId,
    Incarnation,
    RunId,
)
from dandelioncleat.core.ledger import LedgerFold
from dandelioncleat.core.ledger_verdict import LedgerVerdict
from dandelioncleat.core.record import (
    Bill,
    Join,
    LedgerRecord,
    RequestGrant,
    TopUp,
)

BUDGET = BudgetId('port')
HOLDER = Incarnation('router-1/a')
OTHER_HOLDER = Incarnation('router-2/a')
SIDECAR_ONE = Incarnation('target-1/a')
SIDECAR_TWO = Incarnation('target-2/a')


def apply_all(
    fold: LedgerFold,
    *records: LedgerRecord,
    at: float = 0,
) -> list[LedgerVerdict]:
    """Apply records and return their verdicts."""
    return [fold.apply(0, float(at), HOLDER, record) for record in records]


def top_up(tokens: int, reference: str = 'initial') -> TopUp:
    """Return a top-up of the test budget."""
    return TopUp(BUDGET, tokens, reference)


def grant_request(
    number: int,
    tokens: int,
    *,
    least: int = 1,
    holder: Incarnation = HOLDER,
) -> RequestGrant:
    """Return a request for a grant."""
    return RequestGrant(GrantId(holder, number), BUDGET, tokens, least)


def bill_of(
    key: str,
    tokens: int,
    *draws: tuple[int, int],
    attempt: int = 1,
    holder: Incarnation = HOLDER,
    source: Incarnation = SIDECAR_ONE,
) -> Bill:
    """Return a bill; ``draws`` are pairs of grant number and tokens."""
    return Bill(
        BUDGET,
        RunId('port', key, SIDECAR_ONE, attempt),
        tuple(Draw(GrantId(holder, number), part) for number, part in draws),
        tokens,
        source,
    )


def router_join(incarnation: Incarnation, data_centre: str = 'a') -> Join:
    """Return the join record of a router; its address is its host."""
    address = incarnation.partition('/')[0]
    return Join(incarnation, ROUTER, data_centre, address)


def sidecar_join(incarnation: Incarnation) -> Join:
    """Return the join record of a sidecar; its address is its host."""
    address = incarnation.partition('/')[0]
    return Join(incarnation, SIDECAR, 'a', address, address, 'dues')
