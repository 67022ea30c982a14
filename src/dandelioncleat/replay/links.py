"""The links of a replayed fleet: a delay and a switch for each pair."""

from dandelioncleat.replay.trace import Deployment

LOG = 'log'
SAME_DATA_CENTRE_S = 0.0002
MS_PER_S = 1000


class Links:
    """Gives the delay between two addresses, ``None`` while parted."""

    def __init__(self, deployment: Deployment) -> None:
        """Take the data centres and what stands in them."""
        self.parted: set[frozenset[str]] = set()
        self._lines = deployment.data_centres
        self._data_centres_by_address = dict(deployment.routers)
        self._data_centres_by_address.update(
            (name, target.data_centre)
            for name, target in deployment.targets.items()
        )

    def delay_s(self, sender: str, receiver: str) -> float | None:
        """Return the delay between two processes, in seconds."""
        one = self._data_centres_by_address[sender]
        other = self._data_centres_by_address[receiver]
        if one == other:
            return SAME_DATA_CENTRE_S
        if frozenset((one, other)) in self.parted:
            return None
        slower_ms = max(
            self._lines[one].one_way_ms,
            self._lines[other].one_way_ms,
        )
        return slower_ms / MS_PER_S

    def log_delay_s(self, data_centre: str) -> float | None:
        """Return the delay between a data centre and the log, in seconds."""
        if frozenset((data_centre, LOG)) in self.parted:
            return None
        return self._lines[data_centre].one_way_ms / MS_PER_S
