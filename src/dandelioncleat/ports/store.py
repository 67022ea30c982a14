"""The platform's store: topics that keep the newest record of each key.

The store may be restored from a copy that is some seconds old. Its era, which
all its answers carry, then rises by one: offsets count within an era only.
"""

from typing import NamedTuple, Protocol

from dandelioncleat.core.keyed_record import KeyedRecord


class KeyedPage(NamedTuple):
    """Records in order; ``end`` is the offset to read on from."""

    end: int
    records: tuple[KeyedRecord, ...]
    era: int = 0


class Appended(NamedTuple):
    """The end of a topic after an append, and the era of the append."""

    end: int
    era: int = 0


class Producer(NamedTuple):
    """Identifies a writer, so that repeated or stale appends do nothing."""

    name: str
    epoch: int
    sequence: int


class OutdatedReadError(Exception):
    """The store has dropped the records to be read."""


class ConflictError(Exception):
    """The topic does not end at the offset that the writer expects."""


class FencedError(Exception):
    """A producer with a higher epoch has written."""


class SequenceError(Exception):
    """The producer's number does not follow the last one of its epoch."""


class KeyedStore(Protocol):
    """Reads and writes keyed topics.

    Any other failure raises ``FailureError`` with code ``log``. An append that
    failed in this way may have taken effect, or may do so later.
    """

    async def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key.

        ``end`` is where the topic ended before the first record was read.
        """

    async def read(
        self,
        topic: str,
        *,
        start: int,
        wait_s: float,
    ) -> KeyedPage:
        """Return the records from ``start`` on; wait if there are none."""

    async def append(
        self,
        topic: str,
        records: tuple[tuple[str, bytes], ...],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> Appended:
        """Append records, all or none, and return the topic's new end.

        :param at: offset at which the topic must end
        """
