"""Serves a request from its admission through retries to its end."""

import asyncio
from functools import partial
from typing import NamedTuple

import structlog
from returns.pipeline import is_successful
from returns.result import Failure as Failed
from returns.result import Result

from dandelioncleat.app.direct.admission import Admission, Admitted
from dandelioncleat.app.direct.attempt import AttemptOutcome
from dandelioncleat.app.direct.ending import (
    STOPPING_RETRY_S,
    end_at_stop,
    give_up,
    refuse,
    used_tokens,
)
from dandelioncleat.app.direct.hedging import Hedging, HedgingParts
from dandelioncleat.app.direct.hopeless import hopeless_refusal
from dandelioncleat.app.direct.open_requests import (
    OpenRequests,
    RequestEndedError,
)
from dandelioncleat.app.direct.resumption import resumption_refusal
from dandelioncleat.app.direct.run_context import CALLER_LEFT, RunContext
from dandelioncleat.app.direct.serving_parts import ServingParts
from dandelioncleat.app.direct.token_refusals import (
    budget_refusal,
    need_of,
    tokens_retry_s,
)
from dandelioncleat.app.direct.topic_age import rounded_age_s
from dandelioncleat.app.direct.wallet import ReservationOutcome
from dandelioncleat.app.direct.watched_attempt import run_watched
from dandelioncleat.core.deployment import CallKind
from dandelioncleat.core.direct_request import (
    DirectRefusal,
    DirectRequest,
    RefusalReason,
)
from dandelioncleat.core.held_bytes import (
    HeldAnswers,
)
from dandelioncleat.core.host_holdings import TokenNeed
from dandelioncleat.ports.direct_caller import Reply

TOKEN_WAIT_SHARE = 0.5
# A slow store confirms a mark within two round trips.
MAX_TOKEN_WAIT_S = 0.5

_logger = structlog.get_logger(__name__)


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
        need = need_of(context, self._parts.wallet)
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
                await self._settle(context, need)

    async def _settle(self, context: RunContext, need: TokenNeed) -> None:
        """Charge what a request used, once that is known.

        A request that a stop ends is charged at most at once, as its last
        answer must still be sent.
        """
        is_ended = self._stop is NOTHING_ADMITTED
        try:
            if context.outcome == CALLER_LEFT and not is_ended:
                await context.answer_watch.wait()
        finally:
            context.used_tokens = used_tokens(context, need)
            self._parts.wallet.settle(need, context.used_tokens)

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
        refusal = budget_refusal(reservation)
        if refusal is None:
            refusal = await self._parts.forwarding.forward(context, need, reply)
        if refusal is None:
            context.outcome = 'forwarded'
            return
        if not refusal.has_run:
            refusal = await self._parts.admission.confirmed(refusal)
            retry_s = tokens_retry_s(need, refusal, self._parts.wallet)
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
            context, state, reply, attempt=partial(run_watched, self._parts)
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
    """Return whether a call may be running and can't be repeated.

    A stream works on for as long as its caller waits, so one whose caller may
    have left does not count.
    """
    route = context.admitted.route
    is_stream = route.kind is CallKind.STREAM
    return context.may_have_run and not (route.is_repeatable or is_stream)


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
