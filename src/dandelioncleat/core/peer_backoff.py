"""Keeps requests from peers that can't serve them for now.

What goes on coming may be what keeps a peer from catching up: forwarded
prompts fill a narrow link, on which it then reads neither the store nor its
targets. So each further failure doubles the time for which it gets nothing.
"""

from typing import NamedTuple

FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0


class _Pause(NamedTuple):
    """Consecutive failures, and until when a peer gets nothing."""

    failures: int
    until: float


class PeerBackoff:
    """Keeps when each peer may be tried again; times in seconds."""

    def __init__(self) -> None:
        """Start without a failure."""
        self._pauses_by_host: dict[str, _Pause] = {}

    def is_paused(self, host: str, now: float) -> bool:
        """Return whether a peer gets nothing for now."""
        pause = self._pauses_by_host.get(host)
        return pause is not None and now < pause.until

    def note_failure(self, host: str, now: float) -> None:
        """Note that a peer could not serve what it was sent."""
        if self.is_paused(host, now):
            # It was sent before the failure that paused the peer was known.
            return
        known = self._pauses_by_host.get(host)
        failures = 0 if known is None else known.failures
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**failures)
        self._pauses_by_host[host] = _Pause(failures + 1, now + pause_s)

    def note_success(self, host: str) -> None:
        """Note that a peer has served a request."""
        self._pauses_by_host.pop(host, None)
