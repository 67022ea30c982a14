"""Sends a request that is slow at its target to a second one as well.

The first whole answer is the caller's; the other run is stopped at once.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import structlog

from dandelioncleat.app.direct.attempt import AttemptOutcome
from dandelioncleat.app.direct.placement import ChosenTarget, Placement
from dandelioncleat.app.direct.retry_budget import RetryBudget
from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.core.deployment import CallKind
from dandelioncleat.core.direct_request import (
    CompleteResponse,
    DirectRefusal,
    ResponseHead,
)
from dandelioncleat.core.hedge_policy import HedgePolicy
from dandelioncleat.ports.direct_caller import Reply
from dandelioncleat.ports.telemetry import Telemetry

_logger = structlog.get_logger(__name__)

RunAttempt = Callable[
    [RunContext, TargetState, Reply], Awaitable[AttemptOutcome]
]


class HedgingParts(NamedTuple):
    """What hedges need: where they go, and what bounds them."""

    placement: Placement
    retries: RetryBudget
    telemetry: Telemetry


class Hedging:
    """Runs attempts, and hedges the slow ones of requests that may repeat."""

    def __init__(self, parts: HedgingParts, *, share: float = 0) -> None:
        """Initialise.

        :param share: how many requests of a service may be hedged, as a share
            of all; 0 for none
        """
        self._parts = parts
        self._share = share
        self._policies_by_service: dict[str, HedgePolicy] = {}

    def set_share(self, share: float) -> None:
        """Set how many requests may be hedged."""
        self._share = share
        for policy in self._policies_by_service.values():
            policy.share = share

    async def run(
        self,
        context: RunContext,
        state: TargetState,
        reply: Reply,
        *,
        attempt: RunAttempt,
    ) -> AttemptOutcome:
        """Run an attempt, and a second one beside it if the first is slow.

        :raises TimeoutError: if no answer arrives in time
        """
        if not self._share or not _may_hedge(context):
            return await attempt(context, state, reply)
        policy = self._policy(context.admitted.service.name)
        policy.note_request(_now())
        race = _Race(reply)
        race.start(attempt(context, state, race.entrant(context)))
        try:
            await self._hedge_if_slow(context, policy, race, attempt)
            outcome = await race.outcome()
        finally:
            await race.stop()
            # What ends the request, such as a stop, must know of both runs.
            race.merge_into(context)
        self._note_end(context, policy, race, outcome)
        return outcome

    async def _hedge_if_slow(
        self,
        context: RunContext,
        policy: HedgePolicy,
        race: '_Race',
        attempt: RunAttempt,
    ) -> None:
        found = policy.delay(context.remaining_s, _now())
        if found is None or await race.ends_within(found.delay_s):
            return
        twin = _twin(context)
        choice = self._choose(twin, policy)
        if choice is None:
            self._parts.telemetry.count('direct.hedges', outcome='denied')
            return
        _logger.info(
            'request hedged',
            request=context.request.id,
            target=choice.state.entry.id,
            service=context.admitted.service.name,
            delay_s=round(found.delay_s, 3),
            answers=found.answers,
            left_ms=int(1000 * context.remaining_s),
        )
        race.hedge = twin
        race.start(attempt(twin, choice.state, race.entrant(twin)))

    def _choose(
        self, twin: RunContext, policy: HedgePolicy
    ) -> ChosenTarget | None:
        """Return where a second run goes, if anything allows one."""
        if not self._parts.placement.has_idle_candidate(twin):
            return None
        if not policy.take(_now()) or not self._parts.retries.take(twin):
            return None
        choice = self._parts.placement.choose(twin)
        if choice is None or choice.wait_s:
            if twin.retry is not None:
                twin.retry.note_read()
            return None
        return choice

    def _note_end(
        self,
        context: RunContext,
        policy: HedgePolicy,
        race: '_Race',
        outcome: AttemptOutcome,
    ) -> None:
        winner = race.winner or context
        if outcome is AttemptOutcome.DELIVERED:
            policy.note_answer(_now() - context.sent_at, _now())
        twin = race.hedge
        if twin is None:
            return
        has_won = winner is twin
        result = 'won' if has_won else 'lost'
        self._parts.telemetry.count('direct.hedges', outcome=result)
        _logger.info(
            'hedge ended',
            request=context.request.id,
            outcome=outcome,
            has_won=has_won,
            extra_ms=int(1000 * (_now() - twin.sent_at)),
            arrivals=context.arrivals,
        )

    def _policy(self, service: str) -> HedgePolicy:
        policy = self._policies_by_service.get(service)
        if policy is None:
            policy = HedgePolicy(self._share)
            self._policies_by_service[service] = policy
        return policy


class _Race:
    """Attempts of one request, of which the first to answer wins."""

    def __init__(self, reply: Reply) -> None:
        self.winner: RunContext | None = None
        self.hedge: RunContext | None = None
        self._reply = reply
        self._runs: list[asyncio.Future[AttemptOutcome]] = []

    def entrant(self, context: RunContext) -> Reply:
        """Return the reply of an attempt."""
        return _Entrant(self, context, self._reply)

    def start(self, attempt: Awaitable[AttemptOutcome]) -> None:
        """Start an attempt."""
        self._runs.append(asyncio.ensure_future(attempt))

    async def ends_within(self, delay_s: float) -> bool:
        """Return whether the first attempt ends, or answers, in time."""
        done, _ = await asyncio.wait(self._runs, timeout=delay_s)
        return bool(done) or self.winner is not None

    def wins(self, context: RunContext) -> bool:
        """Let an attempt answer the caller, unless the other one has."""
        if self.winner is None:
            self.winner = context
        return self.winner is context

    async def outcome(self) -> AttemptOutcome:
        """Return how the attempt that answered ended, else the last one."""
        pending = set(self._runs)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for run in done:
                if _is_delivered(run):
                    return run.result()
        # Both have failed; an error of the first one is told to the caller.
        return self._runs[0].result()

    def merge_into(self, context: RunContext) -> None:
        """Note in a request's context what its second run has done."""
        if self.hedge is not None:
            _merge(context, self.hedge, has_won=self.winner is self.hedge)

    async def stop(self) -> None:
        """Stop the attempts that still run."""
        for run in self._runs:
            run.cancel()
        await asyncio.gather(*self._runs, return_exceptions=True)


class _Entrant:
    """The reply of an attempt that may lose; a loser's bytes go nowhere."""

    def __init__(self, race: _Race, context: RunContext, reply: Reply) -> None:
        self._race = race
        self._context = context
        self._reply = reply

    def note_run(self, must_go_on: Callable[[], bool]) -> None:
        """Note which runs go on though their caller may have left."""
        self._reply.note_run(must_go_on)

    async def send_complete(self, answer: CompleteResponse) -> None:
        """Deliver a complete answer of a target."""
        await self._win()
        await self._reply.send_complete(answer)

    async def refuse(self, refusal: DirectRefusal) -> None:
        """Answer in the router's own name."""
        await self._win()
        await self._reply.refuse(refusal)

    async def begin(self, head: ResponseHead) -> None:
        """Begin a stream."""
        await self._win()
        await self._reply.begin(head)

    async def write(self, data: bytes) -> None:
        """Send the next bytes of a stream."""
        await self._reply.write(data)

    async def finish(self) -> None:
        """End a stream that is complete."""
        await self._reply.finish()

    async def abort(self) -> None:
        """End a stream so that the caller sees that it is not complete."""
        await self._reply.abort()

    async def _win(self) -> None:
        """Go on if no other attempt has answered; else wait to be stopped."""
        if not self._race.wins(self._context):
            await asyncio.Event().wait()


def _may_hedge(context: RunContext) -> bool:
    """Return whether a request may run at two targets at the same time.

    Not one with a prompt, whose tokens would be used twice, nor one that may
    have crashed a target.
    """
    route = context.admitted.route
    if route.kind is not CallKind.IDEMPOTENT or route.attempts < 2:
        return False
    is_first = not (context.tried_targets or context.has_lost_answer)
    return is_first and context.request.prompt is None


def _twin(context: RunContext) -> RunContext:
    """Return the context of a second run of a request that is under way."""
    twin = RunContext(
        context.request,
        context.admitted,
        arrived_at=context.started_at,
        held=context.held,
    )
    twin.is_counted = True
    twin.arrivals = context.arrivals
    twin.attempts_sent = context.attempts_sent
    twin.tried_targets = context.tried_targets | context.sent_to
    twin.sent_to = set(context.sent_to)
    return twin


def _merge(context: RunContext, twin: RunContext, *, has_won: bool) -> None:
    """Note in a request's context what its second run has done."""
    context.arrivals = max(context.arrivals, twin.arrivals)
    context.attempts_sent = max(context.attempts_sent, twin.attempts_sent)
    context.tried_targets |= twin.tried_targets | context.sent_to
    context.sent_to |= twin.sent_to
    context.may_have_run = context.may_have_run or twin.may_have_run
    context.has_lost_answer = context.has_lost_answer or twin.has_lost_answer
    context.failed_answer = context.failed_answer or twin.failed_answer
    if has_won:
        context.answer_head = twin.answer_head
        context.sent_head = twin.sent_head
        context.has_output = twin.has_output


def _is_delivered(run: asyncio.Future[AttemptOutcome]) -> bool:
    if run.cancelled() or run.exception() is not None:
        return False
    return run.result() is AttemptOutcome.DELIVERED


def _now() -> float:
    return asyncio.get_running_loop().time()
