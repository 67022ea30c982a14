"""The requests that the demonstration's organisations send."""

from itertools import count

from dandelioncleat.demo.caller import (
    DemoRequest,
    new_model_request,
    new_plain_request,
)
from dandelioncleat.demo.deployment import (
    ASSISTANT,
    BILLING,
    BILLING_PRICE_TOKENS,
    COUPON_PRICE_TOKENS,
    COUPONS,
    DUES_MODEL,
)

_numbers = count(1)


def statement(organisation: str, tokens: int = 40) -> DemoRequest:
    """Return a request to draft a dues statement."""
    number = next(_numbers)
    return new_model_request(
        organisation,
        DUES_MODEL,
        f'statement-{number}',
        f'Draft the dues statement of call {number} for {organisation}.',
        tokens=tokens,
    )


def review(organisation: str) -> DemoRequest:
    """Return a request about a promotion."""
    number = next(_numbers)
    return new_model_request(
        organisation,
        ASSISTANT,
        f'review-{number}',
        f'Does the fine print of promotion {number} allow a refund?',
    )


def invoice(organisation: str) -> DemoRequest:
    """Return a post of an invoice, which may not run twice."""
    number = next(_numbers)
    return new_plain_request(
        organisation,
        BILLING,
        f'invoice-{number}',
        path='invoices',
        price=BILLING_PRICE_TOKENS,
        document={'call': number, 'tonnage': 12000 + number},
    )


def redemption(organisation: str) -> DemoRequest:
    """Return a redemption of a coupon, which may not run twice."""
    number = next(_numbers)
    return new_plain_request(
        organisation,
        COUPONS,
        f'redemption-{number}',
        path='redemptions',
        price=COUPON_PRICE_TOKENS,
        document={'coupon': f'c-{number}'},
    )


def look_up(organisation: str, service: str, price: int) -> DemoRequest:
    """Return a look-up of a status."""
    number = next(_numbers)
    return new_plain_request(
        organisation,
        service,
        f'look-up-{number}',
        path=f'status/{number}',
        price=price,
    )
