"""Ends a request: its refusal, its cut, its account of tokens."""

from dandelioncleat.app.direct.attempt import AttemptEnd
from dandelioncleat.app.direct.run_context import CALLER_LEFT, RunContext
from dandelioncleat.core.direct_request import DirectRefusal, RefusalReason
from dandelioncleat.core.host_holdings import TokenNeed
from dandelioncleat.ports.direct_caller import Reply

NO_TARGET_RETRY_S = 1.0
NO_ROOM_RETRY_S = 0.5


async def refuse(
    context: RunContext, refusal: DirectRefusal, reply: Reply
) -> None:
    """Answer in the router's own name."""
    context.outcome = 'refused'
    context.refusal = refusal.reason
    await reply.refuse(refusal)


async def give_up(
    context: RunContext, end: AttemptEnd | None, reply: Reply
) -> None:
    """End a request that no target could complete.

    :param end: how its last attempt ended, ``None`` if its time was over
    """
    if context.has_begun:
        context.outcome = 'cut'
        await reply.abort()
        return
    if context.failed_answer is not None:
        context.outcome = 'failed at the target'
        await reply.send_complete(context.failed_answer)
        return
    await refuse(context, _refusal_after(context, end), reply)


def used_tokens(context: RunContext, need: TokenNeed) -> int:
    """Return the tokens that a request used, at their most."""
    prompt = context.request.prompt
    if prompt is None or not context.may_have_run:
        return 0
    if _left_before_the_run(context):
        return 0
    engine = context.admitted.service.engine
    per_event = prompt.output_tokens
    if engine is not None:
        per_event = engine.tokens_per_event
    events = context.events.events
    if context.outcome != 'delivered':
        # One more may be on its way to the caller.
        events += 1
    used = prompt.input_tokens + per_event * events
    return min(need.tokens, used)


def _left_before_the_run(context: RunContext) -> bool:
    """Return whether a caller left while its prompt was still read.

    A model's run begins with its first token; leaving cancelled it.
    """
    if context.outcome != CALLER_LEFT or context.has_output:
        return False
    return not context.had_run


def _refusal_after(
    context: RunContext, end: AttemptEnd | None
) -> DirectRefusal:
    if end is None:
        return DirectRefusal(RefusalReason.NOT_IN_TIME, has_run=True)
    if context.may_have_run:
        return DirectRefusal(RefusalReason.ANSWER_LOST, has_run=True)
    if end is AttemptEnd.NOT_RUN:
        return DirectRefusal(
            RefusalReason.NO_ROOM, retry_after_s=NO_ROOM_RETRY_S
        )
    return DirectRefusal(
        RefusalReason.NO_TARGET, retry_after_s=NO_TARGET_RETRY_S
    )
