"""Writes changed records of a keyed topic until the store has them."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

import structlog

from dandelioncleat.core.failure import FailureError
from dandelioncleat.ports.store import KeyedStore

RETRY_PAUSE_S = 0.2

RecordT = TypeVar('RecordT')

_logger = structlog.get_logger(__name__)


class TopicWriter(Generic[RecordT]):
    """Keeps the changes that the store has not confirmed, by key.

    ``None`` stands for a record that is deleted.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        *,
        encode: Callable[[RecordT], bytes],
        pause_s: float = 0,
    ) -> None:
        """Initialise without a change.

        :param encode: returns the stored form of a record
        :param pause_s: time between two appends, in seconds
        """
        self.unwritten_by_key: dict[str, RecordT | None] = {}
        self._store = store
        self._topic = topic
        self._encode = encode
        self._pause_s = pause_s
        self._is_due = asyncio.Event()

    def put(self, changes_by_key: Mapping[str, RecordT | None]) -> None:
        """Write changes soon."""
        self.unwritten_by_key.update(changes_by_key)
        if self.unwritten_by_key:
            self._is_due.set()

    async def run(self) -> None:
        """Write whatever changes until cancelled."""
        while True:
            await self._is_due.wait()
            self._is_due.clear()
            changes_by_key = dict(self.unwritten_by_key)
            try:
                await self._store.append(
                    self._topic, self._records(changes_by_key)
                )
            except FailureError as error:
                _logger.debug(
                    'records not written', topic=self._topic, reason=str(error)
                )
                self._is_due.set()
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                self._forget(changes_by_key)
                await asyncio.sleep(self._pause_s)

    def _records(
        self, changes_by_key: Mapping[str, RecordT | None]
    ) -> tuple[tuple[str, bytes], ...]:
        return tuple(
            (key, b'' if record is None else self._encode(record))
            for key, record in changes_by_key.items()
        )

    def _forget(self, changes_by_key: Mapping[str, RecordT | None]) -> None:
        for key, change in changes_by_key.items():
            # What changed meanwhile is still to be written.
            if self.unwritten_by_key.get(key) is change:
                self.unwritten_by_key.pop(key, None)
