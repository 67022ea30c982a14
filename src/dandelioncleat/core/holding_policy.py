"""Sizes a host's part of a budget.

Requests of very unequal size arrive at hosts unevenly, all hosts may lose the
platform's store for many seconds without notice, and processes are killed.
The hosts therefore hold all that is left in proportion to their recent use,
and move tokens when one is short.
"""

from typing import NamedTuple

from dandelioncleat.core.budget_records import Share

# Share of a budget that is divided evenly; the rest follows recent use.
FLOOR_SHARE = 0.5
# A host returns tokens above, and claims them below, these multiples of its
# fair part.
EXCESS_FACTOR = 1.35
DEFICIT_FACTOR = 0.8
# Givers decide independently, so that together they offer more than is wanted.
GIVE_FACTOR = 1.25
# Each giver writes a record that the next ones must build on.
MAX_GIVERS = 4
# Moves of less than this share of a budget aren't worth a record.
MIN_MOVE_SHARE = 0.002
# Tokens per second below which recent use is not significant.
IDLE_RATE = 1.0
# Share of a budget that stays unclaimed if very many hosts share it.
POOLED_SHARE = 0.5
FEW_HOSTS = 4
# A slower store can't confirm a mark for each request in time. A single packet
# that was lost does not make it one.
SLOW_STORE_S = 0.15
# Round trips to such a store until the next mark is confirmed.
ROUND_TRIPS = 2.0
# Marks of a weak host take as long as those beside a slow store, and a kill
# strands all that is allowed at once. One of few holders allows no more than
# this share of what it holds; a request that needs more has a mark written.
SLOW_STORE_SHARE = 0.15
# What may be used while the store is down, in seconds of recent use, whatever
# is left. A host that is killed loses the same amount.
MIN_OUTAGE_S = 0.5
# Requests are large against what one holder uses in an outage.
OUTAGE_REQUESTS = 2
# Share of a recently unused budget that may be used in an outage.
IDLE_SHARE = 0.05


class OutageTerms(NamedTuple):
    """How one of the few holders of a budget covers an outage of the store.

    All requests of a data centre meet these few. What of the allowance may have
    grown by the start of the next process is stranded by a kill, and that is
    missed of a budget that ends soon.

    :param span_s: length of the outage that is covered, in seconds
    :param share: most of what the host holds that is allowed
    :param burst_share: part of it that is allowed at once, for one request
    :param ample_s: all is allowed of a budget that lasts for this long at the
        recent use
    :param lasting_s: nothing more than at any host of one that lasts for this
    """

    span_s: float
    share: float
    burst_share: float
    ample_s: float
    lasting_s: float


# After a loss of power all that may have grown within the error of the time of
# day and the time until the next start is stranded: the whole allowance, or a
# quarter of it if the clock is known to be right.
UNCHECKED_CLOCK = OutageTerms(5.0, 0.1, float(0), 35.0, 15.0)
CHECKED_CLOCK = OutageTerms(8.0, 0.25, 0.03, 15.0, 6.0)


class AllowanceInputs(NamedTuple):
    """How a host uses a budget, and how soon the store confirms a mark.

    :param free: tokens that the host may still use
    :param rate: recent use in tokens per second
    :param large_need: size of a large request of the budget, in tokens
    :param round_trip_s: recent time for the store to confirm a mark
    :param is_one_of_few: whether few hosts of many hold each budget
    :param is_clock_checked: whether the time of day is known to be right
    """

    free: int
    rate: float
    large_need: int
    round_trip_s: float
    is_one_of_few: bool = False
    is_clock_checked: bool = False

    @property
    def outage_terms(self) -> OutageTerms:
        """Return how an outage is covered."""
        return CHECKED_CLOCK if self.is_clock_checked else UNCHECKED_CLOCK


class Allowance(NamedTuple):
    """Tokens usable without a new mark: at once, and per second.

    ``allowed_rate`` applies for ``span_s`` seconds.
    """

    burst: int
    allowed_rate: float
    span_s: float = MIN_OUTAGE_S


class CeilingInputs(NamedTuple):
    """What a host knows of a budget when it sets its ceiling.

    :param paid: tokens that the organisation has paid for
    :param claimed: sum of all hosts' ceilings
    :param own: the host's own part
    :param others: the parts of the other hosts
    :param waiting: tokens that requests wait for here
    :param may_rebalance: whether tokens may move although no request waits
    :param is_holder: whether the host should hold tokens of the budget
    :param holders: number of hosts that should, whether or not they have
        written a record of it
    """

    paid: int
    claimed: int
    own: Share
    others: tuple[Share, ...]
    waiting: int
    may_rebalance: bool
    is_holder: bool = True
    holders: int = 1

    @property
    def hosts(self) -> int:
        """Return the number of hosts that hold tokens, or should."""
        return max(len(self.others) + 1, self.holders)

    @property
    def pool(self) -> int:
        """Return the unclaimed tokens; negative after a reduction."""
        return self.paid - self.claimed

    @property
    def missing(self) -> int:
        """Return the tokens that waiting requests lack here."""
        return max(0, self.waiting - self.own.free)

    @property
    def spare(self) -> int:
        """Return the free tokens that waiting requests don't need."""
        return max(0, self.own.free - self.waiting)


def next_ceiling(inputs: CeilingInputs) -> int:
    """Return the ceiling that the host should have now."""
    own = inputs.own
    if not inputs.is_holder:
        return own.ceiling - inputs.spare
    if inputs.pool < 0:
        return own.ceiling - min(own.free, _fair_return(inputs))
    if inputs.missing > 0:
        return own.ceiling + _claim_for_waiting(inputs)
    given = _given_to_waiting(inputs)
    if given > 0:
        return own.ceiling - given
    return own.ceiling + _rebalanced(inputs)


def fair_part(inputs: CeilingInputs) -> int:
    """Return the host's fair part of the tokens left."""
    left = inputs.pool + _free(inputs.others) + inputs.own.free
    return int(left * (1 - _pooled_share(inputs)) * _weight(inputs))


def allowance(inputs: AllowanceInputs) -> Allowance:
    """Return what a new mark allows beyond the tokens already used.

    A fast store confirms a mark before each request; the allowance then
    covers only an outage. What of it may be used until the next process reads
    the mark is presumed used if this one dies.
    """
    if inputs.free <= 0:
        return Allowance(0, float(0))
    if inputs.rate < IDLE_RATE:
        return Allowance(int(inputs.free * IDLE_SHARE), float(0))
    burst = float(0)
    if inputs.round_trip_s > SLOW_STORE_S:
        until_next = inputs.rate * ROUND_TRIPS * inputs.round_trip_s
        burst = until_next + inputs.large_need
        if inputs.is_one_of_few:
            burst = min(burst, SLOW_STORE_SHARE * inputs.free)
    outage = _outage_allowance(inputs)
    burst = max(burst, outage.burst)
    return outage._replace(burst=min(inputs.free, int(burst)))


def _outage_allowance(inputs: AllowanceInputs) -> Allowance:
    """Return what may be used in an outage of the store."""
    least = Allowance(0, round(inputs.rate, 1))
    if not inputs.is_one_of_few:
        return least
    terms = inputs.outage_terms
    wanted = terms.span_s * inputs.rate + OUTAGE_REQUESTS * inputs.large_need
    ampleness = _ampleness(inputs)
    covered = min(ampleness * wanted, terms.share * inputs.free)
    if covered <= MIN_OUTAGE_S * inputs.rate:
        return least
    at_once = min(inputs.large_need, terms.burst_share * inputs.free)
    return Allowance(
        int(ampleness * at_once),
        round(covered / terms.span_s, 1),
        terms.span_s,
    )


def _ampleness(inputs: AllowanceInputs) -> float:
    """Return 0 for a budget that ends soon, up to 1 for one that lasts."""
    terms = inputs.outage_terms
    lasts_s = inputs.free / inputs.rate
    share = (lasts_s - terms.lasting_s) / (terms.ample_s - terms.lasting_s)
    return min(1, max(0, share))


def _claim_for_waiting(inputs: CeilingInputs) -> int:
    if inputs.pool < inputs.missing:
        return 0
    deficit = fair_part(inputs) - inputs.own.free
    return min(inputs.pool, max(inputs.missing, deficit))


def _given_to_waiting(inputs: CeilingInputs) -> int:
    wanted = sum(share.wanted for share in inputs.others)
    short = int(wanted * GIVE_FACTOR) - inputs.pool
    if short <= 0 or inputs.spare <= 0:
        return 0
    givers = _free_by_giver(inputs)
    if inputs.own.host not in givers:
        return 0
    part = -(-short * inputs.spare // sum(givers.values()))
    return min(inputs.spare, part)


def _free_by_giver(inputs: CeilingInputs) -> dict[str, int]:
    """Return the free tokens of the givers: the hosts with the most."""
    free_by_host = {
        share.host: share.free for share in inputs.others if share.wanted == 0
    }
    free_by_host[inputs.own.host] = inputs.spare
    ranked = sorted(free_by_host, key=lambda host: (-free_by_host[host], host))
    return {host: free_by_host[host] for host in ranked[:MAX_GIVERS]}


def _rebalanced(inputs: CeilingInputs) -> int:
    if not inputs.may_rebalance or inputs.waiting:
        return 0
    if any(share.wanted for share in inputs.others):
        return 0
    fair = fair_part(inputs)
    free = inputs.own.free
    if abs(fair - free) < MIN_MOVE_SHARE * inputs.paid:
        return 0
    if free > fair * EXCESS_FACTOR:
        return fair - free
    if free < fair * DEFICIT_FACTOR:
        return min(inputs.pool, fair - free)
    return 0


def _fair_return(inputs: CeilingInputs) -> int:
    free = inputs.own.free + _free(inputs.others)
    if free <= 0:
        return 0
    return -(inputs.pool * inputs.own.free // free)


def _pooled_share(inputs: CeilingInputs) -> float:
    """Return the share kept unclaimed, for requests larger than one part.

    Among a few hosts each part covers such a request; among many none does.
    """
    hosts = inputs.hosts
    return POOLED_SHARE * max(0, 1 - FEW_HOSTS / hosts)


def _weight(inputs: CeilingInputs) -> float:
    rates = [share.rate for share in inputs.others]
    hosts = inputs.hosts
    total = sum(rates) + inputs.own.rate
    if total <= IDLE_RATE:
        return 1 / hosts
    by_use = inputs.own.rate / total
    return FLOOR_SHARE / hosts + (1 - FLOOR_SHARE) * by_use


def _free(shares: tuple[Share, ...]) -> int:
    return sum(share.free for share in shares)
