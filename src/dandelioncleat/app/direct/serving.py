"""Serves a request: its tokens, a target, another target, its end."""

import asyncio
from itertools import count
from typing import NamedTuple

import structlog
from returns.pipeline import is_successful

from dandelioncleat.app.direct.admission import admit
from dandelioncleat.app.direct.attempt import AttemptEnd, attempt
from dandelioncleat.app.direct.deployment_watch import DeploymentWatch
from dandelioncleat.app.direct.ending import (
    give_up,
    refuse,
    used_tokens,
)
from dandelioncleat.app.direct.forwarding import Forwarding
from dandelioncleat.app.direct.placement import Placement
from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.app.direct.wallet import Verdict, Wallet
from dandelioncleat.core.direct_request import (
    DirectRefusal,
    DirectRequest,
    RefusalReason,
)
from dandelioncleat.core.host_holdings import TokenNeed
from dandelioncleat.ports.direct_caller import Reply
from dandelioncleat.ports.direct_target import DirectTargets
from dandelioncleat.ports.telemetry import Telemetry

TOKEN_WAIT_SHARE = 0.5
# A slow store confirms a mark within two round trips.
MOST_TOKEN_WAIT_S = 0.5
TOKENS_RETRY_S = 0.3
STOPPING_RETRY_S = 0.05

_logger = structlog.get_logger(__name__)


class ServingParts(NamedTuple):
    """The surroundings of the requests."""

    deployment: DeploymentWatch
    wallet: Wallet
    placement: Placement
    targets: DirectTargets
    forwarding: Forwarding
    telemetry: Telemetry


class StopTimes(NamedTuple):
    """Times of the event loop in a planned stop, in seconds.

    Until ``accept_until`` every request is served, as new connections may
    still come; later ones only if they are over by ``end_at``.
    """

    accept_until: float
    end_at: float

    def admits(self, context: RunContext) -> bool:
        """Return whether a request may still begin."""
        if context.started <= self.accept_until:
            return True
        return context.answer_by <= self.end_at


NOTHING_ADMITTED = StopTimes(float('-inf'), float('-inf'))


class Serving:
    """Serves requests of callers, each in the task of its caller."""

    def __init__(self, parts: ServingParts) -> None:
        """Take the surroundings."""
        self._open_ids_by_number: dict[int, str] = {}
        self._numbers = count()
        self.idle = asyncio.Event()
        self.idle.set()
        self._parts = parts
        self._stop: StopTimes | None = None

    @property
    def open_ids(self) -> tuple[str, ...]:
        """Return the ids of the requests that are being served."""
        return tuple(self._open_ids_by_number.values())

    def begin_stop(self, times: StopTimes) -> None:
        """Refuse from now on what could not end before the process does."""
        self._stop = times

    async def serve(self, request: DirectRequest, reply: Reply) -> None:
        """Answer a request; cancelling this stops its run."""
        number = next(self._numbers)
        self._open_ids_by_number[number] = request.id
        self.idle.clear()
        try:
            await self._serve(request, reply)
        finally:
            self._open_ids_by_number.pop(number)
            if not self._open_ids_by_number:
                self.idle.set()

    async def _serve(self, request: DirectRequest, reply: Reply) -> None:
        verdict = admit(request, self._parts.deployment.current)
        if not is_successful(verdict):
            refusal = verdict.failure()
            _log_not_admitted(request, refusal, self._parts.deployment)
            self._count(refusal.reason)
            await reply.refuse(refusal)
            return
        context = RunContext(request, verdict.unwrap())
        need = self._need(context)
        try:
            with self._parts.telemetry.span('direct.request'):
                await self._serve_admitted(context, need, reply)
        finally:
            self._note_end(context, need)

    async def _serve_admitted(
        self, context: RunContext, need: TokenNeed | None, reply: Reply
    ) -> None:
        if self._stop is not None and not self._stop.admits(context):
            refusal = DirectRefusal(
                RefusalReason.STOPPING, retry_after_s=STOPPING_RETRY_S
            )
            await refuse(context, refusal, reply)
            return
        if need is not None:
            verdict = await self._reserve(context, need)
            if verdict is not Verdict.RESERVED:
                await self._serve_without_tokens(context, need, verdict, reply)
                return
        try:
            await self._run(context, reply)
        finally:
            if need is not None:
                context.used_tokens = used_tokens(context, need)
                self._parts.wallet.settle(need, context.used_tokens)

    def _need(self, context: RunContext) -> TokenNeed | None:
        prompt = context.request.prompt
        organisation = context.admitted.organisation
        if prompt is None or organisation is None:
            return None
        if not self._parts.wallet.is_prepaid(organisation.name):
            return None
        request = context.request.id
        return TokenNeed(request, organisation.name, prompt.max_total_tokens)

    async def _reserve(self, context: RunContext, need: TokenNeed) -> Verdict:
        share_s = TOKEN_WAIT_SHARE * context.admitted.route.objective_s
        limit_s = min(MOST_TOKEN_WAIT_S, share_s)
        return await self._parts.wallet.reserve(need, limit_s=limit_s)

    async def _serve_without_tokens(
        self,
        context: RunContext,
        need: TokenNeed,
        verdict: Verdict,
        reply: Reply,
    ) -> None:
        refusal: DirectRefusal | None = DirectRefusal(
            RefusalReason.PREPAID_SPENT
        )
        if verdict is Verdict.ELSEWHERE:
            refusal = await self._parts.forwarding.forward(context, need, reply)
        if refusal is None:
            context.outcome = 'forwarded'
            return
        if (
            not refusal.has_run
            and refusal.reason is not RefusalReason.PREPAID_SPENT
        ):
            room_in_s = self._parts.wallet.room_in_s(need)
            retry_s = max(TOKENS_RETRY_S, room_in_s or 0)
            refusal = DirectRefusal(refusal.reason, retry_after_s=retry_s)
        await refuse(context, refusal, reply)

    async def _run(self, context: RunContext, reply: Reply) -> None:
        service = context.admitted.service.name
        self._parts.placement.note_request(service)
        try:
            end = await self._send(context, reply)
            while end is not AttemptEnd.DELIVERED:
                if not self._goes_on(context, end):
                    await give_up(context, end, reply)
                    return
                end = await self._send(context, reply)
        except TimeoutError:
            await give_up(context, None, reply)
        else:
            context.outcome = 'delivered'

    async def _send(self, context: RunContext, reply: Reply) -> AttemptEnd:
        choice = self._parts.placement.choose(context)
        if choice is None:
            return AttemptEnd.NOT_SENT
        self._parts.placement.log_choice(context, choice)
        state = choice.state
        with self._parts.telemetry.span(
            'direct.attempt', target=state.entry.id
        ):
            return await attempt(
                context, state, targets=self._parts.targets, reply=reply
            )

    def _goes_on(self, context: RunContext, end: AttemptEnd) -> bool:
        if not context.may_send_again or not context.has_runs_left:
            return False
        if not self._parts.placement.has_candidate(context):
            return False
        if end is AttemptEnd.NOT_SENT:
            return True
        service = context.admitted.service.name
        return self._parts.placement.take_retry(service)

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
            organisation=None if organisation is None else organisation.name,
            sent=context.sent,
            targets=sorted(context.tried),
            passed_ms=int(1000 * context.passed_s),
            **budget,
        )
        self._count(context.refusal or context.outcome)
        self._parts.telemetry.observe(
            'direct.request_s', context.passed_s, outcome=context.outcome
        )

    def _count(self, outcome: str) -> None:
        self._parts.telemetry.count('direct.requests', outcome=str(outcome))


def _log_not_admitted(
    request: DirectRequest, refusal: DirectRefusal, deployment: DeploymentWatch
) -> None:
    current = deployment.current
    _logger.info(
        'request ended',
        request=request.id,
        outcome='refused',
        reason=refusal.reason,
        host=request.host,
        path=request.path,
        version=None if current is None else current.version,
    )
