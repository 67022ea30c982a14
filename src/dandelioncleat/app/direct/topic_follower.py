"""Follows one keyed topic of the platform's store."""

import asyncio
from collections.abc import Callable
from math import isfinite
from typing import NamedTuple

import structlog

from dandelioncleat.app.direct.store_loss import StoreLoss
from dandelioncleat.app.direct.topic_age import TopicAge, rounded_age_s
from dandelioncleat.app.event_wait import wait_at_most
from dandelioncleat.app.signal import Signal
from dandelioncleat.app.stall_timeout import stall_timeout
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.ports.store import (
    KeyedPage,
    KeyedStore,
    OutdatedReadError,
)

READ_WAIT_S = 2.0
# The wait of a topic whose age decides on requests: its path to the store is
# found to be silent soon after this time.
SHORT_READ_WAIT_S = 0.5
RETRY_PAUSE_S = 0.1
# The store answers within a few ms, through a gateway or when it is slow within
# some hundred; the caller of a request waits meanwhile.
CONFIRM_LIMIT_S = 0.4

_logger = structlog.get_logger(__name__)


class TopicChange(NamedTuple):
    """Records of a topic in order.

    ``is_snapshot`` says that they replace all records read before,
    ``is_restored`` that the store has lost some of these. ``silence_s`` is
    the time for which the store had not answered, 0 for the first answer.
    """

    is_snapshot: bool
    records: tuple[KeyedRecord, ...]
    era: int = 0
    is_restored: bool = False
    silence_s: float = 0


class TopicFollower:
    """Reads a topic continuously and reports each change.

    ``position`` is the offset up to which all records of ``era`` were
    reported.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        *,
        on_change: Callable[[TopicChange], None],
        pause_s: float = 0,
        read_wait_s: float = READ_WAIT_S,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """Initialise with the store and the topic.

        :param on_change: called with each change
        :param pause_s: time between two reads, in seconds, which batches
            the records of a busy topic
        :param read_wait_s: time that a read waits for records, in seconds
        :param clock: returns the time by which ages are measured, in seconds;
            that of the event loop by default
        """
        self.topic = topic
        self.position = 0
        self.era: int | None = None
        self.advanced = Signal()
        self._is_wanted = asyncio.Event()
        self.last_answer_at = float('-inf')
        self._store = store
        self._on_change = on_change
        self.pause_s = pause_s
        self._read_wait_s = read_wait_s
        self._age = TopicAge(clock)
        self._loss = StoreLoss(topic)
        self._confirming = asyncio.Lock()
        self._has_snapshot = False

    @property
    def silence_s(self) -> float:
        """Return the time since the store last answered, in seconds."""
        return _loop_time() - self.last_answer_at

    @property
    def age_s(self) -> float:
        """Return for how long changes may be unknown, in seconds."""
        return self._age.age_s

    async def confirm(self, *, max_age_s: float) -> bool:
        """Read the topic if what is known is older than ``max_age_s``.

        Returns whether it is not older any more. Takes ``CONFIRM_LIMIT_S`` at
        most, and no time while the store does not answer.
        """
        since = self._age.now() - max_age_s
        if not self._age.includes(since) and not self._loss.is_lost:
            try:
                async with stall_timeout(CONFIRM_LIMIT_S):
                    await self._read_since(since)
            except OutdatedReadError:
                self._forget_position()
            except (FailureError, TimeoutError) as error:
                self._note_loss(error)
        return self._age.includes(since)

    async def read_snapshot(self) -> None:
        """Read the newest record of each key.

        :raises FailureError: if the store does not answer
        """
        sent_at = self._age.now()
        page = await self._store.newest(self.topic)
        if _is_late(page, self.era):
            return
        self._has_snapshot = True
        is_restored = self.era is not None and page.era > self.era
        self.era = page.era
        self.position = page.end
        self._age.note_snapshot(sent_at)
        self._apply(TopicChange(True, page.records, page.era, is_restored))

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._read_once()
            except OutdatedReadError:
                self._forget_position()
            except FailureError as error:
                self._note_loss(error)
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                await wait_at_most(self._is_wanted, self.pause_s)
                self._is_wanted.clear()

    def read_soon(self) -> None:
        """End the pause between two reads."""
        self._is_wanted.set()

    def advance_to(self, position: int, era: int) -> None:
        """Skip the records before an offset, which are already known."""
        if era == self.era:
            self.position = max(self.position, position)

    async def _read_once(self) -> None:
        if not self._has_snapshot:
            await self.read_snapshot()
            return
        await self._read_page(wait_s=self._read_wait_s)

    async def _read_since(self, since: float) -> None:
        """Read what was written until ``since``, unless another task does."""
        async with self._confirming:
            if self._has_snapshot and not self._age.includes(since):
                await self._read_page(wait_s=0)

    async def _read_page(self, *, wait_s: float) -> None:
        sent_at = self._age.now()
        start = self.position
        page = await self._store.read(self.topic, start=start, wait_s=wait_s)
        if _is_late(page, self.era):
            return
        if page.era != self.era:
            _logger.warning(
                'store was restored',
                topic=self.topic,
                era=page.era,
                earlier_era=self.era,
                position=start,
            )
            self._has_snapshot = False
            return
        self._age.note_page(page, sent_at=sent_at, wait_s=wait_s)
        records = tuple(
            record for record in page.records if record.offset >= self.position
        )
        self.position = max(self.position, page.end)
        self._apply(TopicChange(False, records, page.era))

    def _forget_position(self) -> None:
        _logger.warning('records were dropped', topic=self.topic, era=self.era)
        self._has_snapshot = False

    def _apply(self, change: TopicChange) -> None:
        if isfinite(self.last_answer_at):
            change = change._replace(silence_s=self.silence_s)
        self.last_answer_at = _loop_time()
        self._loss.end()
        if change.is_snapshot or change.records:
            _report(self.topic, self._on_change, change)
        self.advanced.notify()

    def _note_loss(self, error: Exception) -> None:
        self._loss.begin(error, age_s=rounded_age_s(self))


def _is_late(page: KeyedPage, era: int | None) -> bool:
    """Return whether a page was read before the store was restored."""
    return era is not None and page.era < era


def _report(
    topic: str, on_change: Callable[[TopicChange], None], change: TopicChange
) -> None:
    """Report a change; a record that raises an error is left out."""
    try:
        on_change(change)
    except Exception:
        _logger.exception(
            'change applied record by record',
            topic=topic,
            records=len(change.records),
        )
        for record in change.records:
            _report_alone(topic, on_change, record, change.era)


def _report_alone(
    topic: str,
    on_change: Callable[[TopicChange], None],
    record: KeyedRecord,
    era: int,
) -> None:
    try:
        on_change(TopicChange(False, (record,), era))
    except Exception:
        _logger.exception(
            'record cannot be applied',
            topic=topic,
            key=record.key,
            offset=record.offset,
        )


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
