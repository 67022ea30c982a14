"""Divides a target's limit of requests a second among the hosts of a fleet.

Hosts can't ask each other before each request. So a few hosts, which all of
them choose alike, send to a limited target, each at an equal part of the
limit, and the others send nothing. A part of a second's limit for each of many
hosts would let each of them send its first request at once.
"""

from typing import NamedTuple

from dandelioncleat.core.host_choice import HostChoice

# Each sender may send its first request at the same moment. Targets bear a few
# requests beyond what they name, and more if they name more.
SPARE_SENDERS = 3
# A target that names less is asked at this rate, as only its own answers tell
# that its limit has ended.
MIN_PER_S = 0.1


class SendShare(NamedTuple):
    """One host's part of a target's limit.

    ``is_sender`` is false for a host that sends nothing. ``interval_s`` is the
    time between two requests of a sender, ``fleet_interval_s`` that between
    two requests of all senders, in seconds.
    """

    is_sender: bool
    interval_s: float
    fleet_interval_s: float


def send_share(
    limit_per_s: float, *, target: str, host: str, fleet: HostChoice
) -> SendShare:
    """Return a host's part of a target's limit.

    :param limit_per_s: requests a second that the target takes from all hosts
    :param target: what identifies the target, the same at all hosts
    """
    rate_per_s = max(MIN_PER_S, limit_per_s)
    senders = min(fleet.size, SPARE_SENDERS + int(limit_per_s))
    return SendShare(
        is_sender=fleet.is_among(target, host, most=senders),
        interval_s=senders / rate_per_s,
        fleet_interval_s=1 / rate_per_s,
    )
