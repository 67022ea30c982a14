"""Serves a request from its admission through retries to its end."""

import asyncio
from functools import partial
from typing import NamedTuple

import structlog
from returns.pipeline import is_successful
from returns.result import Failure as Failed
from returns.result import Result

from dandelioncleat.app.direct.admission import Admission, Admitted
from dandelioncleat.app.direct.attempt import AttemptOutcome, run_attempt
from dandelioncleat.app.direct.crash_quarantine import CrashQuarantine
from dandelioncleat.app.direct.ending import (
    STOPPING_RETRY_S,
    end_at_stop,
    give_up,
    refuse,
    used_tokens,
)
from dandelioncleat.app.direct.forwarding import Forwarding
from dandelioncleat.app.direct.hedging import Hedging, HedgingParts
from dandelioncleat.app.direct.hopeless import hopeless_refusal
from dandelioncleat.app.direct.lost_runs import WatchedRun
from dandelioncleat.app.direct.open_requests import (
    OpenRequests,
    RequestEndedError,
)
from dandelioncleat.app.direct.open_targets import OpenTargets
from dandelioncleat.app.direct.placement import Placement
from dandelioncleat.app.direct.resumption import resumption_refusal
from dandelioncleat.app.direct.retry_budget import RetryBudget
from dandelioncleat.app.direct.run_context import CALLER_LEFT, RunContext
from dandelioncleat.app.direct.stream_origins import StreamOrigins
from dandelioncleat.app.direct.target_limits import TargetLimits
from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.app.direct.topic_age import rounded_age_s
from dandelioncleat.app.direct.wallet import ReservationOutcome, Wallet
from dandelioncleat.core.direct_request import (
    DirectRefusal,
    DirectRequest,
    RefusalReason,
)
from dandelioncleat.core.held_bytes import (
    DEFAULT_MEMORY_MB,
    HeldAnswers,
    HeldBytes,
)
from dandelioncleat.core.host_holdings import TokenNeed
from dandelioncleat.ports.direct_caller import Reply
from dandelioncleat.ports.direct_target import DirectTargets
from dandelioncleat.ports.telemetry import Telemetry

TOKEN_WAIT_SHARE = 0.5
# A slow store confirms a mark within two round trips.
MAX_TOKEN_WAIT_S = 0.5
TOKENS_RETRY_S = 0.3
# Only a top-up, or open requests that use less than they reserve, add to what
# is left.
UNPROVEN_RETRY_S = 10.0

_logger = structlog.get_logger(__name__)


class ServingParts(NamedTuple):
    """What requests need to be served."""

    admission: Admission
    wallet: Wallet
    placement: Placement
    open_targets: OpenTargets
    retries: RetryBudget
    targets: DirectTargets
    forwarding: Forwarding
    quarantine: CrashQuarantine
    origins: StreamOrigins
    limits: TargetLimits
    telemetry: Telemetry
    answer_bytes: HeldBytes = HeldBytes(DEFAULT_MEMORY_MB)
    hedge_share: float = 0


class StopTimes(NamedTuple):
    """Limits of a planned stop, as event loop times in seconds.

    Requests that arrive until ``accept_until`` are all served, as new
    connections may still come in; later ones only if their answer ends by
    ``end_at``.
    """

    accept_until: float
    end_at: float

    def admits(self, context: RunContext) -> bool:
        """Return whether a request is still served."""
        if context.started_at <= self.accept_until:
            return True
        return context.ends_by <= self.end_at


NOTHING_ADMITTED = StopTimes(float('-inf'), float('-inf'))


class Serving:
    """Serves callers' requests, each in its caller's task."""

    def __init__(self, parts: ServingParts) -> None:
        """Initialise with what requests need."""
        self.open_requests = OpenRequests()
        self._parts = parts
        self._stop: StopTimes | None = None
        hedging = HedgingParts(parts.placement, parts.retries, parts.telemetry)
        self.hedging = Hedging(hedging, share=parts.hedge_share)

    def begin_stop(self, times: StopTimes) -> None:
        """Refuse new requests that might outlast the process."""
        self._stop = times

    async def serve(
        self,
        request: DirectRequest,
        reply: Reply,
        *,
        arrived_at: float | None = None,
    ) -> None:
        """Answer a request; cancelling the task also stops its run.

        :param arrived_at: when its head began to arrive, an event loop time
            in seconds; now by default
        """
        if arrived_at is None:
            arrived_at = asyncio.get_running_loop().time()
        with self.open_requests.added(request.id):
            await self._serve(request, reply, arrived_at)

    async def _serve(
        self, request: DirectRequest, reply: Reply, arrived_at: float
    ) -> None:
        decision = await self._admit(request)
        if not is_successful(decision):
            refusal = decision.failure()
            _log_not_admitted(request, refusal, self._parts.admission)
            self._count(refusal.reason)
            await reply.refuse(refusal)
            return
        context = RunContext(
            request,
            decision.unwrap(),
            arrived_at=arrived_at,
            held=HeldAnswers(self._parts.answer_bytes),
        )
        need = self._need(context)
        reply.note_run(partial(_runs_only_once, context))
        try:
            with self._parts.telemetry.span('direct.request'):
                async with self.open_requests.until_ended():
                    await self._serve_admitted(context, need, reply)
        except RequestEndedError:
            await end_at_stop(context, reply)
        finally:
            context.held.release()
            self._note_end(context, need)

    async def _admit(
        self, request: DirectRequest
    ) -> Result[Admitted, DirectRefusal]:
        """Admit a request; a stop refuses it without asking the store."""
        if self._stop is NOTHING_ADMITTED:
            return Failed(_stopping())
        try:
            async with self.open_requests.until_ended():
                return await self._parts.admission.admit(request)
        except RequestEndedError:
            return Failed(_stopping())

    async def _serve_admitted(
        self, context: RunContext, need: TokenNeed | None, reply: Reply
    ) -> None:
        refusal = await _early_refusal(context, self._parts, self._stop)
        if refusal is not None:
            await refuse(context, refusal, reply)
            return
        if need is not None:
            reservation = await self._reserve(context, need)
            if reservation is not ReservationOutcome.RESERVED:
                await self._serve_without_tokens(
                    context, need, reservation, reply
                )
                return
        try:
            await self._run_attempts(context, reply)
        finally:
            if need is not None:
                await _settle(context, need, self._parts.wallet)

    def _need(self, context: RunContext) -> TokenNeed | None:
        prompt = context.request.prompt
        organisation = context.admitted.organisation
        if prompt is None or organisation is None:
            return None
        if not self._parts.wallet.is_prepaid(organisation.name):
            return None
        request = context.request.id
        return TokenNeed(request, organisation.name, prompt.max_total_tokens)

    async def _reserve(
        self, context: RunContext, need: TokenNeed
    ) -> ReservationOutcome:
        share_s = TOKEN_WAIT_SHARE * context.admitted.route.objective_s
        limit_s = min(MAX_TOKEN_WAIT_S, share_s)
        return await self._parts.wallet.reserve(need, limit_s=limit_s)

    async def _serve_without_tokens(
        self,
        context: RunContext,
        need: TokenNeed,
        reservation: ReservationOutcome,
        reply: Reply,
    ) -> None:
        refusal = _budget_refusal(reservation)
        if refusal is None:
            refusal = await self._parts.forwarding.forward(context, need, reply)
        if refusal is None:
            context.outcome = 'forwarded'
            return
        if not refusal.has_run:
            refusal = await self._parts.admission.confirmed(refusal)
            retry_s = _tokens_retry_s(need, refusal, self._parts.wallet)
            refusal = DirectRefusal(refusal.reason, retry_after_s=retry_s)
        await refuse(context, refusal, reply)

    async def _run_attempts(self, context: RunContext, reply: Reply) -> None:
        outcome: AttemptOutcome | None = AttemptOutcome.NOT_RUN
        try:
            if self._parts.retries.begin(context):
                outcome = await self._send_attempts(context, reply)
        finally:
            if context.retry is not None:
                context.retry.note_read()
        if outcome is AttemptOutcome.DELIVERED:
            context.outcome = 'delivered'
            return
        busy = self._parts.open_targets.busy_refusal(context)
        await give_up(context, outcome, reply, busy=busy)

    async def _send_attempts(
        self, context: RunContext, reply: Reply
    ) -> AttemptOutcome | None:
        """Send a request until an attempt ends it; ``None`` if none did."""
        try:
            outcome = await self._send_attempt(context, reply)
            while _should_retry(context, outcome, self._parts):
                if context.has_sent_head:
                    await self._parts.placement.read_list()
                outcome = await self._send_attempt(context, reply)
        except TimeoutError:
            return None
        return outcome

    async def _send_attempt(
        self, context: RunContext, reply: Reply
    ) -> AttemptOutcome:
        choice = self._parts.placement.choose(context)
        if choice is None:
            return AttemptOutcome.NOT_SENT
        state = choice.state
        context.prefix_fetch = choice.prefix_fetch
        if choice.wait_s:
            await asyncio.sleep(choice.wait_s)
            if not self._parts.open_targets.is_open(state):
                return AttemptOutcome.NOT_SENT
        self._parts.placement.log_choice(context, choice)
        return await self.hedging.run(
            context, state, reply, attempt=partial(_run_watched, self._parts)
        )

    def _note_end(self, context: RunContext, need: TokenNeed | None) -> None:
        budget = {}
        if need is not None:
            budget = {
                'needed': need.tokens,
                'used': context.used_tokens,
                **self._parts.wallet.inputs_of(need.budget),
            }
        organisation = context.admitted.organisation
        _logger.info(
            'request ended',
            request=context.request.id,
            outcome=context.outcome,
            reason=context.refusal,
            route=context.admitted.route.name,
            version=context.admitted.version,
            version_age_s=rounded_age_s(self._parts.admission.topic),
            organisation=None if organisation is None else organisation.name,
            sent=context.attempts_sent,
            targets=sorted(context.tried_targets),
            close_delimited=context.is_close_delimited,
            unfinished_bytes=context.stream.unfinished_bytes,
            passed_ms=int(1000 * context.elapsed_s),
            **budget,
        )
        self._count(context.refusal or context.outcome)
        self._parts.telemetry.observe(
            'direct.request_s', context.elapsed_s, outcome=context.outcome
        )

    def _count(self, outcome: str) -> None:
        self._parts.telemetry.count('direct.requests', outcome=str(outcome))


async def _run_watched(
    parts: ServingParts,
    context: RunContext,
    state: TargetState,
    reply: Reply,
) -> AttemptOutcome:
    """Run an attempt, and tell the quarantine how it ended."""
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


async def _settle(context: RunContext, need: TokenNeed, wallet: Wallet) -> None:
    """Charge what a request used, once that is known."""
    try:
        if context.outcome == CALLER_LEFT:
            await context.abandoned.wait()
    finally:
        context.used_tokens = used_tokens(context, need)
        wallet.settle(need, context.used_tokens)


def _budget_refusal(reservation: ReservationOutcome) -> DirectRefusal | None:
    """Return the refusal of what no host can serve, ``None`` if one may."""
    match reservation:
        case ReservationOutcome.EXHAUSTED:
            return DirectRefusal(RefusalReason.PREPAID_SPENT)
        case ReservationOutcome.UNPROVEN:
            return DirectRefusal(RefusalReason.BALANCE_UNPROVEN)
        case _:
            return None


def _tokens_retry_s(
    need: TokenNeed, refusal: DirectRefusal, wallet: Wallet
) -> float | None:
    """Return when a request without tokens may come back, in seconds."""
    match refusal.reason:
        case RefusalReason.PREPAID_SPENT:
            return None
        case RefusalReason.CONFIGURATION_UNCONFIRMED:
            return refusal.retry_after_s
        case RefusalReason.BALANCE_UNPROVEN:
            return UNPROVEN_RETRY_S
        case _:
            return max(TOKENS_RETRY_S, wallet.room_in_s(need) or 0)


async def _early_refusal(
    context: RunContext, parts: ServingParts, stop: StopTimes | None
) -> DirectRefusal | None:
    """Return why a request can't be served, before it takes tokens."""
    if stop is not None and not stop.admits(context):
        return _stopping()
    if context.remaining_s <= 0:
        return DirectRefusal(RefusalReason.NOT_IN_TIME)
    hopeless = hopeless_refusal(
        context, quarantine=parts.quarantine, open_targets=parts.open_targets
    )
    if hopeless is not None:
        return hopeless
    return await resumption_refusal(
        context, origins=parts.origins, placement=parts.placement
    )


def _stopping() -> DirectRefusal:
    return DirectRefusal(RefusalReason.STOPPING, retry_after_s=STOPPING_RETRY_S)


def _runs_only_once(context: RunContext) -> bool:
    """Return whether a request may be running and can't be repeated."""
    return context.may_have_run and not context.admitted.route.is_repeatable


def _should_retry(
    context: RunContext, outcome: AttemptOutcome, parts: ServingParts
) -> bool:
    if outcome is AttemptOutcome.DELIVERED:
        return False
    if not context.may_send_again or not context.has_runs_left:
        return False
    if parts.quarantine.find(context.request) is not None:
        return False
    if not parts.placement.has_candidate(context):
        return False
    return outcome is AttemptOutcome.NOT_SENT or parts.retries.take(context)


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
    quarantine.note_abandoned(run, state.entry, leaves=lambda: state.is_leaving)


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
        quarantine.note_delivered(run.request)


def _log_not_admitted(
    request: DirectRequest, refusal: DirectRefusal, admission: Admission
) -> None:
    _logger.info(
        'request ended',
        request=request.id,
        outcome='refused',
        reason=refusal.reason,
        host=request.host,
        path=request.path,
        sender_version=request.sender_version,
        version=admission.version,
        version_age_s=rounded_age_s(admission.topic),
    )
