"""The questions that the demonstration's organisations ask."""

from itertools import count

from dandelioncleat.demo.caller import (
    Question,
    model_question,
    plain_question,
)
from dandelioncleat.demo.cast import (
    ASSISTANT,
    BILLING,
    BILLING_PRICE_TOKENS,
    COUPON_PRICE_TOKENS,
    COUPONS,
    DUES_MODEL,
)

_numbers = count(1)


def statement(organisation: str, tokens: int = 40) -> Question:
    """Return a request to draft a dues statement."""
    number = next(_numbers)
    return model_question(
        organisation,
        DUES_MODEL,
        f'statement-{number}',
        f'Draft the dues statement of call {number} for {organisation}.',
        tokens=tokens,
    )


def review(organisation: str) -> Question:
    """Return a question on a promotion."""
    number = next(_numbers)
    return model_question(
        organisation,
        ASSISTANT,
        f'review-{number}',
        f'Does the fine print of promotion {number} allow a refund?',
    )


def invoice(organisation: str) -> Question:
    """Return a post of an invoice, which may not run twice."""
    number = next(_numbers)
    return plain_question(
        organisation,
        BILLING,
        f'invoice-{number}',
        path='invoices',
        price=BILLING_PRICE_TOKENS,
        document={'call': number, 'tonnage': 12000 + number},
    )


def redemption(organisation: str) -> Question:
    """Return a redemption of a coupon, which may not run twice."""
    number = next(_numbers)
    return plain_question(
        organisation,
        COUPONS,
        f'redemption-{number}',
        path='redemptions',
        price=COUPON_PRICE_TOKENS,
        document={'coupon': f'c-{number}'},
    )


def look_up(organisation: str, service: str, price: int) -> Question:
    """Return a look-up of a status."""
    number = next(_numbers)
    return plain_question(
        organisation,
        service,
        f'look-up-{number}',
        path=f'status/{number}',
        price=price,
    )
