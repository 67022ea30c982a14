"""Network links of a replayed fleet: latency and partitions."""

from dandelioncleat.replay.trace import Deployment

LOG = 'log'
SAME_DATA_CENTRE_S = 0.0002
MS_PER_S = 1000


class Links:
    """Gives the delay between two addresses, ``None`` while partitioned."""

    def __init__(self, deployment: Deployment) -> None:
        """Store the data centres and the addresses in each."""
        self.partitioned: set[frozenset[str]] = set()
        self._lines_by_data_centre = deployment.data_centres
        self._data_centres_by_address = dict(deployment.routers)
        self._data_centres_by_address.update(
            (name, target.data_centre)
            for name, target in deployment.targets.items()
        )

    def delay_s(self, sender: str, receiver: str) -> float | None:
        """Return the delay between two processes, in seconds."""
        sender_data_centre = self._data_centres_by_address[sender]
        receiver_data_centre = self._data_centres_by_address[receiver]
        if sender_data_centre == receiver_data_centre:
            return SAME_DATA_CENTRE_S
        if (
            frozenset((sender_data_centre, receiver_data_centre))
            in self.partitioned
        ):
            return None
        slower_ms = max(
            self._lines_by_data_centre[sender_data_centre].one_way_ms,
            self._lines_by_data_centre[receiver_data_centre].one_way_ms,
        )
        return slower_ms / MS_PER_S

    def log_delay_s(self, data_centre: str) -> float | None:
        """Return the delay between a data centre and the log, in seconds."""
        if frozenset((data_centre, LOG)) in self.partitioned:
            return None
        return self._lines_by_data_centre[data_centre].one_way_ms / MS_PER_S
