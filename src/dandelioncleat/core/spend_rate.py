"""The recent rate of spending, as an exponentially decaying average."""

from math import exp

MEAN_AGE_S = 300.0
MIN_AGE_S = 5.0


class SpendRate:
    """Averages spending with weights that decay with age."""

    def __init__(self, now: float) -> None:
        """Start with no spending; ``now`` is in seconds."""
        self._since = now
        self._decayed_at = now
        self._weight: float = 0

    def note(self, tokens: int, now: float) -> None:
        """Add tokens that were spent."""
        self._decay(now)
        self._weight += tokens

    def tokens_per_s(self, now: float) -> float:
        """Return the rate, corrected for a short history."""
        self._decay(now)
        age = max(now - self._since, MIN_AGE_S)
        return self._weight / (MEAN_AGE_S * (1 - exp(-age / MEAN_AGE_S)))

    def _decay(self, now: float) -> None:
        self._weight *= exp((self._decayed_at - now) / MEAN_AGE_S)
        self._decayed_at = now
