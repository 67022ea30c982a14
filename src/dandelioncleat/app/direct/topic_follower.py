"""Follows one keyed topic of the platform's store."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import structlog

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
    """Records of a topic in order; ``is_whole`` means that no others hold."""

    is_whole: bool
    records: tuple[KeyedRecord, ...]


class TopicFollower:
    """Reads a topic to its end and on, and tells of each change.

    ``position`` is the offset up to which everything was told.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        *,
        on_change: Callable[[TopicChange], None],
        pause_s: float = 0,
    ) -> None:
        """Take the store, the topic and the function that is told.

        :param pause_s: time between two reads, in seconds, which gathers
            records of a busy topic into fewer reads
        """
        self.topic = topic
        self.position = 0
        self.moved = Signal()
        self.heard_at = float('-inf')
        self._store = store
        self._on_change = on_change
        self.pause_s = pause_s
        self._is_started = False
        self._is_lost = False

    @property
    def silence_s(self) -> float:
        """Return the time since the store last answered, in seconds."""
        return asyncio.get_running_loop().time() - self.heard_at

    async def start(self) -> None:
        """Read the newest record of each key; raises ``FailureError``."""
        page = await self._store.newest(self.topic)
        self._is_started = True
        self._take(page, is_whole=True)

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._read_once()
            except OutdatedReadError:
                _logger.warning('records were dropped', topic=self.topic)
                self._is_started = False
            except FailureError as error:
                self._note_loss(error)
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                await asyncio.sleep(self.pause_s)

    def move_to(self, position: int) -> None:
        """Note that the records before an offset are known already."""
        self.position = max(self.position, position)

    async def _read_once(self) -> None:
        if not self._is_started:
            await self.start()
            return
        start = self.position
        page = await self._store.read(
            self.topic, start=start, wait_s=READ_WAIT_S
        )
        self._take(page, is_whole=False)

    def _take(self, page: KeyedPage, *, is_whole: bool) -> None:
        self.heard_at = asyncio.get_running_loop().time()
        self._note_return()
        records = page.records
        if not is_whole:
            records = tuple(
                record for record in records if record.offset >= self.position
            )
        if is_whole or records:
            self._on_change(TopicChange(is_whole, records))
        self.position = max(self.position, page.end)
        self.moved.notify()

    def _note_loss(self, error: FailureError) -> None:
        if not self._is_lost:
            self._is_lost = True
            _logger.warning('store lost', topic=self.topic, reason=str(error))

    def _note_return(self) -> None:
        if self._is_lost:
            self._is_lost = False
            _logger.info('store regained', topic=self.topic)
