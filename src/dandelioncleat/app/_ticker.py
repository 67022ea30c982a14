"""An interval timer that can be triggered early."""

import asyncio
from contextlib import suppress


class Ticker:
    """Waits between two rounds of a periodic task."""

    def __init__(self) -> None:
        """Start untriggered."""
        self._triggered = asyncio.Event()

    def trigger(self) -> None:
        """Start the next round at once."""
        self._triggered.set()

    async def wait(self, pause_s: float) -> None:
        """Wait for ``pause_s`` or until triggered."""
        with suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._triggered.wait()
        self._triggered.clear()
