"""Takes the orders of routers to run requests at one target."""

from collections.abc import AsyncIterator, Iterable
from contextlib import aclosing

from returns.pipeline import is_successful

from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app.active_run import RESUME_STEP, ActiveRun
from dandelioncleat.app.crash_watch import CrashWatch
from dandelioncleat.app.executor_parts import ExecutorParts
from dandelioncleat.app.run_scheduler import RunScheduler
from dandelioncleat.core.dispatch_check import check_dispatch
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.identity import Incarnation, RunId
from dandelioncleat.core.message import (
    Accepted,
    Cancel,
    Dispatch,
    Message,
    Refusal,
    Resume,
    Sealed,
    SealRun,
)
from dandelioncleat.core.run import Run, RunState

RESUME_WAIT_S = 1.0
SEAL_STEP = 'seal'


class Executor:
    """Answers what routers ask of runs, from their order to their end."""

    def __init__(self, parts: ExecutorParts, tasks: TaskScope) -> None:
        """Take the surroundings and the scope of the runs' tasks."""
        self._parts = parts
        self.crashes = CrashWatch(parts, tasks)
        self.scheduler = RunScheduler(parts, self.crashes, tasks)
        self.book = self.scheduler.book

    async def dispatch(
        self,
        dispatch: Dispatch,
        traceparent: str = '',
    ) -> AsyncIterator[Message]:
        """Run an order, or join its run, and yield the answer."""
        with self._parts.telemetry.span(
            'sidecar',
            traceparent=traceparent,
            target=self._parts.place.target,
        ) as own_traceparent:
            if self.book.runs.get(dispatch.run) is None:
                failure = self._reason_against(dispatch)
                if failure is not None:
                    # A repeat of the order must not run after this answer.
                    self.book.runs.mark_sealed(dispatch.run)
                    yield self._parts.refuse(failure)
                    return
                self.scheduler.accept(dispatch, own_traceparent)
            answer = self.book.follow(dispatch.run, 0)
            async with aclosing(answer):  # type: ignore[type-var]
                async for message in answer:
                    yield message

    async def resume(self, resume: Resume) -> AsyncIterator[Message]:
        """Yield a run's answer from a byte on."""
        if resume.executor != self._parts.place.incarnation:
            yield self._parts.unknown_run(Code.FENCED, RESUME_STEP)
            return
        await self.book.wait_for_order(resume.run, RESUME_WAIT_S)
        answer = self.book.follow(resume.run, resume.start)
        async with aclosing(answer):  # type: ignore[type-var]
            async for message in answer:
                yield message

    def seal(self, order: SealRun) -> Sealed | Refusal:
        """Make sure that a run does not begin, and say whether it has."""
        if order.executor != self._parts.place.incarnation:
            return self._parts.unknown_run(Code.FENCED, SEAL_STEP)
        known = self.book.runs.get(order.run)
        if known is None:
            return self._seal_unknown(order.run)
        if isinstance(known, Run) and known.state is RunState.DISPATCHED:
            failure = self._parts.failure(Code.SEALED, 'sealed on demand')
            self.scheduler.seal(self.book.active_by_id[known.id], failure)
        return Sealed(order.run, ran=known.began)

    def cancel(self, order: Cancel) -> Accepted:
        """Stop a run; one that may not be repeated runs to its end."""
        active = self.book.active_by_id.get(order.run)
        if active is not None:
            self.scheduler.stop(active, 'cancelled')
        return Accepted()

    async def settle_holders(
        self,
        holders: Iterable[Incarnation],
        *,
        patience_s: float,
    ) -> None:
        """Return once no run of these holders is open.

        :param patience_s: time in seconds before runs are cancelled
        """
        fenced = frozenset(holders)
        self._seal_waiting(self._runs_of(fenced), Code.FENCED)
        if not await self._wait_for(fenced, patience_s):
            for late in self._runs_of(fenced):
                self.scheduler.stop(late, 'retired')
            await self._wait_for(fenced, None)

    async def close(self) -> tuple[RunId, ...]:
        """End every open run at once and return those that were cut."""
        self._seal_waiting(self.book.open_runs(), Code.LEAVING)
        cut = self.book.open_runs()
        for late in cut:
            await self.scheduler.abort(late)
        return tuple(active.run.id for active in cut)

    def _reason_against(self, dispatch: Dispatch) -> Failure | None:
        orders = self._parts.orders(self.crashes.is_poison)
        verdict = check_dispatch(dispatch, orders)
        if not is_successful(verdict):
            return verdict.failure()
        service = orders.service
        if service is not None and self.scheduler.is_full(service):
            return self._parts.failure(Code.CAPACITY, 'the queue is full')
        return None

    def _seal_waiting(self, runs: Iterable[ActiveRun], code: Code) -> None:
        for active in runs:
            if active.run.state is RunState.DISPATCHED:
                failure = self._parts.failure(code, 'the run did not start')
                self.scheduler.seal(active, failure)

    def _seal_unknown(self, run: RunId) -> Sealed | Refusal:
        if not self.book.runs.remembers_all_begun:
            # A run that was forgotten may have been this one.
            return self._parts.unknown_run(Code.UNKNOWN, SEAL_STEP)
        self.book.runs.mark_sealed(run)
        return Sealed(run, ran=False)

    def _runs_of(
        self,
        holders: frozenset[Incarnation],
    ) -> tuple[ActiveRun, ...]:
        runs = self.book.open_runs()
        return tuple(
            active for active in runs if _draws_on(active.run, holders)
        )

    async def _wait_for(
        self,
        holders: frozenset[Incarnation],
        limit_s: float | None,
    ) -> bool:
        return await self.book.wait_until(
            lambda: not self._runs_of(holders),
            limit_s,
        )


def _draws_on(run: Run, holders: frozenset[Incarnation]) -> bool:
    return any(draw.grant.holder in holders for draw in run.dispatch.draws)
