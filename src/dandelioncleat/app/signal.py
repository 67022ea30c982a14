"""Wakes every task that waits for the next change of something."""

import asyncio


class Signal:
    """Lets tasks wait for the next call of ``notify``."""

    def __init__(self) -> None:
        """Start without waiting tasks."""
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait now."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout_s: float | None = None) -> None:
        """Wait for the next change or the timeout.

        :param timeout_s: maximum time to wait in seconds, unbounded by default
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            return
