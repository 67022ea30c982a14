"""The answer of a run so far, with the tokens of each of its parts."""

from array import array
from bisect import bisect_right
from typing import NamedTuple


class Part(NamedTuple):
    """The answer from a byte on."""

    data: bytes
    tokens: int


class ResponseBuffer:
    """Grows by pieces and returns any later part of itself."""

    def __init__(self) -> None:
        """Start empty."""
        self.tokens = 0
        self.size = 0
        self.kept = True
        self._data = bytearray()
        self._ends = array('Q')
        self._token_sums = array('Q')

    def add(self, data: bytes, tokens: int) -> None:
        """Append the next piece."""
        self._data += data
        self.size += len(data)
        self.tokens += tokens
        self._ends.append(self.size)
        self._token_sums.append(self.tokens)

    def part(self, start: int) -> Part | None:
        """Return the answer from a byte on, ``None`` if there is no more."""
        if start >= self.size or not self.kept:
            return None
        tokens = self.tokens - self._tokens_before(start)
        return Part(bytes(self._data[start:]), tokens)

    def forget(self) -> None:
        """Free the memory but keep the size and the tokens."""
        self.kept = False
        self._data = bytearray()
        self._ends = array('Q')
        self._token_sums = array('Q')

    def _tokens_before(self, start: int) -> int:
        index = bisect_right(self._ends, start)
        return self._token_sums[index - 1] if index else 0
