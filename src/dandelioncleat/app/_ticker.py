"""The pause between two rounds of a task, which may be cut short."""

import asyncio
from contextlib import suppress


class Ticker:
    """Waits for the next round."""

    def __init__(self) -> None:
        """Start without a nudge."""
        self._nudged = asyncio.Event()

    def nudge(self) -> None:
        """Begin the next round at once."""
        self._nudged.set()

    async def wait(self, pause_s: float) -> None:
        """Wait for a pause in seconds or for a nudge."""
        with suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._nudged.wait()
        self._nudged.clear()
