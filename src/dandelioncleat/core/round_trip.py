"""The response time of a peer, as a moving average."""

# Weight of the newest round trip in the average, if it is longer or shorter.
LONGER_WEIGHT = 0.6
SHORTER_WEIGHT = 0.3


class RoundTripMean:
    """A moving average of round trips that rises faster than it falls.

    Whoever prepares for a slow peer can't wait for many slow answers.
    """

    def __init__(self) -> None:
        """Start at 0, as for a peer that answers at once."""
        self.mean_s = float(0)

    def note(self, passed_s: float) -> None:
        """Add the newest round trip, in seconds."""
        is_longer = passed_s > self.mean_s
        weight = LONGER_WEIGHT if is_longer else SHORTER_WEIGHT
        self.mean_s += weight * (passed_s - self.mean_s)
