"""Measures of refusals."""

from dandelioncleat.core.failure import Code
from dandelioncleat.core.request import RequestOutcome
from dandelioncleat.replay.facts import Facts, ReceivedAnswer

JUSTIFIED_CODES = frozenset(
    (
        Code.CONFLICT,
        Code.CREDENTIAL,
        Code.INVALID,
        Code.POISON,
        Code.TOO_LARGE,
    )
)


def _refusals(facts: Facts) -> list[ReceivedAnswer]:
    return [
        answer
        for answer in facts.answers
        if answer.outcome == RequestOutcome.NOT_RUN
    ]


def _code(answer: ReceivedAnswer) -> Code | None:
    if answer.end is None or answer.end.failure is None:
        return None
    return answer.end.failure.code


def _is_for_safety(answer: ReceivedAnswer) -> bool:
    return (
        not answer.request.idempotent
        and not answer.conditions.is_log_reachable
        and _code(answer) != Code.BUDGET
    )


def _is_false_refusal(answer: ReceivedAnswer) -> bool:
    conditions = answer.conditions
    return (
        _code(answer) not in JUSTIFIED_CODES
        and not _is_for_safety(answer)
        and conditions.has_free_slot
        and conditions.balance >= answer.max_total_tokens
    )


def false_refusals(facts: Facts) -> float:
    """Count unjustified refusals, made despite budget and a free slot."""
    return sum(_is_false_refusal(answer) for answer in _refusals(facts))


def false_refusal_share(facts: Facts) -> float:
    """Return the false refusals as a share of all requests."""
    return false_refusals(facts) / max(1, len(facts.answers))


def refused_for_safety(facts: Facts) -> float:
    """Count non-idempotent calls refused because the log was unreachable."""
    return sum(_is_for_safety(answer) for answer in _refusals(facts))


def untrue_not_run(facts: Facts) -> float:
    """Count requests that ran although their caller was told not-run."""
    return sum(
        _ran_despite_refusal(answer, facts) for answer in _refusals(facts)
    )


def _ran_despite_refusal(refusal: ReceivedAnswer, facts: Facts) -> bool:
    attempts = [other for other in facts.answers if other.key == refusal.key]
    later = min(
        (each.sent_at for each in attempts if each.sent_at > refusal.sent_at),
        default=facts.ended_at,
    )
    earlier_end = max(
        (each.ended_at for each in attempts if each.sent_at < refusal.sent_at),
        default=refusal.sent_at,
    )
    start = max(refusal.sent_at, earlier_end)
    return any(
        run.key == refusal.key and start <= run.started_at < later
        for run in facts.runs
    )
