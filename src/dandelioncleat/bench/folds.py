"""Measures the folds: records per second, checkpoints, restores, memory."""

import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import NamedTuple

import msgspec

from dandelioncleat.bench._ledger_records import (
    BATCH,
    HOLDER,
    apply_entries,
    bill_entries,
    new_ledger,
)
from dandelioncleat.bench.result import Figure, Point, Result, fit, new_result
from dandelioncleat.bench.stopwatch import US_PER_S, min_us, traced
from dandelioncleat.core.checkpoint import Checkpoint, chunks_of
from dandelioncleat.core.configuration_history import ConfigurationFold
from dandelioncleat.core.envelope import ledger_codec
from dandelioncleat.core.ledger import LedgerFold
from dandelioncleat.core.record import Patch

BUDGETS = (1000, 4000, 16000, 110000)
BILLS = (5000, 20000, 40000, 80000)
ORGANISATIONS = (10, 55, 110, 220)
BILLS_TIMED = 20000
BILLED_BUDGETS = 1000
PATCHES = 40
BATCHES = (1, 5, 50, 500)


class _Measured(NamedTuple):
    """The points of several slopes, by name."""

    points: dict[str, list[Point]]

    def add(self, size: float, **measured: float) -> None:
        for name, value in measured.items():
            self.points.setdefault(name, []).append(Point(size, value))


def run_folds(
    *,
    commit: str,
    budgets: Sequence[int] = BUDGETS,
    bills: Sequence[int] = BILLS,
    organisations: Sequence[int] = ORGANISATIONS,
) -> Result:
    """Measure the ledger and the configuration at several sizes."""
    measured = _Measured({})
    for count in budgets:
        _measure_budgets(measured, count)
    for count in bills:
        _measure_bills(measured, count)
    for count in organisations:
        _measure_patches(measured, count)
    slopes = [
        fit(name, points, unit=_UNITS[name][0], per=_UNITS[name][1])
        for name, points in measured.points.items()
    ]
    return new_result(
        'folds',
        commit=commit,
        slopes=slopes,
        figures=_batch_figures(),
    )


_UNITS = {
    'ledger_memory': ('B', 'budget'),
    'ledger_checkpoint': ('B', 'budget'),
    'ledger_checkpoint_make': ('ms', 'budget'),
    'ledger_restore': ('ms', 'budget'),
    'bill_apply': ('us/bill', 'budget'),
    'billed_memory': ('B', 'bill'),
    'billed_checkpoint': ('B', 'bill'),
    'billed_restore': ('ms', 'bill'),
    'patch_apply': ('us/patch', 'organisation'),
    'configuration_checkpoint': ('B', 'organisation'),
    'configuration_restore': ('ms', 'organisation'),
}


def _measure_budgets(measured: _Measured, count: int) -> None:
    fold, memory = traced(partial(new_ledger, count))
    state = fold.snapshot()
    entries = bill_entries(BILLS_TIMED, budgets=count, batch=BATCH)
    apply_us = _apply_us(fold, entries)
    measured.add(
        count,
        ledger_memory=memory,
        ledger_checkpoint=_compressed_bytes(state),
        ledger_checkpoint_make=_once_ms(
            lambda: chunks_of(Checkpoint(0, {}, fold.snapshot())),
        ),
        ledger_restore=_once_ms(lambda: LedgerFold().restore(state)),
        bill_apply=apply_us,
    )


def _measure_bills(measured: _Measured, count: int) -> None:
    fold = new_ledger(BILLED_BUDGETS)
    entries = bill_entries(count, budgets=BILLED_BUDGETS, batch=BATCH)
    _, memory = traced(partial(apply_entries, fold, entries))
    state = fold.snapshot()
    measured.add(
        count,
        billed_memory=memory,
        billed_checkpoint=_compressed_bytes(state),
        billed_restore=_once_ms(lambda: LedgerFold().restore(state)),
    )


def _measure_patches(measured: _Measured, count: int) -> None:
    fold = ConfigurationFold()
    names = [f'organisation-{number}' for number in range(count)]
    first = {'organisations': {name: {'budget': 1000} for name in names}}
    _submit(fold, msgspec.json.encode(first))
    change = {'organisations': {names[0]: {'max_running': 5}}}
    body = msgspec.json.encode(change)
    apply_us = min_us(partial(_submit, fold, body), times=PATCHES)
    state = fold.snapshot()
    measured.add(
        count,
        patch_apply=apply_us,
        configuration_checkpoint=_compressed_bytes(state),
        configuration_restore=_once_ms(
            lambda: ConfigurationFold().restore(state),
        ),
    )


def _submit(fold: ConfigurationFold, body: bytes) -> None:
    version = fold.current.version
    patch = Patch(f'patch-{version}', version, 'operator', body)
    fold.apply(version, float(version), HOLDER, patch)
    if fold.current.version != version + 1:
        raise RuntimeError('the patch was not accepted')


def _batch_figures() -> list[Figure]:
    figures = []
    for batch in BATCHES:
        entries = bill_entries(BATCHES[-1], budgets=BILLED_BUDGETS, batch=batch)
        size = sum(len(entry) for entry in entries) / BATCHES[-1]
        figures.append(Figure(f'bill_bytes_in_{batch}', 'B/bill', size))
    return [*figures, _decode_figure()]


def _decode_figure() -> Figure:
    codec = ledger_codec()
    entries = bill_entries(BATCH, budgets=BILLED_BUDGETS, batch=BATCH)
    spent_us = min_us(lambda: codec.decode(entries[0]), times=PATCHES)
    return Figure('bill_decode', 'us/bill', spent_us / BATCH)


def _apply_us(fold: LedgerFold, entries: list[bytes]) -> float:
    started_at = time.process_time()
    apply_entries(fold, entries)
    spent_s = time.process_time() - started_at
    return spent_s * US_PER_S / BILLS_TIMED


def _once_ms(call: Callable[[], object]) -> float:
    return min_us(call, times=1) / 1000


def _compressed_bytes(state: bytes) -> int:
    chunks = chunks_of(Checkpoint(0, {}, state))
    return sum(len(chunk.data) for chunk in chunks)
