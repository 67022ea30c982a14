"""The newest entries of a stream, cached for other processes."""

from collections import deque
from collections.abc import Iterable
from itertools import islice

from dandelioncleat.core.message import StreamEntry

MAX_ENTRIES = 1024
MAX_BYTES = 1024 * 1024


class StreamTail:
    """A bounded buffer of consecutive entries."""

    def __init__(self) -> None:
        """Start with no entry."""
        self.end = 0
        self._entries: deque[StreamEntry] = deque()
        self._size = 0

    @property
    def start(self) -> int:
        """Return the offset of the oldest entry that is held."""
        return self.end - len(self._entries)

    def note(self, start: int, entries: Iterable[StreamEntry]) -> None:
        """Add the entries that a read from ``start`` returned."""
        if not self.start <= start <= self.end:
            self._entries.clear()
            self._size = 0
            self.end = start
        for entry in entries:
            if entry.offset == self.end:
                self._add(entry)

    def from_offset(
        self,
        start: int,
        limit: int,
    ) -> tuple[StreamEntry, ...] | None:
        """Return entries from an offset on, ``None`` if it is not held."""
        if not self.start <= start <= self.end:
            return None
        first = start - self.start
        return tuple(islice(self._entries, first, first + max(limit, 0)))

    def _add(self, entry: StreamEntry) -> None:
        self._entries.append(entry)
        self._size += len(entry.data)
        self.end += 1
        while len(self._entries) > MAX_ENTRIES or self._is_too_large():
            self._size -= len(self._entries.popleft().data)

    def _is_too_large(self) -> bool:
        return self._size > MAX_BYTES and len(self._entries) > 1
