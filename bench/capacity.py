"""Computes the tables of docs/CAPACITY.md from the results of the benchmarks.

Run from the root of the repository: ``python -m bench.capacity``.
"""

import json
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

from dandelioncleat.app.load_report import (
    MAX_INTERVAL_S,
    MAX_REPORTS_PER_S,
    REPORT_INTERVAL_S,
)

RESULTS = Path(__file__).parent / 'results'
BENCHES = ('folds', 'decisions', 'control', 'path')
IDLE_REPORTS_PER_S = 0.2
CHANGED_PREFIXES = 4
BILL_RETENTION_S = 7200
SUBSET_SIZE = 12
RELAYS = 4
RELAY_READS_PER_S = 2 / 1.5
RELAY_FRAME_BYTES = 100
BATCHED_APPENDS_PER_S = 16.7
HOST_POLLS_PER_S = 1.0
RETIREMENT_POLLS_PER_S = 0.5
MB = 1e6
KB = 1e3
PERCENT = 100
LIMITS = {'% of a core': 2.0, 'MB': 128.0, 'KB/s': 10.0}
MAX_LOG_APPENDS_PER_S = 300.0


class Size(NamedTuple):
    """The size of a deployment; ``groups`` are services by data centre."""

    name: str
    routers: int
    sidecars: int
    groups: int
    data_centres: int
    organisations: int
    budgets: int
    requests_s: float
    tokens_s: float

    @property
    def watched(self) -> float:
        """Return the targets that a router watches."""
        return min(SUBSET_SIZE * self.groups, self.sidecars)

    @property
    def watchers(self) -> float:
        """Return the routers that watch a target."""
        return self.routers * self.watched / self.sidecars

    @property
    def reports_s(self) -> float:
        """Return the load reports of a busy target to one router a second."""
        interval_s = max(REPORT_INTERVAL_S, self.watchers / MAX_REPORTS_PER_S)
        return 1 / min(interval_s, MAX_INTERVAL_S)

    @property
    def appends_s(self) -> float:
        """Return the appends of bills in a second."""
        return min(self.requests_s, self.data_centres * BATCHED_APPENDS_PER_S)


SIZES = (
    Size('Pelabuhan Selatan', 3, 8, 6, 3, 10, 10, 5.5, 424),
    Size('CuponRed', 4, 14, 8, 4, 10, 10, 10.5, 741),
    Size('target', 340, 600, 30, 5, 220, 110_000, 5200, 1.7e6),
)


class Slopes:
    """Holds the slopes and the figures of all result files."""

    def __init__(self, directory: Path = RESULTS) -> None:
        """Read the files."""
        self.commits: dict[str, str] = {}
        self.residuals: dict[str, float] = {}
        self._lines: dict[str, tuple[float, float]] = {}
        self._figures: dict[str, float] = {}
        for bench in BENCHES:
            result = json.loads((directory / f'{bench}.json').read_bytes())
            self.commits[bench] = result['commit']
            for name, _, _, slope, intercept, residual, _ in result['slopes']:
                self._lines[name] = (slope, intercept)
                self.residuals[name] = residual
            for name, _, value in result['figures']:
                self._figures[name] = value

    def slope(self, name: str) -> float:
        """Return the slope of a line."""
        return self._lines[name][0]

    def at(self, name: str, size: float) -> float:
        """Return the value of a line at a size, never below 0."""
        slope, intercept = self._lines[name]
        return max(0.0, intercept + slope * size)

    def figure(self, name: str) -> float:
        """Return a single figure."""
        return self._figures[name]


Formula = Callable[[Slopes, Size], float]


class Cell(NamedTuple):
    """One quantity of a role: its formula in words and in code.

    ``control`` says whether the limits of control apply.
    """

    role: str
    quantity: str
    unit: str
    formula_text: str
    source: str
    formula: Formula
    control: bool = True


def _report_bytes(s: Slopes) -> float:
    return s.at('load_report_bytes', CHANGED_PREFIXES)


def _codec_us(s: Slopes) -> float:
    # One side of a frame: the slope is of encoding and decoding together.
    return s.at('load_report_codec', CHANGED_PREFIXES) / 2


def _bill_bytes(s: Slopes) -> float:
    # Gathered bills keep the envelopes of their senders, mostly one in each.
    return s.figure('bill_bytes_in_1')


def _percent(us_per_s: float) -> float:
    return us_per_s / 1e6 * PERCENT


CELLS = (
    Cell('router', 'load reports, at rest', 'KB/s', 'watched x 0.2/s x bytes without prefixes', 'control: load_report_bytes',
         lambda s, z: z.watched * IDLE_REPORTS_PER_S * s.at('load_report_bytes', 0) / KB),
    Cell('router', 'load reports, busy, 4 changed prefixes', 'KB/s', 'watched x reports/s x bytes', 'control: load_report_bytes',
         lambda s, z: z.watched * z.reports_s * _report_bytes(s) / KB),
    Cell('router', 'load reports, busy: decoding', '% of a core', 'watched x reports/s x half of encode and decode', 'control: load_report_codec',
         lambda s, z: _percent(z.watched * z.reports_s * _codec_us(s))),
    Cell('router', 'ledger: reading', 'KB/s', 'requests/s x bytes of a bill (all shards)', 'folds: bill_bytes_in_1',
         lambda s, z: z.requests_s * _bill_bytes(s) / KB),
    Cell('router', 'ledger: applying', '% of a core', 'requests/s x us of a bill', 'folds: bill_apply',
         lambda s, z: _percent(z.requests_s * s.at('bill_apply', z.budgets))),
    Cell('router', 'grants: renewing, all budgets held', '% of a core', 'budgets x us each second', 'decisions: tick',
         lambda s, z: _percent(z.budgets * s.slope('tick'))),
    Cell('router', 'host list', 'KB/s', 'hosts x 1.5 reads/s x bytes', 'control: host_list_bytes',
         lambda s, z: (z.routers + z.sidecars) * (HOST_POLLS_PER_S + RETIREMENT_POLLS_PER_S) * s.slope('host_list_bytes') / KB),
    Cell('router', 'relaying configuration and fleet', 'KB/s', 'askers of a relay x 2 streams / 1.5 s x 2 frames of 100 B', 'derived, frame size assumed',
         lambda s, z: (z.routers + z.sidecars) / min(z.routers, RELAYS * z.data_centres) * RELAY_READS_PER_S * 2 * RELAY_FRAME_BYTES / KB),
    Cell('router', 'bills gathered, at one router of a data centre', 'KB/s', 'requests/s / data centres x bytes, in and out', 'folds: bill_bytes_in_1',
         lambda s, z: 2 * z.requests_s / z.data_centres * _bill_bytes(s) / KB),
    Cell('router', 'subset: one change of the fleet', '% of a core', 'us of a refresh, if one change a second', 'decisions: subset_refresh',
         lambda s, z: _percent(s.at('subset_refresh', z.sidecars))),
    Cell('router', 'memory: process with its libraries', 'MB', 'peak at start', 'control: start_memory',
         lambda s, z: s.figure('start_memory') * 1.048576),
    Cell('router', 'memory: budgets', 'MB', 'budgets x bytes', 'folds: ledger_memory',
         lambda s, z: z.budgets * s.slope('ledger_memory') / MB),
    Cell('router', 'memory: billed requests', 'MB', 'requests/s x 7,200 s x bytes', 'folds: billed_memory',
         lambda s, z: z.requests_s * BILL_RETENTION_S * s.slope('billed_memory') / MB),
    Cell('router', 'start: restoring the ledger', 's', 'budgets x us + requests/s x 7,200 s x us', 'folds: ledger_restore, billed_restore',
         lambda s, z: (s.at('ledger_restore', z.budgets) + z.requests_s * BILL_RETENTION_S * s.slope('billed_restore')) / 1000),
    Cell('router', 'requests: router and sidecar together', '% of a core', 'requests/s a router x us', 'path: whole_cpu',
         lambda s, z: _percent(z.requests_s / z.routers * s.figure('whole_cpu')), control=False),
    Cell('router', 'tokens: router and sidecar together', '% of a core', 'tokens/s a router x us', 'path: path_cpu_by_tokens',
         lambda s, z: _percent(z.tokens_s / z.routers * s.slope('path_cpu_by_tokens') * 1000), control=False),
    Cell('router', 'one reservation and settlement', 'us', 'does not depend on size', 'decisions: reserve_and_settle',
         lambda s, z: s.at('reserve_and_settle', z.budgets), control=False),
    Cell('router', 'one placement', 'us', 'targets of the service in the subset', 'decisions: placement_all',
         lambda s, z: s.at('placement_all', min(SUBSET_SIZE * z.data_centres, z.watched)), control=False),
    Cell('sidecar', 'load reports, at rest', 'KB/s', 'watchers x 0.2/s x bytes without prefixes', 'control: load_report_bytes',
         lambda s, z: z.watchers * IDLE_REPORTS_PER_S * s.at('load_report_bytes', 0) / KB),
    Cell('sidecar', 'load reports, busy, 4 changed prefixes', 'KB/s', 'watchers x reports/s x bytes', 'control: load_report_bytes',
         lambda s, z: z.watchers * z.reports_s * _report_bytes(s) / KB),
    Cell('sidecar', 'load reports, busy: encoding', '% of a core', 'watchers x reports/s x half of encode and decode', 'control: load_report_codec',
         lambda s, z: _percent(z.watchers * z.reports_s * _codec_us(s))),
    Cell('sidecar', 'host list', 'KB/s', 'hosts x 1 read/s x bytes', 'control: host_list_bytes',
         lambda s, z: (z.routers + z.sidecars) * HOST_POLLS_PER_S * s.slope('host_list_bytes') / KB),
    Cell('sidecar', 'bills', 'KB/s', 'requests/s a sidecar x bytes', 'folds: bill_bytes_in_1',
         lambda s, z: z.requests_s / z.sidecars * _bill_bytes(s) / KB),
    Cell('sidecar', 'memory: process with its libraries', 'MB', 'peak at start', 'control: start_memory',
         lambda s, z: s.figure('start_memory') * 1.048576),
    Cell('log', 'appends of bills', 'appends/s', 'the lesser of requests/s and data centres x 16.7 (one shard)', 'commit afcd29f, on virtual time',
         lambda s, z: z.appends_s, control=False),
    Cell('log', 'bytes appended', 'KB/s in', 'requests/s x bytes of a bill', 'folds: bill_bytes_in_1',
         lambda s, z: z.requests_s * _bill_bytes(s) / KB, control=False),
    Cell('log', 'bytes read by all routers', 'MB/s out', 'routers x requests/s x bytes of a bill', 'folds: bill_bytes_in_1',
         lambda s, z: z.routers * z.requests_s * _bill_bytes(s) / MB, control=False),
    Cell('log', 'one checkpoint of the ledger', 'MB', 'budgets x bytes + requests/s x 7,200 s x bytes', 'folds: ledger_checkpoint, billed_checkpoint',
         lambda s, z: (z.budgets * s.slope('ledger_checkpoint') + z.requests_s * BILL_RETENTION_S * s.slope('billed_checkpoint')) / MB, control=False),
    Cell('log', 'waiting readers of configuration and fleet', 'reads', 'relays of all data centres x 2 streams', 'derived',
         lambda s, z: 2 * min(z.routers, RELAYS * z.data_centres), control=False),
    Cell('operator command', 'one patch, at each process', 'us', 'organisations', 'folds: patch_apply',
         lambda s, z: s.at('patch_apply', z.organisations), control=False),
)  # fmt: skip


def is_over(cell: Cell, value: float) -> bool:
    """Return whether a value misses the limit that applies to its unit."""
    if cell.unit == 'appends/s':
        return value > MAX_LOG_APPENDS_PER_S
    if cell.quantity.startswith('tokens:'):
        return value > 25
    return cell.control and value > LIMITS.get(cell.unit, float('inf'))


def rows(slopes: Slopes, role: str) -> Iterable[str]:
    """Yield the lines of the table of one role."""
    yield f'| | unit | {" | ".join(z.name for z in SIZES)} | formula | source |'
    yield '| --- | --- | --- | --- | --- | --- | --- |'
    for cell in CELLS:
        if cell.role != role:
            continue
        shown = []
        for size in SIZES:
            value = cell.formula(slopes, size)
            text = f'{value:,.0f}' if value >= 100 else f'{value:.2g}'
            shown.append(f'**{text}**' if is_over(cell, value) else text)
        yield (
            f'| {cell.quantity} | {cell.unit} | {" | ".join(shown)} '
            f'| {cell.formula_text} | {cell.source} |'
        )


def main() -> None:
    """Print the tables of all roles."""
    slopes = Slopes()
    for role in dict.fromkeys(cell.role for cell in CELLS):
        print(f'\n## {role.capitalize()}\n')
        print('\n'.join(rows(slopes, role)))
    commits = ', '.join(f'{k} {v}' for k, v in slopes.commits.items())
    print(f'\nCommits: {commits}.')
    print('\n| slope | residual |\n| --- | --- |')
    for name, residual in slopes.residuals.items():
        if residual > 0.1:
            print(f'| {name} | {residual:.0%} |')


if __name__ == '__main__':
    main()
