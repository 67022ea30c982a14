"""Builds ledger records of usual sizes."""

from collections.abc import Iterator

from dandelioncleat.core.envelope import Envelope, ledger_codec
from dandelioncleat.core.identity import (
    BudgetId,
    Draw,
    GrantId,
    Incarnation,
    RunId,
)
from dandelioncleat.core.ledger import LedgerFold
from dandelioncleat.core.record import (
    Bill,
    LedgerRecord,
    RequestGrant,
    TopUp,
)

ORGANISATIONS = 220
HOLDER = Incarnation('entry-17.klang-a/5f2c91d05f2c')
SIDECAR = Incarnation('engine-204.klang-b/91b3aa0791b3')
TOPPED_UP_TOKENS = 10**9
GRANTED_TOKENS = 10**7
BILLED_TOKENS = 500
BATCH = 50
KEY_FORMAT = '0b9e5c1e-4f62-4a7d-9a55-{:012d}'


def budget_of(number: int) -> BudgetId:
    """Return the name of a budget of one of the organisations."""
    organisation = _organisation_of(number)
    return BudgetId(f'{organisation}/budget-{number}')


def bill_of(number: int, *, budgets: int) -> Bill:
    """Return the bill of one request with a key of usual length."""
    budget = number % budgets
    organisation = _organisation_of(budget)
    key = KEY_FORMAT.format(number)
    return Bill(
        budget_of(budget),
        RunId(organisation, key, SIDECAR, 1),
        (Draw(GrantId(HOLDER, budget + 1), 900),),
        BILLED_TOKENS,
        SIDECAR,
    )


def openings(budgets: int) -> Iterator[LedgerRecord]:
    """Yield a top-up and a grant of each budget."""
    for number in range(budgets):
        budget = budget_of(number)
        grant = GrantId(HOLDER, number + 1)
        yield TopUp(budget, TOPPED_UP_TOKENS, 'initial')
        yield RequestGrant(grant, budget, GRANTED_TOKENS, 1)


def new_ledger(budgets: int) -> LedgerFold:
    """Return a ledger with opened budgets."""
    fold = LedgerFold()
    for offset, record in enumerate(openings(budgets)):
        fold.apply(offset, 0, HOLDER, record)
    return fold


def bill_entries(bills: int, *, budgets: int, batch: int) -> list[bytes]:
    """Return encoded log entries with bills."""
    codec = ledger_codec()
    entries = []
    for start in range(0, bills, batch):
        records = tuple(
            bill_of(number, budgets=budgets)
            for number in range(start, min(start + batch, bills))
        )
        envelope: Envelope[LedgerRecord] = Envelope(SIDECAR, start + 1, records)
        entries.append(codec.encode((envelope,)))
    return entries


def apply_entries(
    fold: LedgerFold,
    entries: list[bytes],
    *,
    interval_s: float = 0,
) -> None:
    """Decode and apply entries as a follower does.

    :param interval_s: log time between two entries, in seconds
    """
    codec = ledger_codec()
    for offset, data in enumerate(entries):
        for envelope in codec.decode(data):
            for record in envelope.records:
                fold.apply(
                    offset,
                    offset * interval_s,
                    envelope.producer,
                    record,
                )


def _organisation_of(number: int) -> str:
    organisation = number % ORGANISATIONS
    return f'organisation-{organisation}'
