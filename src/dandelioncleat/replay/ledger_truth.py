"""What the ledger streams of the log charge, entry by entry."""

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
from dandelioncleat.replay.ground_truth import is_ledger
from dandelioncleat.standin.log import MemoryLog

OPERATOR = Incarnation('operator/1')


class LedgerTruth(NamedTuple):
    """The charges of all requests and the tokens of holders that are gone."""

    charges_by_key: dict[RequestKey, Charge]
    stranded_tokens: int


async def read_ledger(
    log: MemoryLog,
    *,
    live_holders: Iterable[Incarnation],
) -> LedgerTruth:
    """Read every ledger stream from its start."""
    charges: dict[RequestKey, Charge] = {}
    live = frozenset(live_holders)
    stranded = 0
    for stream in log.stream_names():
        if not is_ledger(stream):
            continue
        fold = LedgerFold()
        async for entry, envelope in _envelopes(log, stream):
            _apply(fold, entry, envelope, charges)
        stranded += sum(
            grant.tokens
            for holder, grants in fold.accounts.grants_by_holder.items()
            if holder not in live
            for grant in grants.values()
        )
    return LedgerTruth(charges, stranded)


async def append_top_up(
    log: MemoryLog,
    *,
    organisation: str,
    tokens: int,
    number: int,
    shards: int,
) -> None:
    """Append a top-up as an operator with a connection of its own does."""
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
    marks = DuplicateFilter()
    start = 0
    while True:
        page = await log.read(stream, start=start)
        for entry in page.entries:
            for envelope in codec.decode(entry.data):
                if marks.admit(envelope.producer, envelope.sequence):
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
            charges[key] = _add(charges.get(key, Charge()), verdict)


def _add(charge: Charge, verdict: LedgerVerdict) -> Charge:
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
