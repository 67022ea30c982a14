"""What the connections of a process make it hold, at all its addresses."""

from typing import NamedTuple

from dandelioncleat.adapters.unread_answers import UnreadAnswers
from dandelioncleat.core.held_bytes import (
    DEFAULT_MEMORY_MB,
    HeldBytes,
    pool_bytes,
)
from dandelioncleat.ports.telemetry import NullTelemetry, Telemetry


class ConnectionMemory(NamedTuple):
    """The pools that all connections of a process share.

    ``received`` is for heads, and for bodies that nothing has read yet;
    ``unread`` for answers that their callers have not read.
    """

    received: HeldBytes
    unread: UnreadAnswers
    telemetry: Telemetry


def new_connection_memory(
    memory_mb: float = DEFAULT_MEMORY_MB, telemetry: Telemetry | None = None
) -> ConnectionMemory:
    """Return empty pools.

    :param memory_mb: memory of the process, in MiB
    """
    telemetry = telemetry or NullTelemetry()
    return ConnectionMemory(
        HeldBytes(memory_mb),
        UnreadAnswers(pool_bytes(memory_mb), telemetry),
        telemetry,
    )
