"""Answers, refuses or retries a request after an attempt has ended."""

import asyncio

from dandelioncleat.app.answer_reader import AnswerReader, ExecutorLost
from dandelioncleat.app.exchange import Exchange
from dandelioncleat.app.request_parts import RequestParts
from dandelioncleat.app.sealing import seal_run
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.message import Finished, Refusal
from dandelioncleat.core.request import AnswerEnd, RequestOutcome
from dandelioncleat.core.retry import RETRYABLE_CODES, backoff_s

ERROR_REASON = 'error'
MAX_ATTEMPTS = 5
SEALABLE_CODES = frozenset((Code.NOT_FOUND, Code.FENCED))


class AttemptResultHandler:
    """Ends or retries a request according to the result of an attempt.

    A request is retried if its run never began, or if it is idempotent and
    its caller has received nothing from the lost run.
    """

    def __init__(self, parts: RequestParts) -> None:
        """Take the router's components."""
        self._parts = parts

    async def handle_result(
        self, exchange: Exchange, reader: AnswerReader
    ) -> None:
        """Handle an attempt whose answer was read to its end."""
        match reader.ending:
            case Finished(complete=True) as finished:
                self._parts.settlement.finish(exchange, finished)
                exchange.end_event = self._answer_end(exchange, finished)
            case Finished() as finished:
                self._parts.settlement.finish(exchange, finished)
                await self._handle_incomplete(exchange, finished)
            case Refusal() as refusal:
                await self._handle_refusal(exchange, refusal)
            case ExecutorLost(sent=False) as lost:
                exchange.may_have_run = False
                self._parts.watch.mark_unreachable(
                    exchange.sent_permit.executor
                )
                await self._handle_not_run(exchange, lost.failure)
            case ExecutorLost() as lost:
                await self._handle_lost(exchange, lost.failure)

    async def handle_failure(
        self, exchange: Exchange, failure: Failure
    ) -> None:
        """Handle an attempt that failed before an answer was read."""
        if exchange.permit is None:
            self._parts.settlement.release(exchange)
            self._refuse(exchange, failure)
        else:
            await self._handle_lost(exchange, failure)

    async def _handle_incomplete(
        self, exchange: Exchange, finished: Finished
    ) -> None:
        # The run began, so the caller must not be told that it did not.
        exchange.may_have_run = True
        failure = Failure(
            Code.TARGET,
            'run',
            exchange.target,
            f'the run ended with an incomplete answer: {finished.reason}',
        )
        if finished.reason == ERROR_REASON:
            await self._handle_lost(exchange, failure)
        else:
            self._refuse(exchange, failure)

    async def _handle_refusal(
        self, exchange: Exchange, refusal: Refusal
    ) -> None:
        failure = _failure_of(refusal)
        if refusal.ran or refusal.code in SEALABLE_CODES:
            await self._seal_run(exchange, failure)
        elif refusal.code in RETRYABLE_CODES:
            exchange.may_have_run = False
            self._parts.watch.mark_full(exchange.sent_permit.executor)
            await self._handle_not_run(exchange, failure)
        else:
            exchange.may_have_run = False
            await self._report(exchange, ran=False)
            self._parts.settlement.release(exchange)
            self._refuse(exchange, failure)

    async def _seal_run(self, exchange: Exchange, failure: Failure) -> None:
        """Ask the executor to confirm that the run will never begin."""
        permit = exchange.sent_permit
        executor = self._parts.watch.join_of(permit.executor)
        sealed = False
        if executor is not None and exchange.delivered_bytes == 0:
            sealed = await seal_run(self._parts.peers, executor, permit.run)
        if sealed:
            exchange.may_have_run = False
            await self._handle_not_run(exchange, failure)
        else:
            await self._handle_lost(exchange, failure)

    async def _handle_not_run(
        self, exchange: Exchange, failure: Failure
    ) -> None:
        """Retry after a run that is known never to begin."""
        self._parts.settlement.release(exchange)
        await self._report(exchange, ran=False)
        await self._retry(exchange, failure)

    async def _handle_lost(self, exchange: Exchange, failure: Failure) -> None:
        """Retry or refuse after a run that may have begun was lost."""
        if not exchange.can_rerun:
            self._refuse(exchange, failure)
            return
        permit = exchange.sent_permit
        exchange.lost_runs += 1
        self._parts.watch.mark_unreachable(permit.executor)
        await self._report(exchange, ran=True)
        await self._retry(exchange, failure)

    async def _report(self, exchange: Exchange, *, ran: bool) -> None:
        run = exchange.sent_permit.run
        await self._parts.homes.report(run, status=0, ran=ran)

    async def _retry(self, exchange: Exchange, failure: Failure) -> None:
        now = asyncio.get_running_loop().time()
        is_exhausted = (
            exchange.attempts >= MAX_ATTEMPTS or now >= exchange.deadline
        )
        if is_exhausted or not self._parts.retries.take():
            self._refuse(exchange, failure)
            return
        self._parts.telemetry.count('router.retries')
        exchange.excluded_executors = (
            *exchange.excluded_executors,
            exchange.sent_permit.executor,
        )
        self._parts.settlement.settle_later(exchange)
        exchange.reset_attempt()
        await asyncio.sleep(backoff_s(exchange.attempts, self._parts.random))

    def _refuse(self, exchange: Exchange, failure: Failure) -> None:
        retry_after_s: float = 0
        if failure.code == Code.CAPACITY:
            service = exchange.request.service
            retry_after_s = self._parts.placement.retry_after_s(service)
        version = self._parts.configuration.current.version
        exchange.refuse(failure, version=version, retry_after_s=retry_after_s)

    def _answer_end(self, exchange: Exchange, finished: Finished) -> AnswerEnd:
        return AnswerEnd(
            RequestOutcome.ANSWERED,
            exchange.request.request,
            self._parts.configuration.current.version,
            target=exchange.target,
            status=finished.status,
            content_type=finished.content_type,
            reason=finished.reason,
            prompt_tokens=finished.prompt_tokens,
            output_tokens=finished.output_tokens,
            billed_tokens=finished.tokens,
        )


def _failure_of(refusal: Refusal) -> Failure:
    return Failure(refusal.code, refusal.step, refusal.peer, refusal.text)
