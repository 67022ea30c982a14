"""Measures of answers and their latency."""

import statistics

from dandelioncleat.core.request import RequestOutcome
from dandelioncleat.replay.facts import Facts

MS_PER_S = 1000
PERCENTILE = 95


def wrong_answers(facts: Facts) -> float:
    """Count answers reported as complete that differ from the target's."""
    return sum(
        answer.outcome == RequestOutcome.ANSWERED
        and answer.data != answer.expected
        for answer in facts.answers
    )


def cut_in_planned_stop(facts: Facts) -> float:
    """Count requests in progress at a planned stop that were not answered."""
    return sum(
        answer.during_planned_stop and answer.outcome != RequestOutcome.ANSWERED
        for answer in facts.answers
    )


def work_after_leave_s(facts: Facts) -> float:
    """Return how long after a target began to leave a run last started."""
    delays = (
        run.started_at - facts.leaving_since_by_target[run.target]
        for run in facts.runs
        if run.target in facts.leaving_since_by_target
    )
    return max(0, max(delays, default=0))


def unknown_outcomes(facts: Facts) -> float:
    """Count the answers with an unknown outcome."""
    outcomes = [answer.outcome for answer in facts.answers]
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
            answer.first_token_at - answer.sent_at
            for answer in facts.answers
            if answer.first_token_at >= 0 and answer.request.max_tokens
        ]
    )


def token_gap_p95_ms(facts: Facts) -> float:
    """Return the 95th percentile of the time between tokens."""
    gaps = [gap_s for answer in facts.answers for gap_s in answer.gaps_s]
    return _percentile(gaps) * MS_PER_S


def goodput_share(facts: Facts) -> float:
    """Return the share of requests answered within their deadline."""
    keys = {answer.key for answer in facts.answers}
    answered_in_time = {
        answer.key
        for answer in facts.answers
        if answer.outcome == RequestOutcome.ANSWERED
        and answer.ended_at - answer.sent_at <= answer.request.deadline_s
    }
    return len(answered_in_time) / max(1, len(keys))
