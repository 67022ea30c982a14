"""Runs attempts, and tells the quarantine how they ended."""

import asyncio

from dandelioncleat.app.direct.attempt import AttemptOutcome, run_attempt
from dandelioncleat.app.direct.crash_quarantine import CrashQuarantine
from dandelioncleat.app.direct.lost_runs import WatchedRun
from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.app.direct.serving_parts import ServingParts
from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.ports.direct_caller import Reply


async def run_watched(
    parts: ServingParts,
    context: RunContext,
    state: TargetState,
    reply: Reply,
) -> AttemptOutcome:
    """Run an attempt, and tell the quarantine how it ended.

    :raises TimeoutError: if the answer does not arrive in time
    """
    quarantine = parts.quarantine
    run = quarantine.watch(
        context.request,
        is_after_loss=context.has_lost_answer,
        is_after_crash=state.crash_mark.is_set,
    )
    try:
        with parts.telemetry.span('direct.attempt', target=state.entry.id):
            outcome = await run_attempt(
                context,
                state,
                targets=parts.targets,
                reply=reply,
                origins=parts.origins,
                limits=parts.limits,
            )
    except (asyncio.CancelledError, TimeoutError):
        _report_abandoned(context, run, state, quarantine=quarantine)
        raise
    _report_outcome(context, run, state, outcome=outcome, quarantine=quarantine)
    return outcome


def _report_abandoned(
    context: RunContext,
    run: WatchedRun,
    state: TargetState,
    *,
    quarantine: CrashQuarantine,
) -> None:
    """Tell the quarantine of an attempt that nobody waits for any more."""
    if context.has_whole_answer:
        _report_outcome(
            context,
            run,
            state,
            outcome=AttemptOutcome.DELIVERED,
            quarantine=quarantine,
        )
        return
    quarantine.note_abandoned(
        run,
        state.entry,
        leaves=lambda: state.is_leaving,
        watch=context.answer_watch,
    )


def _report_outcome(
    context: RunContext,
    run: WatchedRun,
    state: TargetState,
    *,
    outcome: AttemptOutcome,
    quarantine: CrashQuarantine,
) -> None:
    """Tell the quarantine how an attempt ended."""
    head = context.answer_head
    if outcome is AttemptOutcome.NOT_SENT:
        quarantine.note_unreachable(state.entry)
    if outcome is AttemptOutcome.LOST:
        quarantine.note_lost(
            run,
            state.entry,
            has_begun=head is not None,
            is_leaving=state.is_leaving,
        )
    if outcome is not AttemptOutcome.DELIVERED or head is None:
        return
    if head.is_error:
        # The target may have refused the request before it ran.
        return
    if head.is_close_delimited:
        quarantine.note_closed(run, state.entry, is_leaving=state.is_leaving)
    else:
        quarantine.note_delivered(run, state.entry)
