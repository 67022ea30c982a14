"""The response time of a peer, as a moving average."""

# Weight of the newest round trip in the average.
NEWEST_WEIGHT = 0.3


class RoundTripMean:
    """An exponentially weighted moving average of round trips."""

    def __init__(self) -> None:
        """Start at 0, as for a peer that answers at once."""
        self.mean_s = float(0)

    def note(self, passed_s: float) -> None:
        """Add the newest round trip, in seconds."""
        self.mean_s += NEWEST_WEIGHT * (passed_s - self.mean_s)
