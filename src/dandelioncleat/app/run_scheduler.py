"""Starts runs when the target has free slots, ends and bills them."""

import asyncio

from dandelioncleat.app._target_outcome import bill_of
from dandelioncleat.app._target_runner import TargetRunner, end_abandoned
from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app.active_run import ActiveRun
from dandelioncleat.app.crash_watch import CrashWatch
from dandelioncleat.app.executor_parts import ExecutorParts
from dandelioncleat.app.run_book import RunBook
from dandelioncleat.core.configuration import Service, ServiceKind
from dandelioncleat.core.dispatch_check import start_failure
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.message import Dispatch
from dandelioncleat.core.run import Run, RunState
from dandelioncleat.core.run_queue import RunQueue

NON_IDEMPOTENT_GRACE_S = 30.0
MS_PER_S = 1000


class RunScheduler:
    """Schedules runs on the target's slots."""

    def __init__(
        self,
        parts: ExecutorParts,
        crashes: CrashWatch,
        tasks: TaskScope,
    ) -> None:
        """Take the executor's components."""
        self._fence = 0
        self.book = RunBook(
            parts.identity.incarnation,
            on_abandoned=self.stop,
        )
        self._parts = parts
        self._crashes = crashes
        self._tasks = tasks
        self._queue = RunQueue()
        self._is_closed = False
        self._runner = TargetRunner(
            client=parts.client,
            crashes=crashes,
            tasks=tasks,
            fence=lambda: self._fence,
        )

    def set_fence(self, number: int) -> None:
        """Send this fencing number with each call from now on."""
        self._fence = number

    def is_full(self, service: Service) -> bool:
        """Return whether neither a slot nor a place in the queue is free."""
        if self.book.runs.running < self._parts.slots():
            return False
        return len(self._queue) >= service.queue_limit

    def accept(self, dispatch: Dispatch, traceparent: str) -> ActiveRun:
        """Queue a dispatch and start it if a slot is free."""
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + dispatch.deadline_ms / MS_PER_S
        active = ActiveRun(
            Run(dispatch),
            deadline_at=deadline_at,
            traceparent=traceparent,
        )
        self.book.add(active)
        self._queue.push(active.run)
        timer = loop.call_at(deadline_at, self._handle_deadline, active)
        active.timers.append(timer)
        self.fill()
        return active

    def fill(self) -> None:
        """Start runs while the target has slots."""
        while not self._is_closed:
            if self.book.runs.running >= self._parts.slots():
                return
            run = self._queue.pop(self._can_start)
            if run is None:
                return
            active = self.book.active_by_id[run.id]
            # The checks made when the run was queued may no longer hold.
            orders = self._parts.orders(self._crashes.is_poison)
            failure = start_failure(run.dispatch, orders)
            if failure is None:
                self._start(active)
            else:
                self.seal(active, failure)

    def seal(self, active: ActiveRun, failure: Failure) -> None:
        """End a run that has not started."""
        active.run.seal(failure)
        self._end(active)

    def stop(self, active: ActiveRun, reason: str = 'abandoned') -> None:
        """Stop a run, unless it has begun and is not idempotent."""
        run = active.run
        if run.state is RunState.DISPATCHED:
            self.seal(active, self._parts.failure(Code.SEALED, reason))
        elif run.is_open and run.dispatch.idempotent:
            self._stop_started(active, reason)

    async def abort(self, active: ActiveRun) -> None:
        """End a run at once, without waiting for the target."""
        active.stop_reason = active.stop_reason or 'stopped'
        if active.task is not None:
            active.task.cancel()
            await asyncio.gather(active.task, return_exceptions=True)

    def _can_start(self, run: Run) -> bool:
        """Run one crash suspect at a time, so that a crash identifies it."""
        if not self._crashes.is_suspect(run.dispatch.digest):
            return True
        return not any(
            other.began and self._crashes.is_suspect(other.dispatch.digest)
            for other in self.book.runs.open_by_id.values()
        )

    def _start(self, active: ActiveRun) -> None:
        active.run.start()
        self._parts.telemetry.count('sidecar.runs_started')
        active.task = self._tasks.spawn(self._execute(active))
        self.book.note_change()

    async def _execute(self, active: ActiveRun) -> None:
        service = self._parts.service()
        if service is None:
            service = Service(self._parts.identity.service, ServiceKind.MODEL)
        started_at = asyncio.get_running_loop().time()
        try:
            with self._parts.telemetry.span(
                'target',
                traceparent=active.traceparent,
                target=self._parts.identity.target,
            ):
                await self._runner.execute(active, service)
        except asyncio.CancelledError:
            if not active.stop_reason:
                # The process is ending; no further run may start.
                self._is_closed = True
                raise
            bound = active.run.dispatch.prompt_bound
            end_abandoned(active, service, prompt_tokens=bound)
        took_s = asyncio.get_running_loop().time() - started_at
        self._parts.telemetry.observe('sidecar.run_s', took_s)
        self._end(active)

    def _end(self, active: ActiveRun) -> None:
        run = active.run
        self.book.end(active)
        bill = bill_of(run, self._parts.identity.incarnation)
        if bill is not None:
            self._parts.bills.submit(bill)
            self._parts.telemetry.count('sidecar.tokens_billed', bill.tokens)
        self._parts.telemetry.count('sidecar.runs_ended', state=run.state.value)
        self._parts.on_ended(run)
        self.book.note_change()
        self.fill()

    def _stop_started(self, active: ActiveRun, reason: str) -> None:
        if self._is_closed or not active.run.is_open:
            return
        if not active.stop_reason:
            active.stop_task = self._tasks.spawn(
                self._runner.stop(active, reason),
            )

    def _handle_deadline(self, active: ActiveRun) -> None:
        run = active.run
        if run.state is RunState.DISPATCHED:
            text = 'the deadline has passed'
            self.seal(active, self._parts.failure(Code.DEADLINE, text))
        elif run.dispatch.idempotent:
            self._stop_started(active, 'deadline')
        else:
            timer = asyncio.get_running_loop().call_later(
                NON_IDEMPOTENT_GRACE_S,
                self._stop_started,
                active,
                'deadline',
            )
            active.timers.append(timer)
