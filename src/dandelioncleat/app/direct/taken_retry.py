"""A retry that was taken from the retry budget."""

import asyncio

from dandelioncleat.core.retry_window import RetryWindow


class TakenRetry:
    """Counts in its window until the target has read it, and a while longer."""

    def __init__(self, window: RetryWindow) -> None:
        """Initialise with the window that the retry was taken from."""
        self._window = window
        self._is_read = False

    def note_read(self) -> None:
        """Note that the target has read the retry, or never will."""
        if not self._is_read:
            self._is_read = True
            self._window.note_read(asyncio.get_running_loop().time())
