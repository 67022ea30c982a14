"""Sends a request to one target and passes its answer on."""

import asyncio
from enum import StrEnum

import structlog

from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.core.direct_request import CompleteResponse
from dandelioncleat.core.failure import FailureError
from dandelioncleat.ports.direct_caller import Reply
from dandelioncleat.ports.direct_target import (
    CONNECT_STEP,
    DirectTargets,
    TargetAnswer,
    TargetRequest,
)

ERROR_STATUS = 500
# A model engine takes 0 to 9; the ranks of requests are spread over it.
URGENCY_STEP = 2
LAST_URGENCY = 9

_logger = structlog.get_logger(__name__)


class AttemptEnd(StrEnum):
    """How an attempt ended."""

    DELIVERED = 'delivered'
    NOT_SENT = 'not sent'
    NOT_RUN = 'not run'
    FAILED = 'failed'
    """The target ran it and answered with an error."""
    LOST = 'lost'
    """The target may have run it, and its answer is lost."""


async def attempt(
    context: RunContext,
    state: TargetState,
    *,
    targets: DirectTargets,
    reply: Reply,
) -> AttemptEnd:
    """Send a request to a target; raises ``TimeoutError`` at its end of time.

    :param reply: takes the answer if it is one to deliver
    """
    order = _order(context, state)
    state.begin(context.request)
    context.begin_attempt()
    is_answered = False
    try:
        async with asyncio.timeout_at(context.answer_by) as timer:
            async with targets.send(order) as answer:
                is_answered = True
                return await _take_answer(
                    context, state, answer, reply=reply, timer=timer
                )
    except FailureError as error:
        state.note_failure(asyncio.get_running_loop().time())
        return _note_failure(context, state, error, is_answered=is_answered)
    finally:
        state.end(context.request.id)


async def _take_answer(
    context: RunContext,
    state: TargetState,
    answer: TargetAnswer,
    *,
    reply: Reply,
    timer: asyncio.Timeout,
) -> AttemptEnd:
    now = asyncio.get_running_loop().time()
    if not answer.has_run:
        if answer.is_misdirected:
            # Another target has the address now.
            state.note_failure(now)
        state.note_refusal(answer.occupancy, now)
        context.note_not_run()
        _log_attempt(context, state, AttemptEnd.NOT_RUN, answer.head.status)
        return AttemptEnd.NOT_RUN
    context.tried.add(state.entry.id)
    if answer.head.status >= ERROR_STATUS:
        return await _take_error(context, state, answer)
    state.note_answer(answer.occupancy, now)
    if not answer.is_stream:
        body = await _whole_body(answer)
        context.has_output = True
        await reply.send_complete(CompleteResponse(answer.head, body))
        return AttemptEnd.DELIVERED
    timer.reschedule(context.deadline)
    await _pass_stream(context, state, answer, reply)
    return AttemptEnd.DELIVERED


async def _take_error(
    context: RunContext, state: TargetState, answer: TargetAnswer
) -> AttemptEnd:
    body = await _whole_body(answer)
    context.failed_answer = CompleteResponse(answer.head, body)
    state.note_error(asyncio.get_running_loop().time())
    _log_attempt(context, state, AttemptEnd.FAILED, answer.head.status)
    return AttemptEnd.FAILED


async def _whole_body(answer: TargetAnswer) -> bytes:
    return b''.join([data async for data in answer.chunks()])


async def _pass_stream(
    context: RunContext,
    state: TargetState,
    answer: TargetAnswer,
    reply: Reply,
) -> None:
    if not context.has_begun:
        context.has_begun = True
        await reply.begin(answer.head)
    events = context.events
    async for data in answer.chunks():
        whole = events.take(data)
        if whole:
            context.has_output = True
            state.note_first_token(context.request.id)
            await reply.write(whole)
    rest = events.finish()
    if rest:
        context.has_output = True
        await reply.write(rest)
    await reply.finish()


def _note_failure(
    context: RunContext,
    state: TargetState,
    error: FailureError,
    *,
    is_answered: bool,
) -> AttemptEnd:
    is_unsent = error.failure.step == CONNECT_STEP and not is_answered
    end = AttemptEnd.NOT_SENT if is_unsent else AttemptEnd.LOST
    if is_unsent:
        context.note_not_run()
    else:
        context.tried.add(state.entry.id)
        context.events.drop_partial()
    _log_attempt(context, state, end, error.failure.text)
    return end


def _order(context: RunContext, state: TargetState) -> TargetRequest:
    admitted = context.admitted
    organisation = admitted.organisation
    urgency = None
    if context.request.prompt is not None:
        rank = URGENCY_STEP * (admitted.priority + 1)
        urgency = min(LAST_URGENCY, rank)
    return TargetRequest(
        request=context.request,
        target=state.entry,
        organisation=None if organisation is None else organisation.name,
        remaining_s=context.left_s,
        urgency=urgency,
        resume_after=context.resume_after,
        is_fresh=not admitted.route.is_repeatable,
    )


def _log_attempt(
    context: RunContext,
    state: TargetState,
    end: AttemptEnd,
    detail: object,
) -> None:
    _logger.info(
        'attempt ended',
        request=context.request.id,
        target=state.entry.id,
        outcome=end.value,
        detail=detail,
        own_running=state.running,
        passed_ms=int(1000 * context.passed_s),
    )
