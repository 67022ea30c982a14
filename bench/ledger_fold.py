"""Measures the ledger fold: time, memory, record and checkpoint sizes.

Run from the root of the repository: ``python -m bench.ledger_fold``.
"""

import time
import tracemalloc

from dandelioncleat.core.checkpoint import Checkpoint, chunks_of
from dandelioncleat.core.envelope import Envelope, ledger_codec
from dandelioncleat.core.identity import (
    BudgetId,
    Draw,
    GrantId,
    Incarnation,
    RunId,
)
from dandelioncleat.core.ledger import LedgerFold
from dandelioncleat.core.record import Bill, RequestGrant, TopUp

BUDGETS = 1000
BILLS = 100_000
BATCH = 50
HOLDER = Incarnation('entry-17.klang-a/5f2c91d0')
SIDECAR = Incarnation('engine-204.klang-b/91b3aa07')


def bill_of(number: int) -> Bill:
    """Return the bill of one request with a key of usual length."""
    budget = number % BUDGETS
    key = f'0b9e5c1e-4f62-4a7d-9a55-{number:012d}'
    return Bill(
        BudgetId(f'organisation-{budget}'),
        RunId(f'organisation-{budget}', key, SIDECAR, 1),
        (Draw(GrantId(HOLDER, budget + 1), 900),),
        500,
        SIDECAR,
    )


def main() -> None:
    """Print the slopes."""
    tracemalloc.start()
    fold = LedgerFold()
    empty = tracemalloc.get_traced_memory()[0]
    for number in range(BUDGETS):
        budget = BudgetId(f'organisation-{number}')
        fold.apply(0, 0.5, HOLDER, TopUp(budget, 10**9, 'initial'))
        grant = GrantId(HOLDER, number + 1)
        fold.apply(0, 0.5, HOLDER, RequestGrant(grant, budget, 10**8, 1))
    budgets = tracemalloc.get_traced_memory()[0]
    codec = ledger_codec()
    entries = [
        codec.encode(
            (
                Envelope(
                    SIDECAR,
                    start + 1,
                    tuple(map(bill_of, range(start, start + BATCH))),
                ),
            ),
        )
        for start in range(0, BILLS, BATCH)
    ]
    before = tracemalloc.get_traced_memory()[0]
    for data in entries:
        for envelope in codec.decode(data):
            for record in envelope.records:
                fold.apply(0, 0.5, envelope.producer, record)
    billed = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    size = sum(map(len, entries))
    state = fold.snapshot()
    chunks = chunks_of(Checkpoint(0, {}, state))
    compressed = sum(len(chunk.data) for chunk in chunks)
    timed = LedgerFold()
    started_at = time.process_time()
    for data in entries:
        for envelope in codec.decode(data):
            for record in envelope.records:
                timed.apply(0, 0.5, envelope.producer, record)
    spent_s = time.process_time() - started_at
    print(f'memory of a budget with a grant: {(budgets - empty) // BUDGETS} B')
    print(f'memory of a billed request: {(billed - before) // BILLS} B')
    print(f'a bill in a batch of {BATCH}: {size / BILLS:.0f} B')
    print(f'decode and apply a bill: {spent_s / BILLS * 1e6:.1f} us')
    print(f'checkpoint of a billed request: {compressed / BILLS:.1f} B')


if __name__ == '__main__':
    main()
