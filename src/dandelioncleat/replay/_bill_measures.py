"""Measures of budgets and bills."""

from collections import Counter

from dandelioncleat.core.identity import RequestKey
from dandelioncleat.replay.facts import Charge, Facts, TargetRun

NO_CHARGE = Charge()


def overspend_tokens(facts: Facts) -> float:
    """Sum each organisation's largest excess of spending over top-ups."""
    changes: list[tuple[float, int, str, int]] = [
        (top_up.at, 0, top_up.organisation, top_up.tokens)
        for top_up in facts.top_ups
    ]
    changes.extend(
        (_end_of(run, facts), 1, run.key.organisation, -run.tokens)
        for run in facts.runs
    )
    balances: Counter[str] = Counter()
    lowest_balances: Counter[str] = Counter()
    for _, _, organisation, tokens in sorted(changes):
        balances[organisation] += tokens
        balance = balances[organisation]
        lowest_balances[organisation] = min(
            lowest_balances[organisation], balance
        )
    return -sum(lowest_balances.values())


def _end_of(run: TargetRun, facts: Facts) -> float:
    return facts.ended_at if run.ended_at < 0 else run.ended_at


def _consumed_tokens_by_key(facts: Facts) -> Counter[RequestKey]:
    consumed: Counter[RequestKey] = Counter()
    for run in facts.runs:
        consumed[run.key] += run.tokens
    return consumed


def _lost_sidecar(run: TargetRun, facts: Facts) -> bool:
    return any(
        run.target == lost.name
        and run.started_at <= lost.start
        and (run.ended_at < 0 or run.ended_at + 1 >= lost.start)
        for lost in facts.lost_sidecars
    )


def _lost_tokens_by_key(facts: Facts) -> Counter[RequestKey]:
    """Sum the tokens of runs whose sidecar crashed during the run."""
    lost: Counter[RequestKey] = Counter()
    for run in facts.runs:
        if run.tokens and _lost_sidecar(run, facts):
            lost[run.key] += run.tokens
    return lost


def _unreconciled_keys(facts: Facts) -> set[RequestKey]:
    consumed = _consumed_tokens_by_key(facts)
    return {
        key
        for key, lost in _lost_tokens_by_key(facts).items()
        if _charged_tokens(facts, key) == consumed[key] - lost
    }


def _charged_tokens(facts: Facts, key: RequestKey) -> int:
    charge = facts.charges_by_key.get(key, NO_CHARGE)
    return charge.billed_tokens + charge.wasted_tokens


def unreconciled_requests(facts: Facts) -> float:
    """Count requests with an unbilled run whose sidecar crashed."""
    return len(_unreconciled_keys(facts))


def unbilled_requests(facts: Facts) -> float:
    """Count requests that consumed tokens and have no bill."""
    unreconciled = _unreconciled_keys(facts)
    return sum(
        1
        for key, tokens in _consumed_tokens_by_key(facts).items()
        if tokens
        and key not in unreconciled
        and facts.charges_by_key.get(key, NO_CHARGE).bills == 0
    )


def double_bills(facts: Facts) -> float:
    """Count bills of a request after its first."""
    charges = facts.charges_by_key.values()
    return sum(max(0, charge.bills - 1) for charge in charges)


def bill_error_tokens(facts: Facts) -> float:
    """Sum the differences between charged and consumed tokens."""
    consumed = _consumed_tokens_by_key(facts)
    unreconciled = _unreconciled_keys(facts)
    errors = 0
    for key in facts.charges_by_key:
        if key not in unreconciled:
            errors += abs(_charged_tokens(facts, key) - consumed[key])
    return errors


def stranded_tokens(facts: Facts) -> float:
    """Return the tokens in grants whose holder no longer runs."""
    return facts.stranded_tokens


def double_runs(facts: Facts) -> float:
    """Count runs of non-idempotent requests after their first."""
    counts = Counter(run.key for run in facts.runs if not run.idempotent)
    return sum(count - 1 for count in counts.values())
