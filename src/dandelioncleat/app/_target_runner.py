"""Executes runs at the target, until they end in any way."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing, suppress

from dandelioncleat.app._target_outcome import (
    ERROR_REASON,
    Abandoned,
    Completed,
    Interrupted,
    TargetOutcome,
    cannot_have_run,
    estimated_ending,
    is_complete,
    reported_ending,
    target_call,
)
from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app.active_run import ActiveRun
from dandelioncleat.app.crash_watch import CrashWatch
from dandelioncleat.core.configuration import Service, ServiceKind
from dandelioncleat.core.failure import Code, Failure, FailureError
from dandelioncleat.ports.target import Ended, Piece, TargetClient

CANCEL_TIMEOUT_S = 2.0
COUNT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
LENGTH_REASON = 'length'
TOO_LARGE_REASON = 'too_large'


class TargetRunner:
    """Executes dispatched runs at one target."""

    def __init__(
        self,
        *,
        client: TargetClient,
        crashes: CrashWatch,
        tasks: TaskScope,
        fence: Callable[[], int],
    ) -> None:
        """Take the target's client, crash watch and fencing number."""
        self._tasks = tasks
        self._client = client
        self._crashes = crashes
        self._fence = fence

    async def execute(self, active: ActiveRun, service: Service) -> None:
        """Execute a started run until it has ended."""
        answer = await self._call_target(active)
        match answer:
            case Completed(ended):
                _end_completed(active, ended, service)
            case Interrupted(failure) if cannot_have_run(failure):
                active.run.seal(failure)
            case Interrupted(failure):
                await self._end_interrupted(active, service, failure)
            case Abandoned():
                await self._end_abandoned(active, service)

    async def stop(self, active: ActiveRun, reason: str) -> None:
        """Ask the target to stop a run; abandon the call if it does not."""
        if active.stop_reason:
            return
        active.stop_reason = reason
        with suppress(FailureError, TimeoutError):
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                await self._client.cancel(active.run.id)
        task = active.task
        if task is None:
            return
        await asyncio.wait((task,), timeout=CANCEL_TIMEOUT_S)
        if not task.done() and active.run.is_open:
            task.cancel()

    async def _call_target(self, active: ActiveRun) -> TargetOutcome:
        try:
            return Completed(await self._read(active))
        except FailureError as error:
            return Interrupted(error.failure)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if not active.stop_reason or task is None:
                raise
            task.uncancel()
            return Abandoned()

    async def _read(self, active: ActiveRun) -> Ended:
        run = active.run
        call = target_call(run.dispatch, self._fence())
        events = self._client.run(call)
        async with aclosing(events):  # type: ignore[type-var]
            async for event in events:
                if isinstance(event, Ended):
                    return event
                self._add_piece(active, event)
        raise FailureError(
            Failure(
                Code.TARGET,
                'read',
                run.dispatch.executor,
                'the answer ended without an end event',
            ),
        )

    def _add_piece(self, active: ActiveRun, piece: Piece) -> None:
        answer = active.run.answer
        cap = active.run.dispatch.cap
        if piece.tokens and answer.tokens + piece.tokens > cap:
            self._stop_soon(active, LENGTH_REASON)
        elif answer.size + len(piece.data) > MAX_ANSWER_BYTES:
            self._stop_soon(active, TOO_LARGE_REASON)
        elif piece.data:
            answer.add(piece.data, piece.tokens)
            active.notify()

    def _stop_soon(self, active: ActiveRun, reason: str) -> None:
        if not active.stop_reason:
            active.stop_task = self._tasks.spawn(self.stop(active, reason))

    async def _end_interrupted(
        self,
        active: ActiveRun,
        service: Service,
        failure: Failure,
    ) -> None:
        await self._crashes.report_broken_answer(active.run.dispatch.digest)
        ended = await self._final_counts(active)
        if ended is not None:
            counted = reported_ending(active.run, ended, service, ERROR_REASON)
            active.run.cut(counted)
            return
        prompt_tokens = await self._count_prompt(active, service)
        ending = estimated_ending(
            active.run,
            service,
            prompt_tokens=prompt_tokens,
            reason=ERROR_REASON,
        )
        active.run.cut(ending)

    async def _end_abandoned(self, active: ActiveRun, service: Service) -> None:
        ended = await self._final_counts(active)
        if ended is None:
            prompt_tokens = await self._count_prompt(active, service)
            end_abandoned(active, service, prompt_tokens=prompt_tokens)
            return
        reason = active.stop_reason or ERROR_REASON
        active.run.cancel(reported_ending(active.run, ended, service, reason))

    async def _final_counts(self, active: ActiveRun) -> Ended | None:
        """Cancel the run at the target and return its final token counts.

        Its stream was not read to the end. The client bounds the wait.
        """
        try:
            return await self._client.cancel(active.run.id)
        except FailureError:
            return None

    async def _count_prompt(self, active: ActiveRun, service: Service) -> int:
        """Return a prompt's tokens, or their bound if the target fails."""
        dispatch = active.run.dispatch
        if service.kind is ServiceKind.PLAIN:
            return 0
        call = target_call(dispatch, self._fence())
        counted = None
        with suppress(FailureError, TimeoutError):
            async with asyncio.timeout(COUNT_TIMEOUT_S):
                counted = await self._client.count_tokens(call)
        return dispatch.prompt_bound if counted is None else counted


def end_abandoned(
    active: ActiveRun,
    service: Service,
    *,
    prompt_tokens: int,
) -> None:
    """End a run that the target did not stop in time."""
    ending = estimated_ending(
        active.run,
        service,
        prompt_tokens=prompt_tokens,
        reason=active.stop_reason or ERROR_REASON,
    )
    active.run.cancel(ending)


def _end_completed(active: ActiveRun, ended: Ended, service: Service) -> None:
    run = active.run
    match active.stop_reason:
        case 'length':
            run.finish(reported_ending(run, ended, service, LENGTH_REASON))
        case 'too_large':
            run.cut(reported_ending(run, ended, service, TOO_LARGE_REASON))
        case _ if is_complete(ended):
            run.finish(reported_ending(run, ended, service, ended.reason))
        case '':
            run.cut(reported_ending(run, ended, service, ERROR_REASON))
        case reason:
            run.cancel(reported_ending(run, ended, service, reason))
