"""Builders of the facts that the judge reads."""

from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.identity import RequestKey
from dandelioncleat.core.request import AnswerEnd, RequestOutcome
from dandelioncleat.replay.facts import (
    Charge,
    Circumstances,
    Facts,
    RanRun,
    Receipt,
    TopUpFact,
    VersionFact,
)
from dandelioncleat.replay.trace import Request

KEY = RequestKey('agents', 'k1')
PLENTY = Circumstances(balance=1000, free_slot=True, log_in_reach=True)


def request(*, idempotent: bool = True, deadline_s: float = 60) -> Request:
    return Request(
        at=1,
        key=KEY.key,
        organisation=KEY.organisation,
        service='dues-llm',
        router='r1',
        idempotent=idempotent,
        prompt_tokens=40,
        max_tokens=10,
        output_tokens=10,
        deadline_s=deadline_s,
    )


def answer_end(
    outcome: RequestOutcome = RequestOutcome.ANSWERED,
    *,
    code: Code | None = None,
) -> AnswerEnd:
    failure = None if code is None else Failure(code, 'step', 'peer', 'text')
    return AnswerEnd(outcome, KEY, 1, failure=failure)


def receipt(
    *,
    end: AnswerEnd | None = None,
    ended_at: float = 2,
    first_token_at: float = 1.5,
    gaps_s: tuple[float, ...] = (0.01, 0.01),
    data: bytes = b'whole',
    circumstances: Circumstances = PLENTY,
    idempotent: bool = True,
    during_planned_stop: bool = False,
) -> Receipt:
    return Receipt(
        request=request(idempotent=idempotent),
        sent_at=1,
        ended_at=ended_at,
        first_token_at=first_token_at,
        gaps_s=gaps_s,
        data=data,
        expected=b'whole',
        worst_case=50,
        end=end or answer_end(),
        circumstances=circumstances,
        during_planned_stop=during_planned_stop,
    )


def refusal(
    code: Code = Code.BUDGET,
    *,
    circumstances: Circumstances = PLENTY,
    idempotent: bool = True,
) -> Receipt:
    return receipt(
        end=answer_end(RequestOutcome.NOT_RUN, code=code),
        data=b'',
        gaps_s=(),
        first_token_at=-1,
        circumstances=circumstances,
        idempotent=idempotent,
    )


def ran(
    *,
    idempotent: bool = True,
    tokens: int = 50,
    started_at: float = 1.2,
) -> RanRun:
    return RanRun(KEY, 't1', idempotent, started_at, 2, tokens, 50)


def facts(**changes: object) -> Facts:
    """Return a replay in which one request went well."""
    plain = Facts(
        receipts=(receipt(),),
        runs=(ran(),),
        charges_by_key={KEY: Charge(1, 50)},
        top_ups=(TopUpFact(0, KEY.organisation, 100),),
        versions=(VersionFact(0, 'r1', 1), VersionFact(5, 'r1', 2)),
        accepted_at_by_version={2: 4},
        absences=(),
        leaves_by_target={},
        lost_sidecars=(),
        stranded_tokens=0,
        ended_at=100,
    )
    return plain._replace(**changes)
