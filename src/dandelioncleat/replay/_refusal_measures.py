"""Measures of refusals."""

from dandelioncleat.core.failure import Code
from dandelioncleat.core.request import RequestOutcome
from dandelioncleat.replay.facts import Facts, Receipt

TRUE_REFUSALS = frozenset(
    (
        Code.CONFLICT,
        Code.CREDENTIAL,
        Code.INVALID,
        Code.POISON,
        Code.TOO_LARGE,
    )
)


def _refusals(facts: Facts) -> list[Receipt]:
    return [
        receipt
        for receipt in facts.receipts
        if receipt.outcome == RequestOutcome.NOT_RUN
    ]


def _code(receipt: Receipt) -> Code | None:
    if receipt.end is None or receipt.end.failure is None:
        return None
    return receipt.end.failure.code


def _for_safety(receipt: Receipt) -> bool:
    return (
        not receipt.request.idempotent
        and not receipt.circumstances.log_in_reach
        and _code(receipt) != Code.BUDGET
    )


def _is_false(receipt: Receipt) -> bool:
    held = receipt.circumstances
    return (
        _code(receipt) not in TRUE_REFUSALS
        and not _for_safety(receipt)
        and held.free_slot
        and held.balance >= receipt.worst_case
    )


def false_refusals(facts: Facts) -> float:
    """Count refusals with budget and a free slot at hand."""
    return sum(_is_false(receipt) for receipt in _refusals(facts))


def false_refusal_share(facts: Facts) -> float:
    """Return the false refusals as a share of all requests."""
    return false_refusals(facts) / max(1, len(facts.receipts))


def refused_for_safety(facts: Facts) -> float:
    """Count non-idempotent calls that were refused for want of the log."""
    return sum(_for_safety(receipt) for receipt in _refusals(facts))


def untrue_not_run(facts: Facts) -> float:
    """Count requests that ran although their caller was told otherwise."""
    return sum(_ran_all_the_same(one, facts) for one in _refusals(facts))


def _ran_all_the_same(receipt: Receipt, facts: Facts) -> bool:
    attempts = [other for other in facts.receipts if other.key == receipt.key]
    later = min(
        (one.sent_at for one in attempts if one.sent_at > receipt.sent_at),
        default=facts.ended_at,
    )
    earlier_end = max(
        (one.ended_at for one in attempts if one.sent_at < receipt.sent_at),
        default=receipt.sent_at,
    )
    start = max(receipt.sent_at, earlier_end)
    return any(
        run.key == receipt.key and start <= run.started_at < later
        for run in facts.runs
    )
