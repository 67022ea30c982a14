"""Measures of answers and of their times."""

import statistics

from dandelioncleat.core.request import RequestOutcome
from dandelioncleat.replay.facts import Facts

MS_PER_S = 1000
PERCENTILE = 95


def wrong_answers(facts: Facts) -> float:
    """Count answers called whole that differ from what the target gave."""
    return sum(
        receipt.outcome == RequestOutcome.ANSWERED
        and receipt.data != receipt.expected
        for receipt in facts.receipts
    )


def cut_in_planned_stop(facts: Facts) -> float:
    """Count requests in progress at a planned stop that were not answered."""
    return sum(
        receipt.during_planned_stop
        and receipt.outcome != RequestOutcome.ANSWERED
        for receipt in facts.receipts
    )


def work_after_leave_s(facts: Facts) -> float:
    """Return the latest start of a run at a leaving target, in seconds."""
    delays = (
        run.started_at - facts.leaves_by_target[run.target]
        for run in facts.runs
        if run.target in facts.leaves_by_target
    )
    return max(0, max(delays, default=0))


def unknown_outcomes(facts: Facts) -> float:
    """Count the answers that left the outcome open."""
    outcomes = [receipt.outcome for receipt in facts.receipts]
    return outcomes.count(RequestOutcome.UNKNOWN)


def _percentile(samples: list[float]) -> float:
    if len(samples) < 2:
        return max(samples, default=0)
    cuts = statistics.quantiles(samples, n=100, method='inclusive')
    return cuts[PERCENTILE - 1]


def ttft_p95_s(facts: Facts) -> float:
    """Return the 95th percentile of the time to the first token."""
    return _percentile(
        [
            receipt.first_token_at - receipt.sent_at
            for receipt in facts.receipts
            if receipt.first_token_at >= 0 and receipt.request.max_tokens
        ]
    )


def token_gap_p95_ms(facts: Facts) -> float:
    """Return the 95th percentile of the time between tokens."""
    gaps = [gap_s for receipt in facts.receipts for gap_s in receipt.gaps_s]
    return _percentile(gaps) * MS_PER_S


def goodput_share(facts: Facts) -> float:
    """Return the share of requests answered within their deadline."""
    keys = {receipt.key for receipt in facts.receipts}
    good = {
        receipt.key
        for receipt in facts.receipts
        if receipt.outcome == RequestOutcome.ANSWERED
        and receipt.ended_at - receipt.sent_at <= receipt.request.deadline_s
    }
    return len(good) / max(1, len(keys))
