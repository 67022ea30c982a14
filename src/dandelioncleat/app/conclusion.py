"""Decides how a request goes on when an attempt to serve it has ended."""

import asyncio

from dandelioncleat.app.answer_reader import AnswerReader, Lost
from dandelioncleat.app.exchange import Exchange
from dandelioncleat.app.parts import Parts
from dandelioncleat.app.sealing import is_sealed
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.message import Finished, Refusal
from dandelioncleat.core.request import AnswerEnd, RequestOutcome
from dandelioncleat.core.retry import ELSEWHERE_CODES, backoff_s

ERROR_REASON = 'error'
MAX_ATTEMPTS = 5
SEALABLE_CODES = frozenset((Code.NOT_FOUND, Code.FENCED))


class Conclusion:
    """Answers, refuses or starts again, as is safe.

    A request starts again if its run never ran, or if it is idempotent and
    its caller has received nothing of the run that was lost.
    """

    def __init__(self, parts: Parts) -> None:
        """Take the parts of the router."""
        self._parts = parts

    async def conclude(self, exchange: Exchange, reader: AnswerReader) -> None:
        """End an attempt whose answer was read to its end."""
        match reader.ending:
            case Finished(complete=True) as finished:
                self._parts.settlement.finish(exchange, finished)
                exchange.end_event = self._answered(exchange, finished)
            case Finished() as finished:
                self._parts.settlement.finish(exchange, finished)
                await self._cut(exchange, finished)
            case Refusal() as refusal:
                await self._refused(exchange, refusal)
            case Lost(sent=False) as lost:
                exchange.may_run = False
                self._parts.watch.mark_lost(exchange.sent_permit.executor)
                await self._not_run(exchange, lost.failure)
            case Lost() as lost:
                await self._lose(exchange, lost.failure)

    async def recover(self, exchange: Exchange, failure: Failure) -> None:
        """End an attempt that did not come to read an answer."""
        if exchange.permit is None:
            self._parts.settlement.release(exchange)
            self._refuse(exchange, failure)
        else:
            await self._lose(exchange, failure)

    async def _cut(self, exchange: Exchange, finished: Finished) -> None:
        # It ran in part, so that its caller is never told that it did not.
        exchange.may_run = True
        failure = Failure(
            Code.TARGET,
            'run',
            exchange.target,
            f'the run was cut: {finished.reason}',
        )
        if finished.reason == ERROR_REASON:
            await self._lose(exchange, failure)
        else:
            self._refuse(exchange, failure)

    async def _refused(self, exchange: Exchange, refusal: Refusal) -> None:
        failure = _failure_of(refusal)
        if refusal.ran or refusal.code in SEALABLE_CODES:
            await self._seal(exchange, failure)
        elif refusal.code in ELSEWHERE_CODES:
            exchange.may_run = False
            self._parts.watch.mark_full(exchange.sent_permit.executor)
            await self._not_run(exchange, failure)
        else:
            exchange.may_run = False
            await self._report(exchange, ran=False)
            self._parts.settlement.release(exchange)
            self._refuse(exchange, failure)

    async def _seal(self, exchange: Exchange, failure: Failure) -> None:
        """Have the executor confirm that it will never run this run."""
        permit = exchange.sent_permit
        executor = self._parts.watch.join_of(permit.executor)
        sealed = False
        if executor is not None and exchange.delivered == 0:
            sealed = await is_sealed(self._parts.peers, executor, permit.run)
        if sealed:
            exchange.may_run = False
            await self._not_run(exchange, failure)
        else:
            await self._lose(exchange, failure)

    async def _not_run(self, exchange: Exchange, failure: Failure) -> None:
        """Go on after a run that is known never to run."""
        self._parts.settlement.release(exchange)
        await self._report(exchange, ran=False)
        await self._retry(exchange, failure)

    async def _lose(self, exchange: Exchange, failure: Failure) -> None:
        """Go on after a run that may have run and whose answer is lost."""
        if not exchange.can_rerun:
            self._refuse(exchange, failure)
            return
        permit = exchange.sent_permit
        exchange.lost_runs += 1
        self._parts.watch.mark_lost(permit.executor)
        await self._report(exchange, ran=True)
        await self._retry(exchange, failure)

    async def _report(self, exchange: Exchange, *, ran: bool) -> None:
        run = exchange.sent_permit.run
        await self._parts.homes.report(run, status=0, ran=ran)

    async def _retry(self, exchange: Exchange, failure: Failure) -> None:
        now = asyncio.get_running_loop().time()
        is_spent = exchange.attempts >= MAX_ATTEMPTS or now >= exchange.deadline
        if is_spent or not self._parts.retries.take():
            self._refuse(exchange, failure)
            return
        self._parts.telemetry.count('router.retries')
        exchange.excluded = (*exchange.excluded, exchange.sent_permit.executor)
        self._parts.settlement.leave(exchange)
        exchange.forget_attempt()
        await asyncio.sleep(backoff_s(exchange.attempts, self._parts.random))

    def _refuse(self, exchange: Exchange, failure: Failure) -> None:
        retry_after_s: float = 0
        if failure.code == Code.CAPACITY:
            service = exchange.request.service
            retry_after_s = self._parts.placement.retry_after_s(service)
        version = self._parts.configuration.current.version
        exchange.refuse(failure, version=version, retry_after_s=retry_after_s)

    def _answered(self, exchange: Exchange, finished: Finished) -> AnswerEnd:
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
