"""Sends a request to one target and relays its answer."""

import asyncio
from enum import StrEnum
from functools import partial

import structlog

from dandelioncleat.app.direct.answer_body import read_body
from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.app.direct.stream_origins import StreamOrigins
from dandelioncleat.app.direct.stream_relay import relay_stream
from dandelioncleat.app.direct.target_limits import TargetLimits
from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.core.cold_start import ColdCause
from dandelioncleat.core.direct_request import CompleteResponse
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.stream_origin import StreamOrigin
from dandelioncleat.core.target_notice import TargetNotice
from dandelioncleat.ports.answer_watch import AnswerWatch
from dandelioncleat.ports.direct_caller import Reply
from dandelioncleat.ports.direct_target import (
    CONNECT_STEP,
    DirectTargets,
    TargetAnswer,
    TargetRequest,
    UnnamedAnswerError,
)

ERROR_STATUS = 500
# Model engines take priorities from 0 to 9; request priorities are scaled.
URGENCY_STEP = 2
LAST_URGENCY = 9

_logger = structlog.get_logger(__name__)


class AttemptOutcome(StrEnum):
    """How an attempt ended."""

    DELIVERED = 'delivered'
    NOT_SENT = 'not sent'
    NOT_RUN = 'not run'
    FAILED = 'failed'
    """The target ran the request and answered with an error."""
    LOST = 'lost'
    """The target may have run the request, but its answer was lost."""


async def run_attempt(
    context: RunContext,
    state: TargetState,
    *,
    targets: DirectTargets,
    reply: Reply,
    origins: StreamOrigins,
    limits: TargetLimits,
) -> AttemptOutcome:
    """Send a request to a target and relay its answer, if there is one.

    :param reply: receives the answer unless it is a server error or a refusal
    :param origins: is told where a stream began that the caller may resume
    :param limits: is told what the target says about its limit
    :raises TimeoutError: if the answer does not arrive in time
    """
    context.answer_watch = AnswerWatch(partial(_note_wishes, state))
    target_request = _target_request(context, state)
    fetch = context.prefix_fetch
    state.begin(
        context.request, saved_tokens=0 if fetch is None else fetch.saved_tokens
    )
    context.begin_attempt(state.entry.id)
    retry = state.unread_retries.take_over(context)
    is_answered = False
    try:
        async with asyncio.timeout_at(context.answer_by) as timer:
            async with targets.send(target_request) as answer:
                is_answered = True
                state.unread_retries.note_read()
                _note_notice(context, state, answer, limits)
                return await _relay_answer(
                    context,
                    state,
                    answer,
                    reply=reply,
                    timer=timer,
                    origins=origins,
                )
    except FailureError as error:
        state.note_failure(asyncio.get_running_loop().time())
        outcome = _note_failure(context, state, error, is_answered=is_answered)
        if outcome is AttemptOutcome.NOT_SENT:
            state.unread_retries.give_back(retry, context)
        state.unread_retries.end(retry)
        return outcome
    finally:
        state.end(context.request.id)


def _note_wishes(state: TargetState, notice: TargetNotice) -> None:
    """Apply what an answer says, whether or not anybody waits for it."""
    state.wishes.apply(notice, asyncio.get_running_loop().time())


def _note_notice(
    context: RunContext,
    state: TargetState,
    answer: TargetAnswer,
    limits: TargetLimits,
) -> None:
    """Apply what an answer says about further requests."""
    context.answer_head = answer.head
    _note_wishes(state, answer.notice)
    limits.note_answer(
        state.entry,
        answer.notice,
        sent_at=context.sent_at,
        is_success=answer.has_run and not answer.head.is_error,
    )


async def _relay_answer(
    context: RunContext,
    state: TargetState,
    answer: TargetAnswer,
    *,
    reply: Reply,
    timer: asyncio.Timeout,
    origins: StreamOrigins,
) -> AttemptOutcome:
    now = asyncio.get_running_loop().time()
    if not answer.has_run:
        return _note_not_run(context, state, answer)
    context.tried_targets.add(state.entry.id)
    if context.has_sent_head:
        _log_continuation(context, state, answer)
        if not _continues_stream(context, answer):
            return _drop_answer(context, state, answer)
    if answer.head.status >= ERROR_STATUS:
        return await _keep_error(context, state, answer)
    state.note_answer(answer.occupancy, now)
    if not answer.is_stream:
        body = await _read_body(context, state, answer)
        context.has_whole_answer = True
        context.has_output = True
        # Whatever happens while it is sent, nothing else may follow it.
        context.sent_head = answer.head
        await reply.send_complete(CompleteResponse(answer.head, body))
        return AttemptOutcome.DELIVERED
    timer.reschedule(context.deadline)
    await relay_stream(
        context,
        answer,
        reply,
        peer=state.entry.id,
        on_output=lambda: _note_output(context, state, origins),
    )
    return AttemptOutcome.DELIVERED


def _continues_stream(context: RunContext, answer: TargetAnswer) -> bool:
    """Return whether an answer can follow the events that were sent."""
    sent = context.sent_head
    return (
        answer.is_stream
        and sent is not None
        and answer.head.status == sent.status
    )


def _drop_answer(
    context: RunContext, state: TargetState, answer: TargetAnswer
) -> AttemptOutcome:
    """Note an answer that must not reach a caller inside a stream."""
    state.errors_at.append(asyncio.get_running_loop().time())
    _log_attempt(context, state, AttemptOutcome.FAILED, answer.head.status)
    return AttemptOutcome.FAILED


def _log_continuation(
    context: RunContext, state: TargetState, answer: TargetAnswer
) -> None:
    _logger.info(
        'stream continued',
        request=context.request.id,
        target=state.entry.id,
        status=answer.head.status,
        is_stream=answer.is_stream,
        resume_after=context.resume_after,
    )


def _note_output(
    context: RunContext, state: TargetState, origins: StreamOrigins
) -> None:
    state.unread_retries.note_read()
    passed_s = asyncio.get_running_loop().time() - context.sent_at
    state.note_first_token(context.request.id, passed_s=passed_s)
    if context.origin is not None:
        return
    context.origin = StreamOrigin(
        state.entry.service, state.entry.software_version
    )
    if context.admitted.route.is_resumable:
        origins.note(context.stream_key(context.request.id), context.origin)


def _note_not_run(
    context: RunContext, state: TargetState, answer: TargetAnswer
) -> AttemptOutcome:
    now = asyncio.get_running_loop().time()
    if answer.is_misdirected:
        # Another target listens at the address now.
        state.note_failure(now)
    state.note_refusal(answer.occupancy, now)
    context.note_not_run()
    _log_attempt(context, state, AttemptOutcome.NOT_RUN, answer.head.status)
    return AttemptOutcome.NOT_RUN


async def _keep_error(
    context: RunContext, state: TargetState, answer: TargetAnswer
) -> AttemptOutcome:
    body = await _read_body(context, state, answer)
    context.failed_answer = CompleteResponse(answer.head, body)
    state.errors_at.append(asyncio.get_running_loop().time())
    _log_attempt(context, state, AttemptOutcome.FAILED, answer.head.status)
    return AttemptOutcome.FAILED


async def _read_body(
    context: RunContext, state: TargetState, answer: TargetAnswer
) -> bytes:
    target = state.entry.id
    held = context.held.begin(target)
    return await read_body(answer, peer=target, held=held)


def _note_failure(
    context: RunContext,
    state: TargetState,
    error: FailureError,
    *,
    is_answered: bool,
) -> AttemptOutcome:
    if isinstance(error, UnnamedAnswerError):
        _note_wishes(state, error.notice)
    is_unsent = error.failure.step == CONNECT_STEP and not is_answered
    outcome = AttemptOutcome.NOT_SENT if is_unsent else AttemptOutcome.LOST
    if is_unsent:
        context.note_unsent()
        now = asyncio.get_running_loop().time()
        state.cold.presume(ColdCause.UNREACHABLE, now)
    else:
        context.tried_targets.add(state.entry.id)
        context.has_lost_answer = True
        context.stream.drop_partial()
    _log_attempt(context, state, outcome, error.failure.text)
    return outcome


def _target_request(context: RunContext, state: TargetState) -> TargetRequest:
    admitted = context.admitted
    organisation = admitted.organisation
    fetch = context.prefix_fetch
    urgency = None
    if context.request.prompt is not None:
        scaled = URGENCY_STEP * (admitted.priority + 1)
        urgency = min(LAST_URGENCY, scaled)
    return TargetRequest(
        request=context.request,
        target=state.entry,
        organisation=None if organisation is None else organisation.name,
        remaining_s=context.remaining_s,
        urgency=urgency,
        resume_after=context.resume_after,
        is_fresh=_needs_fresh_connection(context, state),
        prefix_source=None if fetch is None else fetch.address,
        answer_watch=context.answer_watch,
    )


def _needs_fresh_connection(context: RunContext, state: TargetState) -> bool:
    """Return whether an answer on a kept connection might be an older one.

    The target may repeat its earlier answer to the same request.
    """
    is_once = not context.admitted.route.is_repeatable
    return is_once or state.entry.id in context.sent_to


def _log_attempt(
    context: RunContext,
    state: TargetState,
    outcome: AttemptOutcome,
    detail: object,
) -> None:
    _logger.info(
        'attempt ended',
        request=context.request.id,
        target=state.entry.id,
        outcome=outcome.value,
        detail=detail,
        close_delimited=context.is_close_delimited,
        unfinished_bytes=context.stream.unfinished_bytes,
        own_running=state.running,
        passed_ms=int(1000 * context.elapsed_s),
    )
