"""The measures for which a trace may state an expected outcome."""

from enum import StrEnum


class Measure(StrEnum):
    """Names a measure; ``docs/TRACES.md`` defines each."""

    OVERSPEND_TOKENS = 'overspend_tokens'
    FALSE_REFUSALS = 'false_refusals'
    FALSE_REFUSAL_SHARE = 'false_refusal_share'
    DOUBLE_RUNS = 'double_runs'
    DOUBLE_BILLS = 'double_bills'
    UNBILLED_REQUESTS = 'unbilled_requests'
    UNRECONCILED_REQUESTS = 'unreconciled_requests'
    REFUSED_FOR_SAFETY = 'refused_for_safety'
    BILL_ERROR_TOKENS = 'bill_error_tokens'
    WRONG_ANSWERS = 'wrong_answers'
    UNTRUE_NOT_RUN = 'untrue_not_run'
    CUT_IN_PLANNED_STOP = 'cut_in_planned_stop'
    WORK_AFTER_LEAVE_S = 'work_after_leave_s'
    CONFIG_CONVERGENCE_S = 'config_convergence_s'
    CONFIG_REVERTS = 'config_reverts'
    PATCHES_ACCEPTED = 'patches_accepted'
    UNKNOWN_OUTCOMES = 'unknown_outcomes'
    STRANDED_TOKENS = 'stranded_tokens'
    TTFT_P95_S = 'ttft_p95_s'
    TOKEN_GAP_P95_MS = 'token_gap_p95_ms'
    GOODPUT_SHARE = 'goodput_share'


MEASURES = frozenset(Measure)
