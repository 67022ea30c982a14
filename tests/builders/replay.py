"""Builders of replay facts for tests of the measures."""

from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.identity import RequestKey
from dandelioncleat.core.request import AnswerEnd, RequestOutcome
from dandelioncleat.replay.facts import (
    Charge,
    Facts,
    FleetConditions,
    ReceivedAnswer,
    TargetRun,
    TopUpFact,
    VersionFact,
)
from dandelioncleat.replay.trace import Request

KEY = RequestKey('agents', 'k1')
NOTHING_SCARCE = FleetConditions(
    balance=1000, has_free_slot=True, is_log_reachable=True
)


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


def answer(
    *,
    end: AnswerEnd | None = None,
    ended_at: float = 2,
    first_token_at: float = 1.5,
    gaps_s: tuple[float, ...] = (0.01, 0.01),
    data: bytes = b'whole',
    conditions: FleetConditions = NOTHING_SCARCE,
    idempotent: bool = True,
    during_planned_stop: bool = False,
) -> ReceivedAnswer:
    return ReceivedAnswer(
        request=request(idempotent=idempotent),
        sent_at=1,
        ended_at=ended_at,
        first_token_at=first_token_at,
        gaps_s=gaps_s,
        data=data,
        expected=b'whole',
        max_total_tokens=50,
        end=end or answer_end(),
        conditions=conditions,
        during_planned_stop=during_planned_stop,
    )


def refusal(
    code: Code = Code.BUDGET,
    *,
    conditions: FleetConditions = NOTHING_SCARCE,
    idempotent: bool = True,
) -> ReceivedAnswer:
    return answer(
        end=answer_end(RequestOutcome.NOT_RUN, code=code),
        data=b'',
        gaps_s=(),
        first_token_at=-1,
        conditions=conditions,
        idempotent=idempotent,
    )


def target_run(
    *,
    idempotent: bool = True,
    tokens: int = 50,
    started_at: float = 1.2,
) -> TargetRun:
    return TargetRun(KEY, 't1', idempotent, started_at, 2, tokens, 50)


def facts(**changes: object) -> Facts:
    """Return the facts of a replay with one answered request."""
    plain = Facts(
        answers=(answer(),),
        runs=(target_run(),),
        charges_by_key={KEY: Charge(1, 50)},
        top_ups=(TopUpFact(0, KEY.organisation, 100),),
        versions=(VersionFact(0, 'r1', 1), VersionFact(5, 'r1', 2)),
        accepted_at_by_version={2: 4},
        absences=(),
        leaving_since_by_target={},
        lost_sidecars=(),
        stranded_tokens=0,
        ended_at=100,
    )
    return plain._replace(**changes)
