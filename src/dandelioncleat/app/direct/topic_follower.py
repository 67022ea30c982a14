"""Follows one keyed topic of the platform's store."""

import asyncio
from collections.abc import Callable
from math import isfinite
from typing import NamedTuple

import structlog

from dandelioncleat.app.event_wait import wait_at_most
from dandelioncleat.app.signal import Signal
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.ports.store import (
    KeyedPage,
    KeyedStore,
    OutdatedReadError,
)

READ_WAIT_S = 2.0
RETRY_PAUSE_S = 0.1

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
    ) -> None:
        """Initialise with the store and the topic.

        :param on_change: called with each change
        :param pause_s: time between two reads, in seconds, which batches
            the records of a busy topic
        :param read_wait_s: time that a read waits for records, in seconds
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
        self._has_snapshot = False
        self._is_store_lost = False

    @property
    def silence_s(self) -> float:
        """Return the time since the store last answered, in seconds."""
        return asyncio.get_running_loop().time() - self.last_answer_at

    async def read_snapshot(self) -> None:
        """Read the newest record of each key.

        :raises FailureError: if the store does not answer
        """
        page = await self._store.newest(self.topic)
        if self._is_late(page):
            return
        self._has_snapshot = True
        is_restored = self.era is not None and page.era > self.era
        self.era = page.era
        self.position = page.end
        self._apply(TopicChange(True, page.records, page.era, is_restored))

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._read_once()
            except OutdatedReadError:
                _logger.warning(
                    'records were dropped', topic=self.topic, era=self.era
                )
                self._has_snapshot = False
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
        start = self.position
        page = await self._store.read(
            self.topic, start=start, wait_s=self._read_wait_s
        )
        if self._is_late(page):
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
        records = tuple(
            record for record in page.records if record.offset >= self.position
        )
        self.position = max(self.position, page.end)
        self._apply(TopicChange(False, records, page.era))

    def _is_late(self, page: KeyedPage) -> bool:
        """Return whether a page was read before the store was restored."""
        return self.era is not None and page.era < self.era

    def _apply(self, change: TopicChange) -> None:
        if isfinite(self.last_answer_at):
            change = change._replace(silence_s=self.silence_s)
        self.last_answer_at = asyncio.get_running_loop().time()
        self._note_return()
        if change.is_snapshot or change.records:
            self._report(change)
        self.advanced.notify()

    def _report(self, change: TopicChange) -> None:
        """Report a change; a record that raises an error is left out."""
        try:
            self._on_change(change)
        except Exception:
            _logger.exception(
                'change applied record by record',
                topic=self.topic,
                records=len(change.records),
            )
            for record in change.records:
                self._report_alone(record, change.era)

    def _report_alone(self, record: KeyedRecord, era: int) -> None:
        try:
            self._on_change(TopicChange(False, (record,), era))
        except Exception:
            _logger.exception(
                'record cannot be applied',
                topic=self.topic,
                key=record.key,
                offset=record.offset,
            )

    def _note_loss(self, error: FailureError) -> None:
        if not self._is_store_lost:
            self._is_store_lost = True
            _logger.warning('store lost', topic=self.topic, reason=str(error))

    def _note_return(self) -> None:
        if self._is_store_lost:
            self._is_store_lost = False
            _logger.info('store regained', topic=self.topic)
