"""The time that a peer takes to answer, as a decaying mean."""

# Weight of the newest round trip.
NEWEST_WEIGHT = 0.3


class RoundTripMean:
    """Averages round trips, the newest ones most."""

    def __init__(self) -> None:
        """Start with a peer that answers at once."""
        self.mean_s = float(0)

    def note(self, passed_s: float) -> None:
        """Take the time that the newest answer took, in seconds."""
        self.mean_s += NEWEST_WEIGHT * (passed_s - self.mean_s)
