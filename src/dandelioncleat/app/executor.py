"""Runs requests that routers dispatch to one target."""

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
    """Dispatches, resumes, seals and cancels runs on behalf of routers."""

    def __init__(self, parts: ExecutorParts, tasks: TaskScope) -> None:
        """Take the dependencies and the scope of the runs' tasks."""
        self._parts = parts
        self.crashes = CrashWatch(parts, tasks)
        self.scheduler = RunScheduler(parts, self.crashes, tasks)
        self.book = self.scheduler.book

    async def dispatch(
        self,
        dispatch: Dispatch,
        traceparent: str = '',
    ) -> AsyncIterator[Message]:
        """Start a dispatched run, or join it, and yield the answer."""
        with self._parts.telemetry.span(
            'sidecar',
            traceparent=traceparent,
            target=self._parts.identity.target,
        ) as own_traceparent:
            if self.book.runs.get(dispatch.run) is None:
                failure = self._refusal_reason(dispatch)
                if failure is not None:
                    # A repeated dispatch must not run after this refusal.
                    self.book.runs.mark_sealed(dispatch.run)
                    yield self._parts.refuse(failure)
                    return
                self.scheduler.accept(dispatch, own_traceparent)
            answer = self.book.follow(dispatch.run, 0)
            async with aclosing(answer):  # type: ignore[type-var]
                async for message in answer:
                    yield message

    async def resume(self, resume: Resume) -> AsyncIterator[Message]:
        """Yield a run's answer from a byte offset on."""
        if resume.executor != self._parts.identity.incarnation:
            yield self._parts.unknown_run(Code.FENCED, RESUME_STEP)
            return
        await self.book.wait_for_dispatch(resume.run, RESUME_WAIT_S)
        answer = self.book.follow(resume.run, resume.start)
        async with aclosing(answer):  # type: ignore[type-var]
            async for message in answer:
                yield message

    def seal(self, message: SealRun) -> Sealed | Refusal:
        """Prevent a run from beginning; report whether it already has."""
        if message.executor != self._parts.identity.incarnation:
            return self._parts.unknown_run(Code.FENCED, SEAL_STEP)
        known = self.book.runs.get(message.run)
        if known is None:
            return self._seal_unknown(message.run)
        if isinstance(known, Run) and known.state is RunState.DISPATCHED:
            failure = self._parts.failure(
                Code.SEALED, 'the run was sealed before it started'
            )
            self.scheduler.seal(self.book.active_by_id[known.id], failure)
        return Sealed(message.run, ran=known.began)

    def cancel(self, message: Cancel) -> Accepted:
        """Stop a run, unless it is not idempotent; that one runs to its end."""
        active = self.book.active_by_id.get(message.run)
        if active is not None:
            self.scheduler.stop(active, 'cancelled')
        return Accepted()

    async def end_runs_of(
        self,
        holders: Iterable[Incarnation],
        *,
        grace_period_s: float,
    ) -> None:
        """End the runs that draw on these holders; return once none is open.

        :param grace_period_s: time before running requests are cancelled
        """
        fenced = frozenset(holders)
        self._seal_waiting(self._open_runs_of(fenced), Code.FENCED)
        if not await self._wait_for(fenced, grace_period_s):
            for active in self._open_runs_of(fenced):
                self.scheduler.stop(active, 'retired')
            await self._wait_for(fenced, None)

    async def close(self) -> tuple[RunId, ...]:
        """End every open run at once; return those that were interrupted."""
        self._seal_waiting(self.book.open_runs(), Code.LEAVING)
        interrupted = self.book.open_runs()
        for open_run in interrupted:
            await self.scheduler.abort(open_run)
        return tuple(active.run.id for active in interrupted)

    def _refusal_reason(self, dispatch: Dispatch) -> Failure | None:
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
            # Ended runs were evicted, and this may have been one of them.
            return self._parts.unknown_run(Code.UNKNOWN, SEAL_STEP)
        self.book.runs.mark_sealed(run)
        return Sealed(run, ran=False)

    def _open_runs_of(
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
            lambda: not self._open_runs_of(holders),
            limit_s,
        )


def _draws_on(run: Run, holders: frozenset[Incarnation]) -> bool:
    return any(draw.grant.holder in holders for draw in run.dispatch.draws)
