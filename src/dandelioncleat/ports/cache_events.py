"""Asks model engines which prompt parts they hold."""

from typing import Protocol

from dandelioncleat.core.cache_update import CacheUpdate
from dandelioncleat.core.deployment import TargetEntry


class CacheEvents(Protocol):
    """Asks targets; failures raise ``FailureError`` with code ``target``."""

    async def cache_news(
        self, target: TargetEntry, *, start: int, wait_s: float
    ) -> CacheUpdate:
        """Return the changes from a position on; wait if there are none."""
