"""Consumption and ledger totals, read from the stand-ins and the log."""

from collections import Counter
from typing import NamedTuple

from dandelioncleat.core.deduplication import DuplicateFilter
from dandelioncleat.core.envelope import ledger_codec
from dandelioncleat.core.identity import (
    Incarnation,
    RequestKey,
    RunId,
    organisation_of,
)
from dandelioncleat.core.ledger import LedgerFold
from dandelioncleat.core.ledger_verdict import (
    Billed,
    Freed,
    Granted,
)
from dandelioncleat.core.record import (
    Bill,
    CompleteRetirement,
    LedgerRecord,
    RequestGrant,
)
from dandelioncleat.core.scoped_key import caller_key
from dandelioncleat.core.shard import ledger_stream
from dandelioncleat.demo.deployment import PRICE_BY_SERVICE
from dandelioncleat.standin.engine import Engine
from dandelioncleat.standin.log import MemoryLog
from dandelioncleat.standin.service import PlainService

SHARD = 0


class Consumption(NamedTuple):
    """What one request consumed at all targets, and how often it ran."""

    tokens: int
    runs: int
    idempotent: bool


class LedgerTotals(NamedTuple):
    """Totals of the records in the ledger's stream of the log."""

    granted_by_organisation: Counter[str]
    held_by_organisation: Counter[str]
    bills_by_request: dict[RequestKey, int]
    freed_by_holder: Counter[Incarnation]


class OrganisationSummary(NamedTuple):
    """One line of the summary table; the last two fields count requests."""

    organisation: str
    budget: int
    granted: int
    spent: int
    left: int
    stranded: int
    overspend: int
    false_refusals: int
    double_runs: int


class StandinTargets(NamedTuple):
    """The stand-ins of all targets, and the service of each."""

    engines_by_name: dict[str, Engine]
    plain_services_by_name: dict[str, PlainService]
    service_by_target: dict[str, str]


def consumption_of(targets: StandinTargets) -> dict[RequestKey, Consumption]:
    """Add up what every request consumed."""
    consumed: dict[RequestKey, Consumption] = {}
    for engine in targets.engines_by_name.values():
        for run in engine.runs:
            if run.started:
                _add_run(consumed, _request_key(run.run), run.tokens, True)
    for name, plain in targets.plain_services_by_name.items():
        price = PRICE_BY_SERVICE[targets.service_by_target[name]]
        for call in plain.runs:
            if call.took_effect:
                key = _request_key(call.run)
                _add_run(consumed, key, price, call.idempotent)
    return consumed


def max_running_tokens(targets: StandinTargets, organisation: str) -> int:
    """Return the most tokens that running requests may still consume."""
    models = sum(
        run.reserved_tokens - run.tokens
        for engine in targets.engines_by_name.values()
        for run in engine.runs
        if not run.ended and run.run.organisation == organisation
    )
    calls = sum(
        PRICE_BY_SERVICE[targets.service_by_target[name]]
        for name, plain in targets.plain_services_by_name.items()
        for call in plain.runs
        if call.ended_at < 0 and call.run.organisation == organisation
    )
    return models + calls


async def read_ledger(log: MemoryLog) -> LedgerTotals:
    """Read the ledger's stream from its start."""
    fold = LedgerFold()
    duplicates = DuplicateFilter()
    codec = ledger_codec()
    totals = LedgerTotals(Counter(), Counter(), {}, Counter())
    page = await log.read(ledger_stream(SHARD), start=0, limit=1_000_000)
    for entry in page.entries:
        for envelope in codec.decode(entry.data):
            if not duplicates.admit(envelope.producer, envelope.sequence):
                continue
            for record in envelope.records:
                verdict = fold.apply(
                    entry.offset,
                    entry.appended_at,
                    envelope.producer,
                    record,
                )
                _add_record(totals, record, verdict)
    _add_held_tokens(totals, fold)
    return totals


def _add_record(
    totals: LedgerTotals, record: LedgerRecord, verdict: object
) -> None:
    match record, verdict:
        case RequestGrant(budget=budget), Granted(tokens=tokens):
            organisation = organisation_of(budget)
            totals.granted_by_organisation[organisation] += tokens
        case CompleteRetirement(holder=holder), Freed(tokens=tokens):
            totals.freed_by_holder[holder] += tokens
        case Bill(run=run), Billed(tokens=tokens):
            totals.bills_by_request[_request_key(run)] = tokens


def _request_key(run: RunId) -> RequestKey:
    return RequestKey(run.organisation, caller_key(run.key))


def _add_held_tokens(totals: LedgerTotals, fold: LedgerFold) -> None:
    for grants in fold.accounts.grants_by_holder.values():
        for grant in grants.values():
            organisation = organisation_of(grant.budget)
            totals.held_by_organisation[organisation] += grant.tokens


def _add_run(
    consumed: dict[RequestKey, Consumption],
    key: RequestKey,
    tokens: int,
    idempotent: bool,
) -> None:
    before = consumed.get(key, Consumption(0, 0, idempotent))
    consumed[key] = Consumption(
        before.tokens + tokens, before.runs + 1, idempotent
    )
