"""Bounds what the peers of a process have yet to read.

What is written to a connection that its peer does not read waits in the
process, for each connection as much as its buffer holds. So the one whose
answer has been unread for the longest time is closed if all of them together
hold too much.
"""

from typing import Protocol

import structlog

from dandelioncleat.ports.telemetry import Telemetry

# A connection may leave this much unread without a part of the pool, in bytes.
FREE_UNREAD_BYTES = 16 * 1024
# A crowd may close many connections a second.
LOGGED_EVERY = 100

_logger = structlog.get_logger(__name__)


class UnreadConnection(Protocol):
    """A connection whose peer reads late."""

    def abort(self) -> None:
        """Close the connection at once."""


class UnreadAnswers:
    """The connections with unread answers, the longest unread first."""

    def __init__(self, most_bytes: int, telemetry: Telemetry) -> None:
        """Start without a connection.

        :param most_bytes: what all connections together may leave unread
        """
        self.closed = 0
        self._most_bytes = most_bytes
        self._telemetry = telemetry
        self._bytes_by_connection: dict[UnreadConnection, int] = {}
        self._bytes = 0

    @property
    def held(self) -> int:
        """Return how many bytes are unread."""
        return self._bytes

    def add(self, connection: UnreadConnection, size: int) -> None:
        """Note that a peer reads late; close others if they hold too much.

        :param size: what is unread, in bytes
        """
        self.remove(connection)
        self._bytes_by_connection[connection] = size
        self._bytes += size
        while self._bytes > self._most_bytes:
            longest = next(iter(self._bytes_by_connection))
            self.remove(longest)
            longest.abort()
            self._count()

    def remove(self, connection: UnreadConnection) -> None:
        """Note that a peer has read, or that its connection is closed."""
        self._bytes -= self._bytes_by_connection.pop(connection, 0)

    def _count(self) -> None:
        self.closed += 1
        self._telemetry.count('connections.closed', reason='unread_answers')
        if self.closed % LOGGED_EVERY == 1:
            _logger.warning(
                'connections with unread answers closed',
                most_bytes=self._most_bytes,
                closed=self.closed,
            )
