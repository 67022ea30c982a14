"""Decides when a quarantined request may run once to prove that it is sound.

A wrong quarantine would last, as nothing that is refused can succeed. One
host of the fleet lets single requests run, more rarely each time.
"""

from collections.abc import Mapping
from typing import NamedTuple

from dandelioncleat.core.host_choice import first_host

# What has succeeded before was probably beside the cause.
KNOWN_PAUSE_S = 4.0
# What never succeeded may be the cause, and a trial costs a target.
UNKNOWN_PAUSE_S = 30.0
# What was blamed for abandoned runs may have run beside the cause often.
DOUBTFUL_PAUSE_S = 8.0
PAUSE_FACTOR = 4


class _Pause(NamedTuple):
    """A wait before the next trial; ``end_at`` is an event loop time."""

    length_s: float
    end_at: float


class QuarantineTrials:
    """Keeps when each quarantined suspect may be tried next."""

    def __init__(self, host: str) -> None:
        """Start without a suspect.

        :param host: host of this router
        """
        self._host = host
        self._pauses_by_suspect: dict[str, _Pause] = {}

    def begin(
        self,
        suspect: str,
        now: float,
        *,
        is_known: bool,
        is_doubtful: bool = False,
    ) -> None:
        """Note that a quarantine begins.

        :param now: event loop time in seconds
        :param is_known: whether the suspect has succeeded before
        :param is_doubtful: whether few of its crashes interrupted its runs
        """
        pause_s = KNOWN_PAUSE_S if is_known else UNKNOWN_PAUSE_S
        first_s = min(pause_s, DOUBTFUL_PAUSE_S) if is_doubtful else pause_s
        self._pauses_by_suspect[suspect] = _Pause(pause_s, now + first_s)

    def end(self, suspect: str) -> None:
        """Note that a quarantine has ended."""
        self._pauses_by_suspect.pop(suspect, None)

    def take(
        self, suspect: str, now: float, *, cores_by_host: Mapping[str, float]
    ) -> bool:
        """Return whether a request may run now, and count it as a trial.

        :param cores_by_host: the routers of the fleet, of which one tries
        """
        pause = self._pauses_by_suspect.get(suspect)
        if pause is None or now < pause.end_at:
            return False
        if first_host(suspect, cores_by_host) != self._host:
            return False
        pause_s = pause.length_s * PAUSE_FACTOR
        self._pauses_by_suspect[suspect] = _Pause(pause_s, now + pause_s)
        return True
