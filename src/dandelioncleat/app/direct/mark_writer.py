"""Writes the usage marks of a host to the store."""

import asyncio
import random
from collections.abc import Sequence
from typing import NamedTuple

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
# An epoch begins at a number in this range, drawn for each of its fences: two
# processes that begin the same epoch never use the same numbers.
SEQUENCE_STARTS = 2**40

_logger = structlog.get_logger(__name__)


class WrittenMarks(NamedTuple):
    """Marks as the store has them, and the era of their append."""

    marks: tuple[UsageMark, ...]
    era: int


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
        self._generator = random.Random()
        self._sequence = 0

    async def fence(self, after_epoch: int) -> None:
        """Begin a new epoch.

        The store may know a higher epoch than any mark has: an earlier process
        may have died before its first mark, or its marks may be lost.

        :param after_epoch: highest known epoch of the host
        :raises FailureError: if the store does not answer
        """
        self.epoch = max(self.epoch, after_epoch)
        step = 1
        while True:
            self.epoch += step
            self._sequence = self._generator.randrange(SEQUENCE_STARTS)
            try:
                await self._append(())
            except (FencedError, SequenceError) as error:
                _logger.warning(
                    'epoch is taken',
                    epoch=self.epoch,
                    reason=type(error).__name__,
                )
                step *= 2
            else:
                return

    async def write(self, marks: Sequence[UsageMark]) -> WrittenMarks:
        """Append marks; return once the store has confirmed them.

        A restored store may have forgotten the last appends, and with them
        the number that it expects; a late append of an earlier process may
        have begun a higher epoch. The marks then belong to a new epoch.
        """
        self._sequence += 1
        while True:
            current = tuple(
                msgspec.structs.replace(mark, epoch=self.epoch)
                for mark in marks
            )
            try:
                appended = await self._append(current)
            except (FencedError, SequenceError) as error:
                _logger.warning(
                    'store rejected marks',
                    epoch=self.epoch,
                    reason=type(error).__name__,
                )
                await self._fence_again()
            except FailureError as error:
                _logger.debug('marks append failed', reason=str(error))
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                return WrittenMarks(current, appended.era)

    async def _fence_again(self) -> None:
        try:
            await self.fence(self.epoch)
        except FailureError as error:
            _logger.debug('epoch not begun', reason=str(error))
            await asyncio.sleep(RETRY_PAUSE_S)
        # The store may have begun the epoch without an answer: the number of
        # the empty append would make the next one a repeat of it.
        self._sequence += 1

    async def _append(self, marks: tuple[UsageMark, ...]) -> Appended:
        records = tuple(
            (f'{mark.budget}/{mark.host}', msgspec.msgpack.encode(mark))
            for mark in marks
        )
        producer = Producer(self._host, self.epoch, self._sequence)
        return await self._store.append(self._topic, records, producer=producer)
