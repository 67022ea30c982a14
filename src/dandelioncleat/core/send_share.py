"""Divides a target's limit of requests a second among the hosts of a fleet.

Hosts can't ask each other before each request. So a few hosts, which all of
them choose alike, send to a limited target, each at an equal part of the
limit, and the others send nothing. A part of a second's limit for each of many
hosts would let each of them send its first request at once.

A sender may send some requests at once if it sent fewer before, as prompts
that begin alike come together and should go to one target. A cold target bears
fewer at once, and for some seconds only.
"""

from typing import NamedTuple

from dandelioncleat.core.host_choice import HostChoice

# Beyond what they name, targets bear this many requests at once, and what they
# name for ``BURST_S`` seconds more.
MIN_BURST = 3
BURST_S = 2.0
MIN_SENDERS = 3
# A target that names less is asked at this rate, as only its own answers tell
# that its limit has ended.
MIN_PER_S = 0.1


# Routers that disagree on the fleet, as one that has just started, choose other
# senders. Two such sets stay within what a cold target tolerates.
COLD_RATE_SHARE = 0.5
# More senders would let more requests come to a cold target at once.
COLD_SENDERS_PER_RATE = 0.5


class TargetHost(NamedTuple):
    """A target and a host of a fleet that may send to it.

    :param target: what identifies the target, the same at all hosts
    """

    target: str
    host: str
    fleet: HostChoice


class SendShare(NamedTuple):
    """One host's part of a target's limit.

    ``is_sender`` is false for a host that sends nothing. ``interval_s`` is the
    mean time between two requests of a sender, ``fleet_interval_s`` that
    between two requests of all senders, in seconds. ``burst`` is how many
    requests a sender may send at once.
    """

    is_sender: bool
    interval_s: float
    fleet_interval_s: float
    burst: float

    def wait_s(self, due_at: float, now: float) -> float:
        """Return when a sender may send its next request, from now.

        :param due_at: when it would be due if requests were evenly spaced
        """
        tolerance_s = (self.burst - 1) * self.interval_s
        return max(float(0), due_at - tolerance_s - now)

    def next_due_at(self, due_at: float, now: float) -> float:
        """Return when the request after one that is sent now is due."""
        return max(due_at, now) + self.interval_s


def stricter_share(
    *, limit_per_s: float | None, cold_per_s: float | None, place: TargetHost
) -> SendShare | None:
    """Return a host's part of what a target takes, ``None`` without a limit.

    :param limit_per_s: the limit that the target names, if it does
    :param cold_per_s: what it takes while it is cold, ``None`` if it is warm
    """
    shares = []
    if limit_per_s is not None:
        shares.append(send_share(limit_per_s, place))
    if cold_per_s is not None:
        shares.append(cold_share(cold_per_s, place))
    return max(shares, key=lambda share: share.fleet_interval_s, default=None)


def cold_share(rate_per_s: float, place: TargetHost) -> SendShare:
    """Return a host's part of the requests that a cold target may get.

    Its senders are spaced evenly; none makes up for what it left unused.

    :param rate_per_s: requests a second that the target tolerates, positive
    """
    allowed_per_s = COLD_RATE_SHARE * rate_per_s
    wanted = max(1, int(COLD_SENDERS_PER_RATE * rate_per_s))
    senders = min(place.fleet.size, wanted)
    return SendShare(
        is_sender=_is_sender(place, senders),
        interval_s=senders / allowed_per_s,
        fleet_interval_s=1 / allowed_per_s,
        burst=1,
    )


def send_share(limit_per_s: float, place: TargetHost) -> SendShare:
    """Return a host's part of a target's limit.

    :param limit_per_s: requests a second that the target takes from all hosts
    """
    rate_per_s = max(MIN_PER_S, limit_per_s)
    burst = MIN_BURST + BURST_S * limit_per_s
    # More senders would leave each of them a part that is used less.
    senders = min(place.fleet.size, MIN_SENDERS + int(limit_per_s))
    return SendShare(
        is_sender=_is_sender(place, senders),
        interval_s=senders / rate_per_s,
        fleet_interval_s=1 / rate_per_s,
        burst=max(1, burst / senders),
    )


def _is_sender(place: TargetHost, senders: int) -> bool:
    return place.fleet.is_among(place.target, place.host, most=senders)
