"""A run's response so far, with the token count of each chunk."""

from array import array
from bisect import bisect_right
from typing import NamedTuple


class ResponsePart(NamedTuple):
    """The response from a byte offset on, and its tokens."""

    data: bytes
    tokens: int


class ResponseBuffer:
    """Appends chunks of a response and returns it from any offset."""

    def __init__(self) -> None:
        """Start empty."""
        self.tokens = 0
        self.size = 0
        self.is_retained = True
        self._data = bytearray()
        self._ends = array('Q')
        self._token_sums = array('Q')

    def add(self, data: bytes, tokens: int) -> None:
        """Append the next chunk."""
        self._data += data
        self.size += len(data)
        self.tokens += tokens
        self._ends.append(self.size)
        self._token_sums.append(self.tokens)

    def part(self, start: int) -> ResponsePart | None:
        """Return the response from an offset on, ``None`` if there is none."""
        if start >= self.size or not self.is_retained:
            return None
        tokens = self.tokens - self._tokens_before(start)
        return ResponsePart(bytes(self._data[start:]), tokens)

    def discard(self) -> None:
        """Discard the data but keep its size and token count."""
        self.is_retained = False
        self._data = bytearray()
        self._ends = array('Q')
        self._token_sums = array('Q')

    def _tokens_before(self, start: int) -> int:
        index = bisect_right(self._ends, start)
        return self._token_sums[index - 1] if index else 0
