"""Compares what callers were told with what the stand-ins really ran."""

from collections.abc import Iterator
from typing import NamedTuple

from dandelioncleat.core.identity import RequestKey
from dandelioncleat.demo.account import (
    Consumption,
    LedgerAccount,
    OrganisationAccount,
    Targets,
    consumption_of,
    running_bound,
)
from dandelioncleat.demo.caller import ANSWERED, CUT, NOT_RUN, Answer
from dandelioncleat.demo.cast import BUDGET_BY_ORGANISATION

LOG_CODE = 'log'


class Refusal(NamedTuple):
    """A refused request, and what was left of its budget at that moment.

    ``left`` counts what still runs at its most.
    """

    answer: Answer
    left: int

    @property
    def is_false(self) -> bool:
        """Whether budget was at hand; only a log's outage excuses it."""
        if self.answer.code == LOG_CODE:
            return False
        return self.left >= self.answer.question.worst_case


class Witness:
    """Keeps every answer and judges them against the stand-ins."""

    def __init__(self, targets: Targets) -> None:
        """Take the stand-ins of all targets."""
        self.answers: list[Answer] = []
        self.refusals: list[Refusal] = []
        self._targets = targets

    def note(self, answer: Answer) -> None:
        """Keep an answer."""
        self.answers.append(answer)
        if answer.outcome == NOT_RUN:
            left = self.left(answer.question.organisation)
            self.refusals.append(Refusal(answer, left))

    def left(self, organisation: str) -> int:
        """Return what is left of a budget if what runs takes its most."""
        spent = sum(
            consumed.tokens
            for key, consumed in consumption_of(self._targets).items()
            if key.organisation == organisation
        )
        running = running_bound(self._targets, organisation)
        return BUDGET_BY_ORGANISATION[organisation] - spent - running

    def runs_of(self, key: str) -> int:
        """Count the runs of a request at all targets."""
        return sum(
            consumed.runs
            for request, consumed in consumption_of(self._targets).items()
            if request.key == key
        )

    def wrong_answers(self) -> list[Answer]:
        """Return the answers that are not their question's own and whole."""
        return [
            answer
            for answer in self.answers
            if answer.outcome == ANSWERED and not answer.is_whole
        ]

    def unanswered(self) -> list[Answer]:
        """Return the answers that end without any outcome."""
        return [answer for answer in self.answers if answer.outcome == CUT]

    def untrue_refusals(self) -> list[Answer]:
        """Return refusals that say not-run of requests that ran.

        A request that was answered at another attempt has run, rightly.
        """
        answered = {
            _key_of(answer)
            for answer in self.answers
            if answer.outcome != NOT_RUN
        }
        consumed = consumption_of(self._targets)
        return [
            refusal.answer
            for refusal in self.refusals
            if _key_of(refusal.answer) in consumed
            and _key_of(refusal.answer) not in answered
        ]

    def misbilled(self, ledger: LedgerAccount) -> list[RequestKey]:
        """Return requests that ran once and have another bill, or none."""
        return [
            key
            for key, consumed in consumption_of(self._targets).items()
            if consumed.runs == 1
            and ledger.bills_by_request.get(key) != consumed.tokens
        ]

    def accounts(
        self,
        ledger: LedgerAccount,
    ) -> Iterator[OrganisationAccount]:
        """Yield the closing table's line of each organisation."""
        consumed = consumption_of(self._targets)
        for organisation, budget in BUDGET_BY_ORGANISATION.items():
            own = [
                each
                for key, each in consumed.items()
                if key.organisation == organisation
            ]
            spent = sum(each.tokens for each in own)
            yield OrganisationAccount(
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
            if refusal.answer.question.organisation == organisation
        )


def _key_of(answer: Answer) -> RequestKey:
    return RequestKey(answer.question.organisation, answer.question.key)


def _double_runs(consumed: list[Consumption]) -> int:
    return sum(
        each.runs - 1
        for each in consumed
        if each.runs > 1 and not each.repeatable
    )
