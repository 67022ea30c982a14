"""Settles the draws of a run by its end, even after the caller left."""

import asyncio
import random
from contextlib import aclosing, suppress

from dandelioncleat.app.answer_reader import (
    AnswerReader,
    AnswerSource,
    ExecutorLost,
)
from dandelioncleat.app.budgets import Budgets
from dandelioncleat.app.exchange import Exchange, UnsettledRun
from dandelioncleat.app.load_watch import LoadWatch
from dandelioncleat.app.sealing import seal_run
from dandelioncleat.app.task_set import TaskSet
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import Cancel, Finished, Refusal, Resume
from dandelioncleat.core.record import Bill, Join
from dandelioncleat.ports.peer import Peers
from dandelioncleat.ports.telemetry import Telemetry

CANCEL_TIMEOUT_S = 2.0
END_WAIT_S = 10.0

ReadEnding = Finished | Refusal | ExecutorLost | None


class Settlement:
    """Charges what a run consumed, or keeps its reservation charged.

    If the caller left, the run is cancelled and billed for what it used. If
    the end of a run is unknown, its reservation stays charged until the
    executor's bill is read.
    """

    def __init__(
        self,
        *,
        incarnation: Incarnation,
        budgets: Budgets,
        watch: LoadWatch,
        peers: Peers,
        tasks: TaskSet,
        telemetry: Telemetry,
        source: random.Random,
    ) -> None:
        """Take the router's components."""
        self._incarnation = incarnation
        self._budgets = budgets
        self._watch = watch
        self._peers = peers
        self._tasks = tasks
        self._telemetry = telemetry
        self._random = source

    def release(self, exchange: Exchange) -> None:
        """Return the draws of a run that never begins."""
        if exchange.draws:
            self._budgets.settle(exchange.request.budget, exchange.draws, 0)
            exchange.draws = ()

    def finish(self, exchange: Exchange, finished: Finished) -> None:
        """Charge what a request's run consumed."""
        exchange.may_have_run = False
        unsettled = exchange.take_unsettled_run()
        if unsettled is not None:
            self._settle(unsettled, finished)

    def settle_later(self, exchange: Exchange) -> None:
        """Settle a run that may still be running, in the background."""
        unsettled = exchange.take_unsettled_run()
        if unsettled is not None:
            self._tasks.start(self._settle_by_end(unsettled))

    def _settle(self, unsettled: UnsettledRun, finished: Finished) -> None:
        self._budgets.settle(unsettled.budget, unsettled.draws, finished.tokens)
        bill = Bill(
            unsettled.budget,
            unsettled.permit.run,
            unsettled.draws,
            finished.tokens,
            self._incarnation,
        )
        self._tasks.start(self._budgets.bill(bill))

    async def _settle_by_end(self, unsettled: UnsettledRun) -> None:
        ending: ReadEnding = None
        executor = self._watch.join_of(unsettled.permit.executor)
        if executor is not None:
            with suppress(FailureError):
                ending = await self._read_end(unsettled, executor)
        if isinstance(ending, Finished):
            self._settle(unsettled, ending)
        elif await self._can_never_run(unsettled, executor, ending):
            self._budgets.settle(unsettled.budget, unsettled.draws, 0)
        else:
            self._telemetry.count('router.forfeited_runs')
            self._budgets.forfeit(
                unsettled.budget,
                unsettled.draws,
                run=unsettled.permit.run,
            )

    async def _can_never_run(
        self,
        unsettled: UnsettledRun,
        executor: Join | None,
        ending: ReadEnding,
    ) -> bool:
        if not isinstance(ending, Refusal) or executor is None or ending.ran:
            return False
        return await seal_run(self._peers, executor, unsettled.permit.run)

    async def _read_end(
        self, unsettled: UnsettledRun, executor: Join
    ) -> ReadEnding:
        run = unsettled.permit.run
        if unsettled.is_cancelled:
            await self._peers.call(
                executor.address,
                Cancel(run),
                timeout_s=CANCEL_TIMEOUT_S,
            )
        now = asyncio.get_running_loop().time()
        answer_source = AnswerSource(
            run,
            executor,
            now + END_WAIT_S,
            False,
            lambda: self._watch.join_of(executor.incarnation) is not None,
            traceparent='',
        )
        reader = AnswerReader(
            answer_source,
            peers=self._peers,
            telemetry=self._telemetry,
            source=self._random,
        )
        reader.position = unsettled.delivered_bytes
        pieces = reader.read(
            Resume(run, executor.incarnation, unsettled.delivered_bytes),
        )
        async with aclosing(pieces):  # type: ignore[type-var]
            async for piece in pieces:
                self._telemetry.count('router.unread_bytes', len(piece.data))
        return reader.ending
