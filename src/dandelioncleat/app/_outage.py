"""Outages of the log as one process sees them."""

import asyncio


class Outage:
    """Tracks how long every call to the log has failed."""

    def __init__(self) -> None:
        """Start without an outage."""
        self._since: float | None = None

    @property
    def is_on(self) -> bool:
        """Return whether the last call failed."""
        return self._since is not None

    def lasted_s(self) -> float:
        """Return for how many seconds every call has failed."""
        if self._since is None:
            return 0
        return asyncio.get_running_loop().time() - self._since

    def note_failure(self) -> None:
        """Record a failed call."""
        if self._since is None:
            self._since = asyncio.get_running_loop().time()

    def note_success(self) -> None:
        """Record a successful call."""
        self._since = None
