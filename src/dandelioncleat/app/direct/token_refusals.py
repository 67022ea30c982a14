"""What requests need of prepaid budgets, and refusals of those that lack it."""

from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.app.direct.wallet import ReservationOutcome, Wallet
from dandelioncleat.core.direct_request import DirectRefusal, RefusalReason
from dandelioncleat.core.host_holdings import TokenNeed

TOKENS_RETRY_S = 0.3
# Only a top-up, or open requests that use less than they reserve, add to what
# is left.
UNPROVEN_RETRY_S = 10.0


def need_of(context: RunContext, wallet: Wallet) -> TokenNeed | None:
    """Return the tokens that a request needs, ``None`` if it is not prepaid."""
    prompt = context.request.prompt
    organisation = context.admitted.organisation
    if prompt is None or organisation is None:
        return None
    if not wallet.is_prepaid(organisation.name):
        return None
    return TokenNeed(
        context.request.id, organisation.name, prompt.max_total_tokens
    )


def budget_refusal(reservation: ReservationOutcome) -> DirectRefusal | None:
    """Return the refusal of what no host can serve, ``None`` if one may."""
    match reservation:
        case ReservationOutcome.EXHAUSTED:
            return DirectRefusal(RefusalReason.PREPAID_SPENT)
        case ReservationOutcome.UNPROVEN:
            return DirectRefusal(RefusalReason.BALANCE_UNPROVEN)
        case _:
            return None


def tokens_retry_s(
    need: TokenNeed, refusal: DirectRefusal, wallet: Wallet
) -> float | None:
    """Return when a request without tokens may come back, in seconds."""
    match refusal.reason:
        case RefusalReason.PREPAID_SPENT:
            return None
        case RefusalReason.CONFIGURATION_UNCONFIRMED:
            return refusal.retry_after_s
        case RefusalReason.BALANCE_UNPROVEN:
            return UNPROVEN_RETRY_S
        case _:
            return max(TOKENS_RETRY_S, wallet.room_in_s(need) or 0)
