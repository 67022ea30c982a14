"""Bounds what one connection's requests make the process hold.

A parsed request takes several times the bytes of its head. The costs here are
estimates, and rather too high; a pool that all connections share bounds their
sum.
"""

from collections import deque
from enum import IntEnum
from typing import NamedTuple

from aiohttp import StreamReader
from aiohttp.http_parser import RawRequestMessage

from dandelioncleat.adapters.read_limit import READ_BYTES
from dandelioncleat.core.held_bytes import HeldBytes, HeldMessage

PEERS = 'peers'
# The bytes of a field are kept as they came, as text, and as they are sent on.
HEAD_COPIES = 3
# A field's objects, and those of a request, in bytes.
FIELD_OVERHEAD_BYTES = 400
REQUEST_OVERHEAD_BYTES = 2_048
# What separates a name from its text, and ends a line.
SEPARATOR_BYTES = 3
# What a request line has beside its method and target, and the empty line.
LINE_BYTES = 14
SHORTEST_FIELD_BYTES = 4
# White space in fields is not counted, so few bytes may not be of a head.
NEGLIGIBLE_BYTES = 1024
# One turn of the event loop reads no more.
MAX_OPEN_BYTES = READ_BYTES
MAX_DIGITS = 9
# A head may have its target and its fields, each of the maximum size.
HEAD_PARTS = 2
# A body is read from the connection up to here until a handler reads it. The
# turn of the event loop that passes it may read as much again.
READ_AHEAD_BYTES = 32 * 1024
MAX_UNREAD_BYTES = READ_AHEAD_BYTES + READ_BYTES


class RequestProblem(IntEnum):
    """Why a request is not served: the status of the refusal."""

    HEAD_TOO_LARGE = 431
    NO_MEMORY = 503


class RequestCost(NamedTuple):
    """What a request holds, in bytes: its head, and its unread body."""

    head: int
    body: int

    @property
    def total(self) -> int:
        """Return both together."""
        return self.head + self.body


class ReceivedRequests:
    """The requests of a connection that are not answered, the first ahead."""

    def __init__(
        self, pool: HeldBytes, *, head_bytes: int, most_fields: int
    ) -> None:
        """Start without a request.

        :param pool: what all connections may hold
        :param head_bytes: maximum size of a target, and of all fields together
        :param most_fields: maximum number of fields of a head
        """
        self._held = HeldMessage(pool, PEERS, is_shared=False)
        self._head_bytes = head_bytes
        self._most_fields = most_fields
        # Bytes behind the last request, and those known to be of one head.
        self._open_bytes = 0
        self._open_lines = 0
        self._head_part_bytes = 0
        self._costs: deque[RequestCost] = deque()

    def add_bytes(self, data: bytes) -> None:
        """Add bytes that are of heads, or of requests that came with them."""
        self._open_bytes += len(data)
        self._open_lines += data.count(b'\n')

    def add(
        self, message: RawRequestMessage, body: StreamReader
    ) -> RequestProblem | None:
        """Add a request whose head has come; return why it is refused."""
        size = _fields_bytes(message)
        count = len(message.raw_headers)
        head = (
            REQUEST_OVERHEAD_BYTES
            + HEAD_COPIES * size
            + FIELD_OVERHEAD_BYTES * count
        )
        self._costs.append(RequestCost(head, _unread_bytes(message, body)))
        self._take_open(message, size + count + body.total_bytes)
        if size > self._head_bytes:
            return RequestProblem.HEAD_TOO_LARGE
        # What has come behind it may belong to others.
        return self._hold(self._requests_cost)

    def add_part(self, data: bytes) -> RequestProblem | None:
        """Note bytes of a head, or of trailers, whose end has not come.

        Returns why the head is refused.
        """
        self._head_part_bytes += len(data)
        if self._head_part_bytes > HEAD_PARTS * self._head_bytes:
            return RequestProblem.HEAD_TOO_LARGE
        return self._hold(self._cost)

    def check_open(self) -> RequestProblem | None:
        """Return why what has come behind the last request is refused."""
        if self._open_bytes < NEGLIGIBLE_BYTES:
            self._open_bytes = 0
        return self._hold(self._cost)

    def forget_open(self) -> None:
        """Note that no part of a head has come."""
        self._open_bytes = 0
        self._open_lines = 0
        self._head_part_bytes = 0

    def take_first(self) -> None:
        """Give back what is held for the body of the request that is handled.

        Its handler reads the body, and has a bound of its own.
        """
        if self._costs:
            self._costs[0] = self._costs[0]._replace(body=0)
            self._held.shrink_to(self._cost)

    def end_first(self) -> None:
        """Give back what the request held that was answered."""
        if self._costs:
            self._costs.popleft()
            self._held.shrink_to(self._cost)

    def discard_last(self) -> None:
        """Give back what the last request held, which is not answered."""
        if self._costs:
            self._costs.pop()
            self._held.shrink_to(self._cost)

    def release(self) -> None:
        """Give everything back."""
        self._costs.clear()
        self.forget_open()
        self._held.release()

    def _take_open(self, message: RawRequestMessage, size: int) -> None:
        """Take a request from the bytes that are not known to be of one."""
        self._head_part_bytes = 0
        if message.chunked:
            # The sizes of its chunks are not told.
            self.forget_open()
            return
        size += len(message.method) + len(message.path) + LINE_BYTES
        self._open_bytes = min(MAX_OPEN_BYTES, max(0, self._open_bytes - size))

    @property
    def _cost(self) -> int:
        fields = min(
            self._open_lines,
            self._open_bytes // SHORTEST_FIELD_BYTES,
            self._most_fields,
        )
        part = HEAD_COPIES * self._open_bytes + FIELD_OVERHEAD_BYTES * fields
        return part + self._requests_cost

    @property
    def _requests_cost(self) -> int:
        return sum(cost.total for cost in self._costs)

    def _hold(self, cost: int) -> RequestProblem | None:
        self._held.shrink_to(cost)
        if self._held.grow_to(cost):
            return None
        return RequestProblem.NO_MEMORY


def _fields_bytes(message: RawRequestMessage) -> int:
    return sum(
        len(name) + len(text) + SEPARATOR_BYTES
        for name, text in message.raw_headers
    )


def _unread_bytes(message: RawRequestMessage, body: StreamReader) -> int:
    """Return what may be read of a body before a handler reads it."""
    if body.is_eof():
        return min(MAX_UNREAD_BYTES, body.total_bytes)
    declared = message.headers.get('Content-Length', '')
    if declared.isdecimal():
        return min(MAX_UNREAD_BYTES, int(declared[:MAX_DIGITS]))
    return MAX_UNREAD_BYTES
