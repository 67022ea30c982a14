"""Ends requests that were not delivered, and counts their tokens."""

from dandelioncleat.app.direct.attempt import AttemptOutcome
from dandelioncleat.app.direct.run_context import CALLER_LEFT, RunContext
from dandelioncleat.core.direct_request import DirectRefusal, RefusalReason
from dandelioncleat.core.host_holdings import TokenNeed
from dandelioncleat.ports.direct_caller import Reply

NO_TARGET_RETRY_S = 1.0
NO_ROOM_RETRY_S = 0.5
STOPPING_RETRY_S = 0.05


async def refuse(
    context: RunContext, refusal: DirectRefusal, reply: Reply
) -> None:
    """Answer with a refusal of the router itself."""
    context.outcome = 'refused'
    context.refusal = refusal.reason
    if context.request.is_forwarded and context.is_counted:
        refusal = refusal._replace(arrivals=context.arrivals)
    await reply.refuse(refusal)


async def give_up(
    context: RunContext,
    last_outcome: AttemptOutcome | None,
    reply: Reply,
    *,
    busy: DirectRefusal | None,
) -> None:
    """End a request that no target could complete.

    :param last_outcome: how the last attempt ended, ``None`` if it timed out
    :param busy: the refusal if no target takes requests now
    """
    if context.has_sent_head:
        context.outcome = 'cut'
        await reply.abort()
        return
    if context.failed_answer is not None:
        context.outcome = 'failed at the target'
        await reply.send_complete(context.failed_answer)
        return
    refusal = _final_refusal(context, last_outcome, busy)
    await refuse(context, refusal, reply)


async def end_at_stop(context: RunContext, reply: Reply) -> None:
    """End a request that outlasts a planned stop of the process.

    Its run ends with the connection to its target.
    """
    if context.has_sent_head or context.has_output:
        context.outcome = 'cut'
        await reply.abort()
        return
    reason = RefusalReason.STOPPING
    if context.may_have_run:
        reason = RefusalReason.ANSWER_LOST
    refusal = DirectRefusal(
        reason,
        has_run=context.may_have_run,
        retry_after_s=None if context.may_have_run else STOPPING_RETRY_S,
    )
    await refuse(context, refusal, reply)


def used_tokens(context: RunContext, need: TokenNeed) -> int:
    """Return an upper bound on the tokens that a request used."""
    prompt = context.request.prompt
    if prompt is None or not context.may_have_run:
        return 0
    if _caller_left_before_run(context):
        return 0
    engine = context.admitted.service.engine
    tokens_per_event = prompt.output_tokens
    if engine is not None:
        tokens_per_event = engine.tokens_per_event
    events = context.stream.events
    if context.outcome != 'delivered':
        # One more event may be in transit from the target.
        events += 1
    used = prompt.input_tokens + tokens_per_event * events
    return min(need.tokens, used)


def _caller_left_before_run(context: RunContext) -> bool:
    """Return whether the caller left before the model produced output.

    The target has then dropped the request while it still read the prompt.
    """
    if context.outcome != CALLER_LEFT or context.has_output:
        return False
    return not (
        context.earlier_may_have_run or context.answer_watch.may_have_begun
    )


def _final_refusal(
    context: RunContext,
    last_outcome: AttemptOutcome | None,
    busy: DirectRefusal | None,
) -> DirectRefusal:
    if last_outcome is None:
        return DirectRefusal(RefusalReason.NOT_IN_TIME, has_run=True)
    if context.may_have_run:
        return DirectRefusal(RefusalReason.ANSWER_LOST, has_run=True)
    if busy is not None:
        return busy
    if last_outcome is AttemptOutcome.NOT_RUN:
        return DirectRefusal(
            RefusalReason.NO_ROOM, retry_after_s=NO_ROOM_RETRY_S
        )
    return DirectRefusal(
        RefusalReason.NO_TARGET, retry_after_s=NO_TARGET_RETRY_S
    )
