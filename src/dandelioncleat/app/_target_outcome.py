"""How a call to the target ended, and which tokens are billed for it."""

from typing import NamedTuple

from dandelioncleat.core.configuration import Service, ServiceKind
from dandelioncleat.core.dispatch_check import drawn_tokens
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import Dispatch
from dandelioncleat.core.record import Bill
from dandelioncleat.core.run import Ending, Run
from dandelioncleat.ports.target import Ended, TargetCall

COMPLETE_REASONS = ('stop', 'length')
ERROR_REASON = 'error'
ERROR_STATUS = 400
CONNECT_STEP = 'connect'


class Completed(NamedTuple):
    """The target ended the answer itself."""

    ended: Ended


class Interrupted(NamedTuple):
    """The answer was interrupted by a failure."""

    failure: Failure


class Abandoned(NamedTuple):
    """The call was abandoned because the target did not stop it in time."""


TargetOutcome = Completed | Interrupted | Abandoned


def target_call(dispatch: Dispatch, fence: int) -> TargetCall:
    """Return the call to the target for a dispatched run."""
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


def cannot_have_run(failure: Failure) -> bool:
    """Return whether a failed call cannot have run at the target."""
    return failure.code == Code.FENCED or failure.step == CONNECT_STEP


def is_complete(ended: Ended) -> bool:
    """Return whether an answer is complete, which an error answer is, too."""
    return ended.reason in COMPLETE_REASONS or ended.status >= ERROR_STATUS


def reported_ending(
    run: Run, ended: Ended, service: Service, reason: str
) -> Ending:
    """Return the end of a run with the target's token counts."""
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


def estimated_ending(
    run: Run,
    service: Service,
    *,
    prompt_tokens: int,
    reason: str,
) -> Ending:
    """Return the end of a run with the token counts of this process."""
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
