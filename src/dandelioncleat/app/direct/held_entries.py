"""Entries of targets that had left before the store was restored."""

import asyncio
from collections.abc import Callable, Container

import structlog

from dandelioncleat.app.direct.topic_follower import TopicChange
from dandelioncleat.core.keyed_record import KeyedRecord

# A target that is gone loses its entry after three missed heartbeats.
RESTORED_HOLD_S = 5.0

_logger = structlog.get_logger(__name__)


class HeldEntries:
    """Holds back entries that are in a copy older than their removal.

    Those that are still listed after ``RESTORED_HOLD_S`` have not left.
    """

    def __init__(self, *, on_release: Callable[[KeyedRecord], None]) -> None:
        """Initialise; ``on_release`` is called with each entry that stays."""
        self._on_release = on_release
        self._held_by_id: dict[str, KeyedRecord] = {}

    def without_removed(
        self, change: TopicChange, removed: Container[str]
    ) -> TopicChange:
        """Return a restored list without the targets that had left.

        :param removed: ids of targets that left before
        """
        self._held_by_id = {
            record.key: record
            for record in change.records
            if record.key in removed
        }
        if not self._held_by_id:
            return change
        _logger.info('restored entries held', targets=sorted(self._held_by_id))
        asyncio.get_running_loop().call_later(RESTORED_HOLD_S, self._release)
        kept = (
            record
            for record in change.records
            if record.key not in self._held_by_id
        )
        return change._replace(records=tuple(kept))

    def discard(self, target: str) -> None:
        """Forget an entry, as a newer record of its target was read."""
        self._held_by_id.pop(target, None)

    def _release(self) -> None:
        for record in tuple(self._held_by_id.values()):
            self._on_release(record)
