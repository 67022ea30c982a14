"""The platform's store: keyed topics whose newest records last."""

from typing import NamedTuple, Protocol

from dandelioncleat.core.keyed_record import KeyedRecord


class KeyedPage(NamedTuple):
    """Records in order; ``end`` is the offset to read on from."""

    end: int
    records: tuple[KeyedRecord, ...]


class Producer(NamedTuple):
    """Names a writer, so that repeated and outdated appends have no effect."""

    name: str
    epoch: int
    sequence: int


class OutdatedReadError(Exception):
    """Says that the store dropped the records that were to be read."""


class ConflictError(Exception):
    """Says that a topic does not end where the writer has read it."""


class FencedError(Exception):
    """Says that a producer with a higher epoch has written."""


class KeyedStore(Protocol):
    """Reads and writes keyed topics.

    A call that fails otherwise raises ``FailureError`` with code ``log``. An
    append that failed so may have been done, or may be done later.
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
    ) -> int:
        """Append records, all or none, and return the topic's new end.

        :param at: offset at which the topic must end
        """
