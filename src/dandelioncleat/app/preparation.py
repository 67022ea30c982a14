"""Brings a request to the point where its run can be ordered or followed."""

import asyncio

from dandelioncleat.app.course import Course, Permit
from dandelioncleat.app.gate import Demand, Place
from dandelioncleat.app.home_finder import Permission
from dandelioncleat.app.parts import Parts
from dandelioncleat.app.prompt_count import PromptCounter
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
    """Reserves tokens, takes a place and asks the home for a run."""

    def __init__(self, parts: Parts) -> None:
        """Take the parts of the router."""
        self._parts = parts
        self._prompts = PromptCounter(
            peers=parts.peers,
            watch=parts.watch,
            configuration=parts.configuration,
        )

    async def prepare(
        self,
        course: Course,
        objection: Failure | None,
    ) -> Message:
        """Return the message that starts or follows the request's run.

        Raises ``FailureError`` if there is neither.
        """
        try:
            place = await self._find_place(course, objection)
        except FailureError as error:
            if course.is_vouched or course.lost_runs:
                raise
            return await self._find_run(course, error)
        return await self._attach(course, place.sidecar)

    async def _find_place(
        self,
        course: Course,
        objection: Failure | None,
    ) -> Place:
        if objection is not None:
            raise FailureError(objection)
        await self._reserve(course)
        course.move('reserve')
        demand = Demand(course.request, course.deadline, course.excluded)
        course.place = await self._parts.gate.enter(demand)
        course.move('place')
        return course.place

    async def _find_run(self, course: Course, error: FailureError) -> Message:
        """Follow an earlier run though there is no room for a new one."""
        try:
            reply = await self._ask_home(course, Incarnation(''))
        except FailureError:
            raise error from None
        match reply:
            case Placed() if error.failure.code != Code.NOT_READY:
                return self._follow(course, reply)
            case Refusal(code=Code.NOT_FOUND):
                course.is_vouched = True
            case Refusal():
                raise FailureError(_note_refusal(course, reply))
        raise error

    async def _reserve(self, course: Course) -> None:
        try:
            await self._reserve_bound(course)
        except FailureError as error:
            if not await self._tighten(course, error.failure):
                raise
            await self._reserve_bound(course)

    async def _tighten(self, course: Course, failure: Failure) -> bool:
        """Return whether a counted prompt needs fewer tokens than its bound."""
        if failure.code != Code.BUDGET:
            return False
        request = course.request
        tokens = await self._prompts.count(request)
        if tokens is None or tokens >= request.prompt_bound:
            return False
        course.request = request._replace(prompt_bound=tokens)
        self._parts.telemetry.count('router.prompts_counted')
        return True

    async def _reserve_bound(self, course: Course) -> None:
        left_s = course.deadline - asyncio.get_running_loop().time()
        request = course.request
        with self._parts.telemetry.span(
            'router.reserve',
            traceparent=course.traceparent,
        ):
            course.draws = await self._parts.budgets.reserve(
                request.budget,
                request.prompt_bound + request.cap,
                timeout_s=max(0, min(BUDGET_WAIT_S, left_s)),
            )

    async def _attach(self, course: Course, executor: Incarnation) -> Message:
        reply = await self._ask_home(course, executor)
        match reply:
            case Begin():
                course.is_vouched = True
                course.permit = Permit(reply.run, reply.executor, is_new=True)
                course.move('order')
                return self._dispatch(course, course.permit)
            case Placed():
                return self._follow(course, reply)
            case Refusal():
                raise FailureError(_note_refusal(course, reply))

    async def _ask_home(
        self,
        course: Course,
        executor: Incarnation,
    ) -> Permission:
        with self._parts.telemetry.span(
            'router.attach',
            traceparent=course.traceparent,
        ) as traceparent:
            return await self._parts.homes.attach(
                course.request,
                executor,
                deadline=course.deadline,
                traceparent=traceparent,
            )

    def _follow(self, course: Course, placed: Placed) -> Message:
        # The run that is found spends its own draws.
        self._parts.settlement.release(course)
        course.permit = Permit(placed.run, placed.executor, is_new=False)
        course.move('follow')
        return Resume(placed.run, placed.executor, course.delivered)

    def _dispatch(self, course: Course, permit: Permit) -> Dispatch:
        request = course.request
        left_s = course.deadline - asyncio.get_running_loop().time()
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
            draws=course.draws,
            prompt_bound=request.prompt_bound,
            cap=request.cap,
            priority=request.priority,
            deadline_ms=max(1, int(left_s * MS_PER_S)),
        )


def _note_refusal(course: Course, refusal: Refusal) -> Failure:
    course.may_run = refusal.ran
    course.is_vouched = not refusal.ran
    return Failure(refusal.code, refusal.step, refusal.peer, refusal.text)
