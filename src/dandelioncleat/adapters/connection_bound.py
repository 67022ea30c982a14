"""Bounds the connections that all peers of an address keep open together.

Connections that do nothing, or whose requests never come to their end, would
use up the descriptors that the process needs for others. So the one that has
been waiting for the longest time gives way to a new one; one whose last answer
its peer has yet to read only if there is no other. If all have requests under
way, one gives way whose peer has sent more of them ahead.
"""

from typing import Protocol

import structlog

from dandelioncleat.ports.telemetry import NullTelemetry, Telemetry

# A crowd may open many connections a second.
LOGGED_EVERY = 100

_logger = structlog.get_logger(__name__)


class BoundConnection(Protocol):
    """A connection that may have to give way."""

    @property
    def is_waiting(self) -> bool:
        """Return whether no request has arrived whole that is not answered."""

    @property
    def has_unsent(self) -> bool:
        """Return whether the peer has yet to read a part of an answer."""

    @property
    def has_requests_ahead(self) -> bool:
        """Return whether requests have come behind the current one."""

    def abort(self) -> None:
        """Close the connection at once."""


class ConnectionBound:
    """Keeps the open connections of an address, the longest waiting first."""

    def __init__(
        self, name: str, *, most: int, telemetry: Telemetry | None = None
    ) -> None:
        """Start without a connection.

        :param name: of the address, for log lines
        :param most: number of connections that are kept open
        """
        self.closed = 0
        self._telemetry = telemetry or NullTelemetry()
        self._name = name
        self._most = max(1, most)
        self._connections: dict[BoundConnection, None] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def add(self, connection: BoundConnection) -> None:
        """Keep a new connection; close another one if there are too many.

        If all others have one request under way, the new one is closed.
        """
        self._connections[connection] = None
        if len(self._connections) <= self._most:
            return
        longest = self._longest_waiting(connection) or connection
        self.remove(longest)
        longest.abort()
        self._count()

    def note_answered(self, connection: BoundConnection) -> None:
        """Note that a connection begins to wait for its next request."""
        is_open = connection in self._connections
        self.remove(connection)
        if is_open:
            self._connections[connection] = None

    def remove(self, connection: BoundConnection) -> None:
        """Forget a connection that is closed."""
        self._connections.pop(connection, None)

    def _longest_waiting(self, new: BoundConnection) -> BoundConnection | None:
        """Return what gives way to a new connection, ``None`` if none does."""
        unsent = None
        ahead = None
        for each in self._connections:
            if each is new:
                continue
            if each.is_waiting and not each.has_unsent:
                return each
            if each.is_waiting:
                unsent = unsent or each
            elif each.has_requests_ahead:
                ahead = ahead or each
        return unsent or ahead

    def _count(self) -> None:
        self.closed += 1
        self._telemetry.count('connections.closed', reason='too_many')
        if self.closed % LOGGED_EVERY == 1:
            _logger.warning(
                'connections closed for others',
                address=self._name,
                most=self._most,
                closed=self.closed,
            )
