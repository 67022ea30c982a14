"""Relays a stream to the caller in whole events."""

from collections.abc import Callable

from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.core.event_stream import (
    MAX_EVENT_BYTES,
    EventStreamParser,
)
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.ports.direct_caller import Reply
from dandelioncleat.ports.direct_target import (
    BODY_STEP,
    STREAM_END_STEP,
    TargetAnswer,
)


async def relay_stream(
    context: RunContext,
    answer: TargetAnswer,
    reply: Reply,
    *,
    peer: str,
    on_output: Callable[[], None] | None = None,
) -> None:
    """Relay the events of an answer, and end the caller's stream with it.

    :param peer: the target or router that answers
    :param on_output: called whenever events have arrived
    :raises FailureError: if the answer breaks off, also inside an event, if
        an event is too large, or if the answer repeats delivered events
    """
    if context.sent_head is None:
        context.sent_head = answer.head
        await reply.begin(answer.head)
    stream = context.stream
    stream.begin_answer(context.resume_after)
    async for data in answer.chunks():
        whole_events = stream.take(data)
        if whole_events:
            context.has_output = True
            if on_output is not None:
                on_output()
            await reply.write(whole_events)
        fault = _fault(stream)
        if fault is not None:
            raise failure_error(
                Code.TARGET, step=BODY_STEP, peer=peer, text=fault
            )
    problem = _end_problem(context, answer)
    if problem is not None:
        raise failure_error(
            Code.TARGET, step=STREAM_END_STEP, peer=peer, text=problem
        )
    rest = stream.finish()
    if rest:
        await reply.write(rest)
    await reply.finish()


def _fault(stream: EventStreamParser) -> str | None:
    """Return why a stream can't go on."""
    if stream.repeats_events:
        return 'the resumed stream repeats events'
    if stream.exceeds_limit:
        return f'an event exceeds {MAX_EVENT_BYTES} bytes'
    return None


def _end_problem(context: RunContext, answer: TargetAnswer) -> str | None:
    """Return why the end of an answer can't end the caller's stream."""
    if context.stream.is_inside_event:
        return 'the stream ended inside an event'
    head = context.sent_head
    if head is None or head.is_close_delimited:
        return None
    if answer.head.is_close_delimited:
        # A last chunk would tell the caller that the stream is whole.
        return 'the resumed stream does not tell that it is whole'
    return None
