"""Settles the draws of a run by its end, whoever still waits for it."""

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
from dandelioncleat.app.sealing import is_sealed
from dandelioncleat.app.task_set import TaskSet
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import Cancel, Finished, Refusal, Resume
from dandelioncleat.core.record import Bill, Join
from dandelioncleat.ports.peer import Peers
from dandelioncleat.ports.telemetry import Telemetry

CANCEL_TIMEOUT_S = 2.0
END_WAIT_S = 10.0

Ending = Finished | Refusal | ExecutorLost | None


class Settlement:
    """Charges what a run consumed, or keeps its reservation charged.

    A run whose caller left is cancelled and what ran is billed. A run whose
    end is not learned stays charged until the executor's bill is read.
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
        """Take the parts of the router."""
        self._incarnation = incarnation
        self._budgets = budgets
        self._watch = watch
        self._peers = peers
        self._tasks = tasks
        self._telemetry = telemetry
        self._random = source

    def release(self, exchange: Exchange) -> None:
        """Give back the draws of a run that never begins."""
        if exchange.draws:
            self._budgets.settle(exchange.request.budget, exchange.draws, 0)
            exchange.draws = ()

    def finish(self, exchange: Exchange, finished: Finished) -> None:
        """Charge what a request's run consumed."""
        exchange.may_have_run = False
        holding = exchange.take_unsettled_run()
        if holding is not None:
            self._settle(holding, finished)

    def leave(self, exchange: Exchange) -> None:
        """Settle a run that may run still, in the background."""
        holding = exchange.take_unsettled_run()
        if holding is not None:
            self._tasks.start(self._wind_up(holding))

    def _settle(self, holding: UnsettledRun, finished: Finished) -> None:
        self._budgets.settle(holding.budget, holding.draws, finished.tokens)
        bill = Bill(
            holding.budget,
            holding.permit.run,
            holding.draws,
            finished.tokens,
            self._incarnation,
        )
        self._tasks.start(self._budgets.bill(bill))

    async def _wind_up(self, holding: UnsettledRun) -> None:
        ending: Ending = None
        executor = self._watch.join_of(holding.permit.executor)
        if executor is not None:
            with suppress(FailureError):
                ending = await self._read_end(holding, executor)
        if isinstance(ending, Finished):
            self._settle(holding, ending)
        elif await self._never_runs(holding, executor, ending):
            self._budgets.settle(holding.budget, holding.draws, 0)
        else:
            self._telemetry.count('router.forfeited_runs')
            self._budgets.forfeit(
                holding.budget,
                holding.draws,
                run=holding.permit.run,
            )

    async def _never_runs(
        self,
        holding: UnsettledRun,
        executor: Join | None,
        ending: Ending,
    ) -> bool:
        if not isinstance(ending, Refusal) or executor is None or ending.ran:
            return False
        return await is_sealed(self._peers, executor, holding.permit.run)

    async def _read_end(self, holding: UnsettledRun, executor: Join) -> Ending:
        run = holding.permit.run
        if holding.is_cancelled:
            await self._peers.call(
                executor.address,
                Cancel(run),
                timeout_s=CANCEL_TIMEOUT_S,
            )
        now = asyncio.get_running_loop().time()
        reading = AnswerSource(
            run,
            executor,
            now + END_WAIT_S,
            False,
            lambda: self._watch.join_of(executor.incarnation) is not None,
            traceparent='',
        )
        reader = AnswerReader(
            reading,
            peers=self._peers,
            telemetry=self._telemetry,
            source=self._random,
        )
        reader.position = holding.delivered_bytes
        pieces = reader.read(
            Resume(run, executor.incarnation, holding.delivered_bytes),
        )
        async with aclosing(pieces):  # type: ignore[type-var]
            async for piece in pieces:
                self._telemetry.count('router.unread_bytes', len(piece.data))
        return reader.ending
