"""The platform's log service: append-only streams with offsets."""

from typing import NamedTuple, Protocol


class Entry(NamedTuple):
    """One entry of a stream; ``appended_at`` is the log time in s."""

    offset: int
    appended_at: float
    data: bytes


class Page(NamedTuple):
    """Entries read in order; ``oldest`` is the first offset still kept.

    ``end`` is the offset that the stream's next entry will have.
    """

    oldest: int
    end: int
    entries: tuple[Entry, ...]


class Log(Protocol):
    """Reads and appends; failures raise ``FailureError`` with code ``log``."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append one entry and return its offset.

        After a failure, the stream may contain the entry or not.
        """

    async def read(
        self,
        stream: str,
        *,
        start: int,
        limit: int = 500,
        wait_s: float = 0,
    ) -> Page:
        """Return entries from ``start`` on; wait if there are none yet.

        A ``start`` before the oldest kept entry returns no entries and an
        ``oldest`` above ``start``.
        """
