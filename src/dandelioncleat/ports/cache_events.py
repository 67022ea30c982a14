"""Reads which prompt parts model engines have in their caches."""

from typing import Protocol

from dandelioncleat.core.cache_update import CacheUpdate
from dandelioncleat.core.deployment import TargetEntry


class CacheEventSource(Protocol):
    """Reads from targets; raises ``FailureError`` with code ``target``."""

    async def cache_update(
        self, target: TargetEntry, *, start: int, wait_s: float
    ) -> CacheUpdate:
        """Return the changes from a position on; wait if there are none."""
