"""Computes the charges in the log's ledger streams."""

from collections.abc import AsyncIterator, Iterable
from typing import NamedTuple

from dandelioncleat.core.deduplication import DuplicateFilter
from dandelioncleat.core.envelope import Envelope, ledger_codec
from dandelioncleat.core.identity import (
    BudgetId,
    Incarnation,
    RequestKey,
    request_key_of,
)
from dandelioncleat.core.ledger import LedgerFold
from dandelioncleat.core.ledger_verdict import (
    Billed,
    LedgerVerdict,
    Wasted,
)
from dandelioncleat.core.record import Bill, LedgerRecord, TopUp
from dandelioncleat.core.shard import ledger_stream, shard_of
from dandelioncleat.ports.log import Entry
from dandelioncleat.replay.facts import Charge
from dandelioncleat.replay.ground_truth import is_ledger_stream
from dandelioncleat.standin.log import MemoryLog

OPERATOR = Incarnation('operator/1')


class LedgerCharges(NamedTuple):
    """The charges of all requests and the tokens of ended holders."""

    charges_by_key: dict[RequestKey, Charge]
    stranded_tokens: int


async def read_ledger(
    log: MemoryLog,
    *,
    live_holders: Iterable[Incarnation],
) -> LedgerCharges:
    """Read every ledger stream from its start."""
    charges: dict[RequestKey, Charge] = {}
    live = frozenset(live_holders)
    stranded_tokens = 0
    for stream in log.stream_names():
        if not is_ledger_stream(stream):
            continue
        fold = LedgerFold()
        async for entry, envelope in _envelopes(log, stream):
            _apply(fold, entry, envelope, charges)
        stranded_tokens += sum(
            grant.tokens
            for holder, grants in fold.accounts.grants_by_holder.items()
            if holder not in live
            for grant in grants.values()
        )
    return LedgerCharges(charges, stranded_tokens)


async def append_top_up(
    log: MemoryLog,
    *,
    organisation: str,
    tokens: int,
    number: int,
    shards: int,
) -> None:
    """Append a top-up to the log directly, not through a router."""
    budget = BudgetId(organisation)
    record = TopUp(budget, tokens, f'trace-{number}')
    envelope: Envelope[LedgerRecord] = Envelope(OPERATOR, number, (record,))
    stream = ledger_stream(shard_of(budget, shards))
    await log.append(stream, ledger_codec().encode((envelope,)))


async def _envelopes(
    log: MemoryLog,
    stream: str,
) -> AsyncIterator[tuple[Entry, Envelope[LedgerRecord]]]:
    codec = ledger_codec()
    duplicates = DuplicateFilter()
    start = 0
    while True:
        page = await log.read(stream, start=start)
        for entry in page.entries:
            for envelope in codec.decode(entry.data):
                if duplicates.admit(envelope.producer, envelope.sequence):
                    yield entry, envelope
        start += len(page.entries)
        if start >= page.end:
            return


def _apply(
    fold: LedgerFold,
    entry: Entry,
    envelope: Envelope[LedgerRecord],
    charges: dict[RequestKey, Charge],
) -> None:
    for record in envelope.records:
        verdict = fold.apply(
            entry.offset,
            entry.appended_at,
            envelope.producer,
            record,
        )
        if isinstance(record, Bill):
            key = request_key_of(record.run)
            charges[key] = _add_verdict(charges.get(key, Charge()), verdict)


def _add_verdict(charge: Charge, verdict: LedgerVerdict) -> Charge:
    match verdict:
        case Billed(tokens=tokens):
            return charge._replace(
                bills=charge.bills + 1,
                billed_tokens=charge.billed_tokens + tokens,
            )
        case Wasted(tokens=tokens):
            wasted = charge.wasted_tokens + tokens
            return charge._replace(wasted_tokens=wasted)
    return charge
