"""Carries one run to the target and back, to whatever end."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing, suppress

from dandelioncleat.app._target_answer import (
    ERROR_REASON,
    Broken,
    Halted,
    TargetAnswer,
    Whole,
    broken_ending,
    ending_of,
    is_whole,
    never_reached,
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
    """Runs orders at one target."""

    def __init__(
        self,
        *,
        client: TargetClient,
        crashes: CrashWatch,
        tasks: TaskScope,
        fence: Callable[[], int],
    ) -> None:
        """Take the target, its crashes and its fencing number."""
        self._tasks = tasks
        self._client = client
        self._crashes = crashes
        self._fence = fence

    async def execute(self, active: ActiveRun, service: Service) -> None:
        """Run an order that has started until the run has ended."""
        answer = await self._consume(active)
        match answer:
            case Whole(ended):
                _conclude(active, ended, service)
            case Broken(failure) if never_reached(failure):
                active.run.seal(failure)
            case Broken(failure):
                await self._break_off(active, service, failure)
            case Halted():
                await self._give_up(active, service)

    async def halt(self, active: ActiveRun, reason: str) -> None:
        """Have the target stop a run; give it up if it does not."""
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

    async def _consume(self, active: ActiveRun) -> TargetAnswer:
        try:
            return Whole(await self._read(active))
        except FailureError as error:
            return Broken(error.failure)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if not active.stop_reason or task is None:
                raise
            task.uncancel()
            return Halted()

    async def _read(self, active: ActiveRun) -> Ended:
        run = active.run
        call = target_call(run.dispatch, self._fence())
        events = self._client.run(call)
        async with aclosing(events):  # type: ignore[type-var]
            async for event in events:
                if isinstance(event, Ended):
                    return event
                self._take(active, event)
        raise FailureError(
            Failure(
                Code.TARGET,
                'read',
                run.dispatch.executor,
                'the answer ended without its end',
            ),
        )

    def _take(self, active: ActiveRun, piece: Piece) -> None:
        answer = active.run.answer
        cap = active.run.dispatch.cap
        if piece.tokens and answer.tokens + piece.tokens > cap:
            self._halt_soon(active, LENGTH_REASON)
        elif answer.size + len(piece.data) > MAX_ANSWER_BYTES:
            self._halt_soon(active, TOO_LARGE_REASON)
        elif piece.data:
            answer.add(piece.data, piece.tokens)
            active.notify()

    def _halt_soon(self, active: ActiveRun, reason: str) -> None:
        if not active.stop_reason:
            active.halting = self._tasks.spawn(self.halt(active, reason))

    async def _break_off(
        self,
        active: ActiveRun,
        service: Service,
        failure: Failure,
    ) -> None:
        await self._crashes.report_broken_answer(active.run.dispatch.digest)
        ended = await self._final_counts(active)
        if ended is not None:
            counted = ending_of(active.run, ended, service, ERROR_REASON)
            active.run.cut(counted)
            return
        prompt_tokens = await self._count_prompt(active, service)
        ending = broken_ending(
            active.run,
            service,
            prompt_tokens=prompt_tokens,
            reason=ERROR_REASON,
        )
        active.run.cut(ending)

    async def _give_up(self, active: ActiveRun, service: Service) -> None:
        ended = await self._final_counts(active)
        if ended is None:
            prompt_tokens = await self._count_prompt(active, service)
            give_up(active, service, prompt_tokens=prompt_tokens)
            return
        reason = active.stop_reason or ERROR_REASON
        active.run.cancel(ending_of(active.run, ended, service, reason))

    async def _final_counts(self, active: ActiveRun) -> Ended | None:
        """Ask the target for what it ran; its stream was not read to the end.

        The client bounds the wait.
        """
        try:
            return await self._client.cancel(active.run.id)
        except FailureError:
            return None

    async def _count_prompt(self, active: ActiveRun, service: Service) -> int:
        """Count a prompt; its bound holds where the target cannot say."""
        dispatch = active.run.dispatch
        if service.kind is ServiceKind.PLAIN:
            return 0
        call = target_call(dispatch, self._fence())
        counted = None
        with suppress(FailureError, TimeoutError):
            async with asyncio.timeout(COUNT_TIMEOUT_S):
                counted = await self._client.count_tokens(call)
        return dispatch.prompt_bound if counted is None else counted


def give_up(
    active: ActiveRun,
    service: Service,
    *,
    prompt_tokens: int,
) -> None:
    """End a run that the target did not stop in time."""
    ending = broken_ending(
        active.run,
        service,
        prompt_tokens=prompt_tokens,
        reason=active.stop_reason or ERROR_REASON,
    )
    active.run.cancel(ending)


def _conclude(active: ActiveRun, ended: Ended, service: Service) -> None:
    run = active.run
    match active.stop_reason:
        case 'length':
            run.finish(ending_of(run, ended, service, LENGTH_REASON))
        case 'too_large':
            run.cut(ending_of(run, ended, service, TOO_LARGE_REASON))
        case _ if is_whole(ended):
            run.finish(ending_of(run, ended, service, ended.reason))
        case '':
            run.cut(ending_of(run, ended, service, ERROR_REASON))
        case reason:
            run.cancel(ending_of(run, ended, service, reason))
