"""Policies for grants: when to request, how much, and what to return."""

from typing import NamedTuple

from msgspec import Struct

from dandelioncleat.core.configuration import BudgetPreference, Policy

REFUSALS_SHARE_FACTOR = 1.6
MAX_SHARE = 0.9
RENEW_SHARE = 0.8
HOLD_MARGIN = 1.5
MIN_RENEWED_S = 60.0
SURPLUS_FACTOR = 2.0
IDLE_RETURN_S = 300.0
MIN_SURPLUS_SHARE = 0.25
TRANSFER_RESERVE_S = 2.0


class GrantInputs(NamedTuple):
    """What a router knows of a budget when it decides on grants.

    :param need: tokens that waiting requests lack
    :param spendable: tokens held and not reserved
    :param granted: tokens granted to this router so far
    :param rate: recent spending of this router, in tokens per second
    :param total_rate: recent bills of all routers, in tokens per second
    :param idle_s: seconds since a request last reserved tokens
    :param left: tokens that the ledger can still grant
    :param topped_up: all prepaid tokens
    :param routers: live routers
    """

    need: int
    spendable: int
    granted: int
    rate: float
    total_rate: float
    idle_s: float
    left: int
    topped_up: int
    routers: int


class Adaptive(Struct, frozen=True):
    """Sizes grants by the recent rate, within a share of what is left.

    :param tokens: size of the first grant, before a rate is known
    :param share: maximum share of what is left that all routers hold together
    :param hold_s: time for which the held tokens should last, in seconds
    """

    tokens: int
    share: float
    hold_s: float


class Fixed(Struct, frozen=True):
    """Requests a fixed number of tokens whenever a request needs some."""

    tokens: int


class StaticSplit(Struct, frozen=True):
    """Limits each router to an equal part of the top-ups."""


GrantPolicy = Adaptive | Fixed | StaticSplit

POLICY_NAMES = ('adaptive', 'fixed', 'static_split')


def new_grant_policy(policy: Policy) -> GrantPolicy:
    """Return the policy that the configuration selects."""
    match policy.grant_policy:
        case 'fixed':
            return Fixed(policy.grant_tokens)
        case 'static_split':
            return StaticSplit()
        case _:
            return Adaptive(
                policy.grant_tokens,
                _preferred_share(policy),
                policy.grant_hold_s,
            )


def grant_size(policy: GrantPolicy, inputs: GrantInputs) -> int:
    """Return the tokens to request: at least the need, or 0."""
    match policy:
        case Adaptive():
            target = _target(policy, inputs)
            return max(inputs.need, target - inputs.spendable)
        case Fixed():
            return max(inputs.need, policy.tokens)
        case StaticSplit():
            return _static_remainder(inputs)


def should_renew(policy: GrantPolicy, inputs: GrantInputs) -> bool:
    """Return whether to request tokens before any request waits."""
    match policy:
        case Adaptive():
            return _should_renew(policy, inputs)
        case Fixed() | StaticSplit():
            return False


def surplus_tokens(policy: GrantPolicy, inputs: GrantInputs) -> int:
    """Return the spendable tokens to return to the ledger."""
    match policy:
        case Adaptive():
            tokens = inputs.spendable - _retained_tokens(policy, inputs)
            is_worth_it = tokens > MIN_SURPLUS_SHARE * inputs.spendable
            return tokens if is_worth_it else 0
        case Fixed() | StaticSplit():
            return 0


def transferable_tokens(
    policy: GrantPolicy, inputs: GrantInputs, asked: int
) -> int:
    """Return the tokens to transfer to a peer that asked for some."""
    match policy:
        case Adaptive():
            retained = min(
                inputs.spendable // 2, int(inputs.rate * TRANSFER_RESERVE_S)
            )
            return max(0, min(asked, inputs.spendable - retained - inputs.need))
        case Fixed() | StaticSplit():
            return 0


def allows_transfers(policy: GrantPolicy) -> bool:
    """Return whether routers transfer tokens to peers that are short."""
    return isinstance(policy, Adaptive)


def _preferred_share(policy: Policy) -> float:
    match policy.preference:
        case BudgetPreference.REFUSALS:
            return min(MAX_SHARE, policy.grant_share * REFUSALS_SHARE_FACTOR)
        case BudgetPreference.LEDGER:
            return policy.grant_share


def _target(policy: Adaptive, inputs: GrantInputs) -> int:
    needed = HOLD_MARGIN * inputs.rate * policy.hold_s
    wanted = max(needed, policy.tokens)
    available = inputs.left + inputs.spendable
    bound = policy.share * available * _weight(inputs)
    return int(min(wanted, bound))


def _weight(inputs: GrantInputs) -> float:
    equal = 1 / max(inputs.routers, 1)
    if inputs.total_rate <= 0:
        return equal
    own = min(1, inputs.rate / inputs.total_rate)
    return (equal + own) / 2


def _should_renew(policy: Adaptive, inputs: GrantInputs) -> bool:
    target = _target(policy, inputs)
    # Near the end of a budget, early renewals delay routers that are short.
    is_near_end = target < MIN_RENEWED_S * inputs.rate
    return not is_near_end and inputs.spendable < RENEW_SHARE * target


def _retained_tokens(policy: Adaptive, inputs: GrantInputs) -> int:
    needed = HOLD_MARGIN * inputs.rate * policy.hold_s
    if inputs.idle_s < IDLE_RETURN_S:
        return int(SURPLUS_FACTOR * max(policy.tokens, needed))
    return int(needed)


def _static_remainder(inputs: GrantInputs) -> int:
    part = inputs.topped_up // max(inputs.routers, 1)
    return max(0, part - inputs.granted)
