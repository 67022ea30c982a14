"""Prepares a request for the dispatch or the following of its run."""

import asyncio

from dandelioncleat.app.exchange import Exchange, Permit
from dandelioncleat.app.home_finder import AttachReply
from dandelioncleat.app.placement_queue import PlacementRequest, TargetSlot
from dandelioncleat.app.prompt_count import PromptCounter
from dandelioncleat.app.request_parts import RequestParts
from dandelioncleat.core.failure import Code, Failure, FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import (
    Begin,
    Dispatch,
    Message,
    Placed,
    Refusal,
    Resume,
)

MS_PER_S = 1000
BUDGET_WAIT_S = 2.0


class Preparation:
    """Reserves tokens, acquires a slot and asks the home for a permit."""

    def __init__(self, parts: RequestParts) -> None:
        """Take the router's components."""
        self._parts = parts
        self._prompts = PromptCounter(
            peers=parts.peers,
            watch=parts.watch,
            configuration=parts.configuration,
        )

    async def prepare(
        self,
        exchange: Exchange,
        objection: Failure | None,
    ) -> Message:
        """Return the message that starts or follows the request's run.

        :raises FailureError: if a run can neither start nor be followed
        """
        try:
            place = await self._acquire_slot(exchange, objection)
        except FailureError as error:
            if exchange.has_no_earlier_run or exchange.lost_runs:
                raise
            return await self._follow_earlier_run(exchange, error)
        return await self._attach(exchange, place.sidecar)

    async def _acquire_slot(
        self,
        exchange: Exchange,
        objection: Failure | None,
    ) -> TargetSlot:
        if objection is not None:
            raise FailureError(objection)
        await self._reserve(exchange)
        exchange.move('reserve')
        placement = PlacementRequest(
            exchange.request, exchange.deadline, exchange.excluded_executors
        )
        exchange.place = await self._parts.placement.acquire(placement)
        exchange.move('place')
        return exchange.place

    async def _follow_earlier_run(
        self, exchange: Exchange, error: FailureError
    ) -> Message:
        """Follow an earlier run if no new one can begin."""
        try:
            reply = await self._ask_home(exchange, Incarnation(''))
        except FailureError:
            raise error from None
        match reply:
            case Placed() if error.failure.code != Code.NOT_READY:
                return self._follow(exchange, reply)
            case Refusal(code=Code.NOT_FOUND):
                exchange.has_no_earlier_run = True
            case Refusal():
                raise FailureError(_note_refusal(exchange, reply))
        raise error

    async def _reserve(self, exchange: Exchange) -> None:
        try:
            await self._reserve_bound(exchange)
        except FailureError as error:
            if not await self._use_counted_prompt(exchange, error.failure):
                raise
            await self._reserve_bound(exchange)

    async def _use_counted_prompt(
        self, exchange: Exchange, failure: Failure
    ) -> bool:
        """Use the prompt's token count if smaller; return whether it was."""
        if failure.code != Code.BUDGET:
            return False
        request = exchange.request
        tokens = await self._prompts.count(request)
        if tokens is None or tokens >= request.prompt_bound:
            return False
        exchange.request = request._replace(prompt_bound=tokens)
        self._parts.telemetry.count('router.prompts_counted')
        return True

    async def _reserve_bound(self, exchange: Exchange) -> None:
        remaining_s = exchange.deadline - asyncio.get_running_loop().time()
        request = exchange.request
        with self._parts.telemetry.span(
            'router.reserve',
            traceparent=exchange.traceparent,
        ):
            exchange.draws = await self._parts.budgets.reserve(
                request.budget,
                request.prompt_bound + request.cap,
                timeout_s=max(0, min(BUDGET_WAIT_S, remaining_s)),
            )

    async def _attach(
        self, exchange: Exchange, executor: Incarnation
    ) -> Message:
        reply = await self._ask_home(exchange, executor)
        match reply:
            case Begin():
                exchange.has_no_earlier_run = True
                exchange.permit = Permit(reply.run, reply.executor, is_new=True)
                exchange.move('order')
                return self._dispatch(exchange, exchange.permit)
            case Placed():
                return self._follow(exchange, reply)
            case Refusal():
                raise FailureError(_note_refusal(exchange, reply))

    async def _ask_home(
        self,
        exchange: Exchange,
        executor: Incarnation,
    ) -> AttachReply:
        with self._parts.telemetry.span(
            'router.attach',
            traceparent=exchange.traceparent,
        ) as traceparent:
            return await self._parts.homes.attach(
                exchange.request,
                executor,
                deadline=exchange.deadline,
                traceparent=traceparent,
            )

    def _follow(self, exchange: Exchange, placed: Placed) -> Message:
        # The existing run has draws of its own.
        self._parts.settlement.release(exchange)
        exchange.permit = Permit(placed.run, placed.executor, is_new=False)
        exchange.move('follow')
        return Resume(placed.run, placed.executor, exchange.delivered_bytes)

    def _dispatch(self, exchange: Exchange, permit: Permit) -> Dispatch:
        request = exchange.request
        remaining_s = exchange.deadline - asyncio.get_running_loop().time()
        return Dispatch(
            run=permit.run,
            executor=permit.executor,
            router=self._parts.incarnation,
            service=request.service,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            body=request.body,
            digest=request.digest,
            idempotent=request.idempotent,
            budget=request.budget,
            draws=exchange.draws,
            prompt_bound=request.prompt_bound,
            cap=request.cap,
            priority=request.priority,
            deadline_ms=max(1, int(remaining_s * MS_PER_S)),
        )


def _note_refusal(exchange: Exchange, refusal: Refusal) -> Failure:
    exchange.may_have_run = refusal.ran
    exchange.has_no_earlier_run = not refusal.ran
    return Failure(refusal.code, refusal.step, refusal.peer, refusal.text)
