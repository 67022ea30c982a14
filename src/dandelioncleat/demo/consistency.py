"""Compares the answers to callers with the runs at the stand-ins."""

from collections.abc import Iterator
from typing import NamedTuple

from dandelioncleat.core.identity import RequestKey
from dandelioncleat.demo.caller import ANSWERED, INTERRUPTED, NOT_RUN, Answer
from dandelioncleat.demo.deployment import BUDGET_BY_ORGANISATION
from dandelioncleat.demo.totals import (
    Consumption,
    LedgerTotals,
    OrganisationSummary,
    StandinTargets,
    consumption_of,
    max_running_tokens,
)

LOG_CODE = 'log'


class Refusal(NamedTuple):
    """A refused request, and what was left of its budget at that moment.

    ``remaining_tokens`` assumes that running requests use their maximum.
    """

    answer: Answer
    remaining_tokens: int

    @property
    def is_false(self) -> bool:
        """Whether the budget covered the request and the log was available."""
        if self.answer.code == LOG_CODE:
            return False
        return self.remaining_tokens >= self.answer.request.max_total_tokens


class ConsistencyChecker:
    """Records answers and compares them with the runs at the stand-ins."""

    def __init__(self, targets: StandinTargets) -> None:
        """Take the stand-ins of all targets."""
        self.answers: list[Answer] = []
        self.refusals: list[Refusal] = []
        self._targets = targets

    def record_answer(self, answer: Answer) -> None:
        """Record an answer and, if refused, the remaining budget."""
        self.answers.append(answer)
        if answer.outcome == NOT_RUN:
            remaining_tokens = self.remaining_tokens(
                answer.request.organisation
            )
            self.refusals.append(Refusal(answer, remaining_tokens))

    def remaining_tokens(self, organisation: str) -> int:
        """Return the budget left if running requests use their maximum."""
        spent = sum(
            consumed.tokens
            for key, consumed in consumption_of(self._targets).items()
            if key.organisation == organisation
        )
        running = max_running_tokens(self._targets, organisation)
        return BUDGET_BY_ORGANISATION[organisation] - spent - running

    def count_runs(self, key: str) -> int:
        """Count the runs of a request at all targets."""
        return sum(
            consumed.runs
            for request, consumed in consumption_of(self._targets).items()
            if request.key == key
        )

    def wrong_answers(self) -> list[Answer]:
        """Return answers that are incomplete or belong to another request."""
        return [
            answer
            for answer in self.answers
            if answer.outcome == ANSWERED and not answer.is_complete
        ]

    def unanswered(self) -> list[Answer]:
        """Return the answers that ended without an outcome."""
        return [
            answer for answer in self.answers if answer.outcome == INTERRUPTED
        ]

    def refusals_that_ran(self) -> list[Answer]:
        """Return the not-run refusals of requests that did run.

        A request that another attempt answered is expected to have run.
        """
        answered = {
            _request_key(answer)
            for answer in self.answers
            if answer.outcome != NOT_RUN
        }
        consumed = consumption_of(self._targets)
        return [
            refusal.answer
            for refusal in self.refusals
            if _request_key(refusal.answer) in consumed
            and _request_key(refusal.answer) not in answered
        ]

    def misbilled(self, ledger: LedgerTotals) -> list[RequestKey]:
        """Return requests that ran once and whose bill is wrong or missing."""
        return [
            key
            for key, consumed in consumption_of(self._targets).items()
            if consumed.runs == 1
            and ledger.bills_by_request.get(key) != consumed.tokens
        ]

    def summaries(
        self,
        ledger: LedgerTotals,
    ) -> Iterator[OrganisationSummary]:
        """Yield the summary of each organisation."""
        consumed = consumption_of(self._targets)
        for organisation, budget in BUDGET_BY_ORGANISATION.items():
            own = [
                each
                for key, each in consumed.items()
                if key.organisation == organisation
            ]
            spent = sum(each.tokens for each in own)
            yield OrganisationSummary(
                organisation,
                budget,
                granted=ledger.granted_by_organisation[organisation],
                spent=spent,
                left=max(0, budget - spent),
                stranded=ledger.held_by_organisation[organisation],
                overspend=max(0, spent - budget),
                false_refusals=self._false_refusals(organisation),
                double_runs=_double_runs(own),
            )

    def _false_refusals(self, organisation: str) -> int:
        return sum(
            refusal.is_false
            for refusal in self.refusals
            if refusal.answer.request.organisation == organisation
        )


def _request_key(answer: Answer) -> RequestKey:
    return RequestKey(answer.request.organisation, answer.request.key)


def _double_runs(consumed: list[Consumption]) -> int:
    return sum(
        each.runs - 1
        for each in consumed
        if each.runs > 1 and not each.idempotent
    )
