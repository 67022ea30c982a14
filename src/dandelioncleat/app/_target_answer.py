"""How a call of the target ended, and what of it is billed."""

from typing import NamedTuple

from dandelioncleat.core.configuration import Service, ServiceKind
from dandelioncleat.core.dispatch_check import drawn_tokens
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import Dispatch
from dandelioncleat.core.record import Bill
from dandelioncleat.core.run import Ending, Run
from dandelioncleat.ports.target import Ended, TargetCall

WHOLE_REASONS = ('stop', 'length')
ERROR_REASON = 'error'
ERROR_STATUS = 400
CONNECT_STEP = 'connect'


class Whole(NamedTuple):
    """The target ended the answer by itself."""

    ended: Ended


class Broken(NamedTuple):
    """The answer broke off."""

    failure: Failure


class Halted(NamedTuple):
    """The call was given up because the target did not stop it."""


TargetAnswer = Whole | Broken | Halted


def target_call(dispatch: Dispatch, fence: int) -> TargetCall:
    """Return the call of the target that an order asks for."""
    return TargetCall(
        run=dispatch.run,
        method=dispatch.method,
        path=dispatch.path,
        content_type=dispatch.content_type,
        body=dispatch.body,
        cap=dispatch.cap,
        priority=dispatch.priority,
        fence=fence,
    )


def never_reached(failure: Failure) -> bool:
    """Return whether a failed call cannot have run at the target."""
    return failure.code == Code.FENCED or failure.step == CONNECT_STEP


def is_whole(ended: Ended) -> bool:
    """Return whether an answer has its own end, be it an error status."""
    return ended.reason in WHOLE_REASONS or ended.status >= ERROR_STATUS


def ending_of(run: Run, ended: Ended, service: Service, reason: str) -> Ending:
    """Return the end of a run whose tokens the target counted."""
    if service.kind is ServiceKind.PLAIN:
        tokens = run.dispatch.prompt_bound
    else:
        tokens = ended.prompt_tokens + ended.output_tokens
    return Ending(
        status=ended.status,
        content_type=ended.content_type,
        prompt_tokens=ended.prompt_tokens,
        output_tokens=ended.output_tokens,
        tokens=min(tokens, drawn_tokens(run.dispatch)),
        reason=reason,
    )


def broken_ending(
    run: Run,
    service: Service,
    *,
    prompt_tokens: int,
    reason: str,
) -> Ending:
    """Return the end of a run whose tokens only this process counted."""
    output_tokens = run.answer.tokens
    tokens = prompt_tokens + output_tokens
    if service.kind is ServiceKind.PLAIN:
        tokens = run.dispatch.prompt_bound
    return Ending(
        status=0,
        content_type='',
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        tokens=min(tokens, drawn_tokens(run.dispatch)),
        reason=reason,
    )


def bill_of(run: Run, source: Incarnation) -> Bill | None:
    """Return the bill of a run that has ended, if it consumed tokens."""
    ending = run.ending
    if ending is None or ending.tokens <= 0:
        return None
    dispatch = run.dispatch
    return Bill(
        budget=dispatch.budget,
        run=run.id,
        draws=dispatch.draws,
        tokens=ending.tokens,
        source=source,
    )
