"""Sizes a host's part of a budget.

The load that it answers: requests of very unequal size arrive at hosts
unevenly, all hosts lose the platform's store for many seconds without
notice, and processes are killed. Everything that is left is therefore held
by the hosts in proportion to their recent use, and moves when one is short.
"""

from typing import NamedTuple

from dandelioncleat.core.holding import Share

# Part of a budget that is divided evenly; the rest goes by recent use.
FLOOR_SHARE = 0.5
# A host gives back above, and claims below, these multiples of its part.
EXCESS_FACTOR = 1.35
DEFICIT_FACTOR = 0.8
# Givers can't see each other, so together they offer more than is wanted.
GIVE_FACTOR = 1.25
# Each giver writes a record on which all others then have to build.
MOST_GIVERS = 4
# Moves of less than this part of a budget aren't worth a record.
LEAST_MOVE_SHARE = 0.002
# Tokens a second below which the recent use says nothing.
IDLE_RATE = 1.0
# Part of a budget that no host holds where very many hosts share it.
POOLED_SHARE = 0.5
FEW_HOSTS = 4
# A store that takes longer can't confirm a mark for each request in time.
SLOW_STORE_S = 0.05
# Round trips to such a store until the next mark stands.
ROUND_TRIPS = 2.0
# What may be used while the store answers nobody, in seconds of the recent
# use. A host that is killed loses as much.
OUTAGE_S = 1.5
OUTAGE_SPEED_FACTOR = 1.0
# Of a budget that was not used lately, so much may be used in an outage.
IDLE_SHARE = 0.05


class Demand(NamedTuple):
    """How a host uses a budget, and how soon the store confirms a mark.

    :param free: tokens that the host may still use
    :param rate: tokens a second that it used lately
    :param large_need: size of a large request of the budget, in tokens
    :param round_trip_s: time that the store took for recent marks
    """

    free: int
    rate: float
    large_need: int
    round_trip_s: float


class Allowance(NamedTuple):
    """What may be used without a new mark: at once, and for each second."""

    burst: int
    speed: float


class Position(NamedTuple):
    """What a host knows of a budget when it sizes its part.

    :param paid: tokens that the organisation has paid for
    :param claimed: sum of all hosts' ceilings
    :param own: the host's own part, with what it knows of itself
    :param others: the parts of the other hosts
    :param waiting: tokens that requests wait for here
    :param may_rebalance: whether tokens may move that nobody waits for
    """

    paid: int
    claimed: int
    own: Share
    others: tuple[Share, ...]
    waiting: int
    may_rebalance: bool

    @property
    def pool(self) -> int:
        """Return the tokens in no host's part; negative after a cut."""
        return self.paid - self.claimed

    @property
    def missing(self) -> int:
        """Return the tokens that waiting requests miss here."""
        return max(0, self.waiting - self.own.free)

    @property
    def spare(self) -> int:
        """Return the free tokens that no request waits for here."""
        return max(0, self.own.free - self.waiting)


def next_ceiling(position: Position) -> int:
    """Return the ceiling that the host should have now."""
    own = position.own
    if position.pool < 0:
        return own.ceiling - min(own.free, _fair_return(position))
    if position.missing > 0:
        return own.ceiling + _claim_for_waiting(position)
    given = _given_to_waiting(position)
    if given > 0:
        return own.ceiling - given
    return own.ceiling + _rebalanced(position)


def fair_part(position: Position) -> int:
    """Return the tokens that the host should hold of what is left."""
    left = position.pool + _free(position.others) + position.own.free
    return int(left * (1 - _pooled_share(position)) * _weight(position))


def allowance(demand: Demand) -> Allowance:
    """Return what may be used beyond what a new mark says is used.

    A store that answers confirms a mark before each request; then nothing
    more is allowed but what an outage would need. All of it is presumed
    used if the process dies.
    """
    if demand.free <= 0:
        return Allowance(0, float(0))
    if demand.rate < IDLE_RATE:
        return Allowance(int(demand.free * IDLE_SHARE), float(0))
    burst = float(0)
    if demand.round_trip_s > SLOW_STORE_S:
        until_next = demand.rate * ROUND_TRIPS * demand.round_trip_s
        burst = max(until_next, demand.large_need)
    speed = round(demand.rate * OUTAGE_SPEED_FACTOR, 1)
    return Allowance(min(demand.free, int(burst)), speed)


def _claim_for_waiting(position: Position) -> int:
    if position.pool < position.missing:
        return 0
    deficit = fair_part(position) - position.own.free
    return min(position.pool, max(position.missing, deficit))


def _given_to_waiting(position: Position) -> int:
    wanted = sum(share.wanted for share in position.others)
    short = int(wanted * GIVE_FACTOR) - position.pool
    if short <= 0 or position.spare <= 0:
        return 0
    givers = _free_by_giver(position)
    if position.own.host not in givers:
        return 0
    part = -(-short * position.spare // sum(givers.values()))
    return min(position.spare, part)


def _free_by_giver(position: Position) -> dict[str, int]:
    """Return the free tokens of the hosts that should give: the richest."""
    free_by_host = {
        share.host: share.free for share in position.others if share.wanted == 0
    }
    free_by_host[position.own.host] = position.spare
    ranked = sorted(free_by_host, key=lambda host: (-free_by_host[host], host))
    return {host: free_by_host[host] for host in ranked[:MOST_GIVERS]}


def _rebalanced(position: Position) -> int:
    if not position.may_rebalance or position.waiting:
        return 0
    if any(share.wanted for share in position.others):
        return 0
    fair = fair_part(position)
    free = position.own.free
    if abs(fair - free) < LEAST_MOVE_SHARE * position.paid:
        return 0
    if free > fair * EXCESS_FACTOR:
        return fair - free
    if free < fair * DEFICIT_FACTOR:
        return min(position.pool, fair - free)
    return 0


def _fair_return(position: Position) -> int:
    free = position.own.free + _free(position.others)
    if free <= 0:
        return 0
    return -(position.pool * position.own.free // free)


def _pooled_share(position: Position) -> float:
    """Return the part that no host holds, for requests larger than a part.

    A few hosts can each hold enough for one; many can't.
    """
    hosts = len(position.others) + 1
    return POOLED_SHARE * max(0, 1 - FEW_HOSTS / hosts)


def _weight(position: Position) -> float:
    rates = [share.rate for share in position.others]
    hosts = len(rates) + 1
    total = sum(rates) + position.own.rate
    if total <= IDLE_RATE:
        return 1 / hosts
    by_use = position.own.rate / total
    return FLOOR_SHARE / hosts + (1 - FLOOR_SHARE) * by_use


def _free(shares: tuple[Share, ...]) -> int:
    return sum(share.free for share in shares)
