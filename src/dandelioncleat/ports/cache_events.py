"""Reads which prompt parts model engines have in their caches."""

from typing import NamedTuple, Protocol

from dandelioncleat.core.cache_update import CacheUpdate
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.target_notice import TargetNotice
from dandelioncleat.ports.direct_target import TargetOccupancy


class CachePoll(NamedTuple):
    """A target's answer to a poll; ``update`` is ``None`` if it refused.

    ``occupancy`` is the load that it tells, if it does.
    """

    update: CacheUpdate | None
    notice: TargetNotice
    occupancy: TargetOccupancy | None = None


class CacheEventSource(Protocol):
    """Reads from targets; raises ``FailureError`` with code ``target``."""

    async def cache_update(
        self, target: TargetEntry, *, start: int, wait_s: float
    ) -> CachePoll:
        """Return the changes from a position on; wait if there are none."""
