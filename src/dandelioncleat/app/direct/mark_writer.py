"""Writes the usage marks of a host to the store."""

import asyncio
from collections.abc import Sequence

import msgspec
import structlog

from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.holding import UsageMark
from dandelioncleat.ports.store import (
    Appended,
    FencedError,
    KeyedStore,
    Producer,
    SequenceError,
)

RETRY_PAUSE_S = 0.1
MAX_EPOCH_TRIES = 100

_logger = structlog.get_logger(__name__)


class MarkWriter:
    """Appends marks in order, and retries each append until it is answered.

    The epoch fences off late appends of earlier processes of the host.
    """

    def __init__(self, store: KeyedStore, topic: str, *, host: str) -> None:
        """Initialise with the store and the topic of the marks."""
        self.epoch = 0
        self._store = store
        self._topic = topic
        self._host = host
        self._sequence = 0

    async def fence(self, after_epoch: int) -> None:
        """Begin a new epoch.

        :param after_epoch: highest known epoch of the host
        :raises FailureError: if the store does not answer
        """
        self.epoch = max(self.epoch, after_epoch) + 1
        for _ in range(MAX_EPOCH_TRIES):
            try:
                await self._append(())
            except FencedError:
                self.epoch += 1
            else:
                return
        raise FencedError

    async def write(self, marks: Sequence[UsageMark]) -> Appended:
        """Append marks; return once the store has confirmed them.

        A restored store may have forgotten the last appends, and with them
        the number that it expects; a new epoch starts at any number.
        """
        self._sequence += 1
        records = tuple(
            (f'{mark.budget}/{mark.host}', msgspec.msgpack.encode(mark))
            for mark in marks
        )
        while True:
            try:
                return await self._append(records)
            except SequenceError:
                _logger.warning('store forgot marks', epoch=self.epoch)
                await self._fence_again()
            except FailureError as error:
                _logger.debug('marks append failed', reason=str(error))
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _fence_again(self) -> None:
        try:
            await self.fence(self.epoch)
        except FailureError as error:
            _logger.debug('epoch not begun', reason=str(error))
            await asyncio.sleep(RETRY_PAUSE_S)
        else:
            # The number of the empty append would make the next a repeat.
            self._sequence += 1

    async def _append(self, records: tuple[tuple[str, bytes], ...]) -> Appended:
        producer = Producer(self._host, self.epoch, self._sequence)
        return await self._store.append(self._topic, records, producer=producer)
