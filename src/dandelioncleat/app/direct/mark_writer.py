"""Writes the usage marks of a host to the store."""

import asyncio
from collections.abc import Sequence

import msgspec
import structlog

from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.holding import UsageMark
from dandelioncleat.ports.store import FencedError, KeyedStore, Producer

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

    async def write(self, marks: Sequence[UsageMark]) -> None:
        """Append marks; return once the store has confirmed them."""
        self._sequence += 1
        records = tuple(
            (f'{mark.budget}/{mark.host}', msgspec.msgpack.encode(mark))
            for mark in marks
        )
        while True:
            try:
                await self._append(records)
            except FailureError as error:
                _logger.debug('marks append failed', reason=str(error))
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                return

    async def _append(self, records: tuple[tuple[str, bytes], ...]) -> None:
        producer = Producer(self._host, self.epoch, self._sequence)
        await self._store.append(self._topic, records, producer=producer)
