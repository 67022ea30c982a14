"""Reservations of runs whose outcome this router did not learn."""

from collections.abc import Callable
from typing import NamedTuple

from dandelioncleat.core.identity import BudgetId, Draw, RunId
from dandelioncleat.core.ledger_verdict import LedgerVerdict
from dandelioncleat.core.record import Bill, LedgerRecord

MAX_REMEMBERED_BILLS = 4096

Settle = Callable[[BudgetId, tuple[Draw, ...], int], None]


class Reservation(NamedTuple):
    """Draws that stay charged until a bill states what was spent."""

    budget: BudgetId
    draws: tuple[Draw, ...]


class UnsettledReservations:
    """Settles a forfeited reservation once the run's bill is read.

    The newest bills are remembered, because a bill may be read before this
    router forfeits the reservation.
    """

    def __init__(self, settle: Settle) -> None:
        """Take the callback that settles a reservation."""
        self._settle = settle
        self._reservations_by_run: dict[RunId, Reservation] = {}
        self._tokens_by_run: dict[RunId, int] = {}

    @property
    def tokens(self) -> int:
        """Return the tokens in reservations that wait for a bill."""
        return sum(
            draw.tokens
            for reservation in self._reservations_by_run.values()
            for draw in reservation.draws
        )

    def keep(self, run: RunId, reservation: Reservation) -> None:
        """Keep a reservation charged until the run's bill is read."""
        tokens = self._tokens_by_run.get(run)
        if tokens is None:
            self._reservations_by_run[run] = reservation
        else:
            self._settle(reservation.budget, reservation.draws, tokens)

    def note_record(self, record: LedgerRecord, verdict: LedgerVerdict) -> None:
        """Settle the reservation of a bill's run, or remember the bill."""
        if not isinstance(record, Bill):
            return
        reservation = self._reservations_by_run.pop(record.run, None)
        if reservation is not None:
            self._settle(reservation.budget, reservation.draws, record.tokens)
            return
        self._tokens_by_run.setdefault(record.run, record.tokens)
        if len(self._tokens_by_run) > MAX_REMEMBERED_BILLS:
            self._tokens_by_run.pop(next(iter(self._tokens_by_run)))
