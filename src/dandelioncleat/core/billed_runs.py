"""Billed runs, remembered for as long as a repeated bill may arrive.

Requests are stored as digests in one dictionary for each period, because a
busy shard bills a hundred thousand requests within the retention time.
"""

from enum import Enum
from hashlib import blake2b
from typing import NamedTuple

from dandelioncleat.core.identity import RunId

RETENTION_S = 7200
PERIOD_S = 900
REQUEST_DIGEST_BYTES = 16
RUN_DIGEST_BYTES = 8


class Billing(Enum):
    """How a bill relates to the bills that were read before it."""

    FIRST = 'first'
    REPEATED = 'repeated'
    SECOND_RUN = 'second_run'


class Period(NamedTuple):
    """Requests first billed in a period, mapped to concatenated run digests."""

    number: int
    runs_by_request: dict[bytes, bytes]


class BilledRuns:
    """Remembers billed runs by request; entries expire by log time."""

    def __init__(self) -> None:
        """Start with no billed runs."""
        self._periods: list[Period] = []

    def note(self, run: RunId, billed_at: float) -> Billing:
        """Record a billed run and classify its bill."""
        self._expire(billed_at - RETENTION_S)
        request = _request_digest(run)
        period = self._period_of(request)
        if period is None:
            newest = self._newest(int(billed_at // PERIOD_S))
            newest.runs_by_request[request] = _run_digest(run)
            return Billing.FIRST
        runs = period.runs_by_request[request]
        if _contains_run(runs, run):
            return Billing.REPEATED
        period.runs_by_request[request] = runs + _run_digest(run)
        return Billing.SECOND_RUN

    def contains(self, run: RunId) -> bool:
        """Return whether a bill of this run was read."""
        request = _request_digest(run)
        period = self._period_of(request)
        if period is None:
            return False
        return _contains_run(period.runs_by_request[request], run)

    def snapshot(self) -> list[Period]:
        """Return the whole state, oldest period first."""
        return self._periods

    def restore(self, periods: list[Period]) -> None:
        """Replace the state with that of a snapshot."""
        self._periods = periods

    def _period_of(self, request: bytes) -> Period | None:
        for period in reversed(self._periods):
            if request in period.runs_by_request:
                return period
        return None

    def _newest(self, number: int) -> Period:
        if not self._periods or self._periods[-1].number < number:
            self._periods.append(Period(number, {}))
        return self._periods[-1]

    def _expire(self, before: float) -> None:
        while self._periods and _end_of(self._periods[0]) <= before:
            self._periods.pop(0)


def _end_of(period: Period) -> int:
    return (period.number + 1) * PERIOD_S


def _contains_run(runs: bytes, run: RunId) -> bool:
    digest = _run_digest(run)
    starts = range(0, len(runs), RUN_DIGEST_BYTES)
    return any(
        runs[start : start + RUN_DIGEST_BYTES] == digest for start in starts
    )


def _request_digest(run: RunId) -> bytes:
    name = f'{len(run.organisation)} {run.organisation} {run.key}'
    return blake2b(name.encode(), digest_size=REQUEST_DIGEST_BYTES).digest()


def _run_digest(run: RunId) -> bytes:
    name = f'{run.attempt} {run.home}'
    return blake2b(name.encode(), digest_size=RUN_DIGEST_BYTES).digest()
