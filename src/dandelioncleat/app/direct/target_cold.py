"""What a router knows of how cold one target is."""

import structlog

from dandelioncleat.core.cold_start import ColdCause, ColdPeriod
from dandelioncleat.core.deployment import ColdStart, TargetEntry

_logger = structlog.get_logger(__name__)


class TargetCold:
    """Keeps until when one start of a target is cold.

    ``terms`` is how targets of its service start, ``None`` if they bear all
    requests at once. All times are event loop times in seconds.
    """

    def __init__(self, entry: TargetEntry, terms: ColdStart | None) -> None:
        """Start with a warm target."""
        self.terms = terms
        self._entry = entry
        self._period = ColdPeriod()

    def rate_per_s(self, now: float) -> float | None:
        """Return how many requests a second it takes, ``None`` if warm."""
        if self.terms is None or not self._period.is_cold(now):
            return None
        return self.terms.rate_per_s

    def is_cold(self, now: float) -> bool:
        """Return whether the target may get few requests only."""
        return self.rate_per_s(now) is not None

    def note_stated(self, cold_s: float, now: float) -> None:
        """Note for how long the target says that it is cold, 0 if it is not."""
        was_cold = self.is_cold(now)
        self._period.state(cold_s, now)
        if not was_cold:
            self._log(ColdCause.STATED, now)

    def presume(self, cause: ColdCause, now: float) -> None:
        """Note that the target may have turned cold unseen."""
        if self.terms is None:
            return
        was_cold = self.is_cold(now)
        self._period.presume(self.terms.span_s, now)
        if not was_cold:
            self._log(cause, now)

    def _log(self, cause: ColdCause, now: float) -> None:
        rate_per_s = self.rate_per_s(now)
        if rate_per_s is None:
            return
        _logger.info(
            'target is cold',
            target=self._entry.id,
            start=self._entry.start,
            cause=cause.value,
            left_s=round(self._period.left_s(now), 2),
            rate_per_s=rate_per_s,
        )
