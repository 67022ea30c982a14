"""Synchronises the token holdings of a host with the store."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

import msgspec
import structlog

from dandelioncleat.app.direct.ceiling_writer import CeilingWriter
from dandelioncleat.app.direct.mark_writer import MarkWriter
from dandelioncleat.app.direct.topic_follower import (
    TopicChange,
    TopicFollower,
)
from dandelioncleat.app.event_wait import wait_at_most
from dandelioncleat.core.decoding import UnreadableError, decode_bytes
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.holding import Ceiling, UsageMark
from dandelioncleat.core.host_holdings import HostHoldings
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.ports.clock import Clock, current_moment
from dandelioncleat.ports.store import KeyedStore

CEILINGS_TOPIC = 'ceilings'
MARKS_TOPIC = 'usage'
# Every host reads the marks of all hosts, so reads are spaced out as the
# number of hosts grows.
READ_PAUSE_PER_HOST_S = 0.0125
MAX_READ_PAUSE_S = 0.3
# A successor can't know what was used after the last mark. The topic takes one
# append at a time, so many hosts write less often; a request that waits for a
# mark has it written at once.
MARK_INTERVAL_S = 0.2
MARK_INTERVAL_PER_HOST_S = 0.01
RETRY_PAUSE_S = 0.1
# Interval between moves of tokens that no request waits for; it grows with
# the number of hosts that write.
REBALANCE_INTERVAL_S = 0.5
REBALANCE_PER_HOST_S = 0.04
# Every host reads every change of a ceiling.
CEILING_PAUSE_PER_HOST_S = 0.003
# The store counts as unreachable if a mark is unanswered for UNANSWERED_S, or
# for some of the last round trips if it is slow, or if no read ended for
# STORE_SILENCE_S; a long poll ends within two seconds.
UNANSWERED_S = 0.4
UNANSWERED_ROUND_TRIPS = 2.0
STORE_SILENCE_S = 3.0

RecordT = TypeVar('RecordT', Ceiling, UsageMark)

_CEILING_DECODER = msgspec.msgpack.Decoder(Ceiling)
_MARK_DECODER = msgspec.msgpack.Decoder(UsageMark)

_logger = structlog.get_logger(__name__)


class HoldingsSync:
    """Reads the records of all hosts and writes those of its own host."""

    def __init__(
        self,
        store: KeyedStore,
        holdings: HostHoldings,
        *,
        clock: Clock,
        copy_age_s: float,
        on_change: Callable[[], None],
    ) -> None:
        """Initialise; no earlier process of the host may still run.

        :param copy_age_s: maximum age of a copy from which the store may be
            restored, in seconds
        :param on_change: called after any change of the holdings
        """
        self.opened = asyncio.Event()
        self._holdings = holdings
        self._clock = clock
        # The earlier process can't have used anything since, however long the
        # store does not answer.
        self._started_at = current_moment(clock)
        self._copy_age_s = copy_age_s
        self._on_change = on_change
        self._ceilings_due = asyncio.Event()
        self._marks_due = asyncio.Event()
        self._unanswered_since: float | None = None
        self._mark_writer = MarkWriter(store, MARKS_TOPIC, host=holdings.host)
        self._ceilings = TopicFollower(
            store, CEILINGS_TOPIC, on_change=self._apply_ceilings
        )
        self._marks = TopicFollower(
            store, MARKS_TOPIC, on_change=self._apply_marks
        )
        self._ceiling_writer = CeilingWriter(
            store, self._ceilings, holdings=holdings
        )

    @property
    def silence_s(self) -> float:
        """Return the time since the store last answered, in seconds."""
        return self._marks.silence_s

    @property
    def is_store_unreachable(self) -> bool:
        """Return whether the store currently does not answer."""
        if self._marks.silence_s > STORE_SILENCE_S:
            return True
        if self._unanswered_since is None:
            return False
        slow_s = UNANSWERED_ROUND_TRIPS * self._holdings.round_trip.mean_s
        unanswered_s = self._clock.monotonic() - self._unanswered_since
        return unanswered_s > max(UNANSWERED_S, slow_s)

    def note_change(self, *, is_urgent: bool) -> None:
        """Schedule writes of records that are due.

        :param is_urgent: whether a request waits for the marks
        """
        self._ceilings_due.set()
        if is_urgent:
            self._marks_due.set()

    def open_accounts(self) -> None:
        """Open and log the accounts of new budgets."""
        for account in self._holdings.open_accounts(self._started_at):
            _logger.info('budget opened', **account._asdict())

    async def run(self) -> None:
        """Take over from the host's earlier process, then synchronise."""
        await self._open_until_answered()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._ceilings.run())
            group.create_task(self._marks.run())
            group.create_task(self._write_marks())
            group.create_task(self._write_ceilings())

    async def _open_until_answered(self) -> None:
        while not self.opened.is_set():
            try:
                await self._open()
            except FailureError as error:
                _logger.warning('budgets not opened', reason=str(error))
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _open(self) -> None:
        await self._marks.read_snapshot()
        host = self._holdings.host
        await self._mark_writer.fence(self._holdings.records.epoch_of(host))
        era = await self._ceiling_writer.fence()
        # Read again: the earlier process may have written until it was fenced.
        await self._marks.read_snapshot()
        await self._ceilings.read_snapshot()
        if {self._marks.era, self._ceilings.era} != {era}:
            raise failure_error(
                Code.LOG,
                step='open budgets',
                peer='store',
                text='restored between two calls',
            )
        standing = self._holdings.standing
        standing.open(self._clock.monotonic(), copy_age_s=self._copy_age_s)
        self.open_accounts()
        self.opened.set()
        _logger.info(
            'budgets opened',
            epoch=self._mark_writer.epoch,
            era=self._holdings.records.era,
            are_records_lost=standing.is_successor_of_lost,
        )

    def _apply_ceilings(self, change: TopicChange) -> None:
        records = self._holdings.records
        records.begin_era(change.era)
        for record in change.records:
            ceiling = _decode(record, _CEILING_DECODER)
            if ceiling is None or records.set_ceiling(ceiling):
                continue
            if ceiling.host == self._holdings.host and not change.is_snapshot:
                _logger.warning(
                    'late ceiling', **msgspec.structs.asdict(ceiling)
                )
                self._holdings.standing.is_hidden = True
        if self._holdings.accept_presumption():
            _logger.warning('ceilings presumed used', era=records.era)
        self.note_change(is_urgent=True)
        self._on_change()

    def _apply_marks(self, change: TopicChange) -> None:
        self._holdings.records.begin_era(change.era)
        for record in change.records:
            mark = _decode(record, _MARK_DECODER)
            if mark is not None:
                self._holdings.records.set_mark(mark)
        self._marks.pause_s = min(
            MAX_READ_PAUSE_S,
            READ_PAUSE_PER_HOST_S * self._holdings.records.hosts,
        )
        self._ceilings.pause_s = (
            CEILING_PAUSE_PER_HOST_S * self._holdings.records.hosts
        )
        self.note_change(is_urgent=False)
        self._on_change()

    async def _write_marks(self) -> None:
        while True:
            self._marks_due.clear()
            _prove_unused(self._holdings)
            await self._write_due_marks()
            interval_s = max(
                MARK_INTERVAL_S,
                MARK_INTERVAL_PER_HOST_S * self._holdings.records.hosts,
            )
            await wait_at_most(self._marks_due, interval_s)

    async def _write_due_marks(self) -> None:
        now = current_moment(self._clock)
        epoch = self._mark_writer.epoch
        marks = self._holdings.due_marks(now, epoch=epoch)
        if not marks:
            return
        accounts_by_budget = self._holdings.accounts_by_budget
        for mark in marks:
            accounts_by_budget[mark.budget].sent = mark
        self._unanswered_since = now.monotonic
        written = await self._mark_writer.write(marks)
        passed_s = self._clock.monotonic() - self._unanswered_since
        self._holdings.round_trip.note(passed_s)
        self._unanswered_since = None
        self._holdings.records.begin_era(written.era)
        for mark in written.marks:
            if written.era != mark.era:
                # The store was restored: the next marks are of its new era.
                continue
            accounts_by_budget[mark.budget].confirm_mark(mark)
            self._holdings.records.set_mark(mark)
        self._on_change()

    async def _write_ceilings(self) -> None:
        rebalance_at = float('-inf')
        while True:
            self._ceilings_due.clear()
            if await self._write_confirmations():
                continue
            now = self._clock.monotonic()
            may_rebalance = now >= rebalance_at
            if may_rebalance:
                per_host_s = REBALANCE_PER_HOST_S * self._holdings.records.hosts
                rebalance_at = now + max(REBALANCE_INTERVAL_S, per_host_s)
            ceilings = self._holdings.due_ceilings(
                now, may_rebalance=may_rebalance
            )
            if ceilings:
                await self._ceiling_writer.write(ceilings)
                self._marks_due.set()
                self._on_change()
            else:
                await wait_at_most(self._ceilings_due, REBALANCE_INTERVAL_S)

    async def _write_confirmations(self) -> bool:
        """Write what a new era needs; return whether there was anything."""
        records = self._holdings.records
        if self._ceilings.era != records.era:
            return False
        ceilings = self._holdings.due_confirmations(self._clock.monotonic())
        if not ceilings:
            return False
        is_written = await self._ceiling_writer.write(ceilings)
        if is_written:
            self._holdings.standing.is_hidden = False
            self._holdings.accept_presumption()
        _logger.info(
            'ceilings confirmed',
            era=records.era,
            records=len(ceilings),
            is_written=is_written,
        )
        self._marks_due.set()
        self._on_change()
        return True


def _prove_unused(holdings: HostHoldings) -> None:
    """Presume less of earlier processes if the time of day is right."""
    proven = holdings.presumptions.reduce(
        holdings.accounts_by_budget, holdings.clock_evidence
    )
    for each in proven:
        _logger.info('less presumed used', **each._asdict())


def _decode(
    record: KeyedRecord, decoder: msgspec.msgpack.Decoder[RecordT]
) -> RecordT | None:
    if not record.value:
        return None
    try:
        return decode_bytes(decoder.decode, record.value)
    except UnreadableError as error:
        _logger.warning(
            'record cannot be read', key=record.key, reason=str(error)
        )
        return None
