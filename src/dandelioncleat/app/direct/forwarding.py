"""Passes a request on to a router whose host holds tokens for it.

It answers the load of a budget whose tokens are unevenly spread while the
store can't move them: behind a cut, or close to the budget's end.
"""

import asyncio

import structlog

from dandelioncleat.app.direct.process_directory import ProcessDirectory
from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.app.direct.wallet import Wallet
from dandelioncleat.core.direct_request import (
    CompleteResponse,
    DirectRefusal,
    RefusalReason,
)
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.host_holdings import TokenNeed
from dandelioncleat.ports.direct_caller import Reply
from dandelioncleat.ports.direct_target import (
    CONNECT_STEP,
    DirectTargets,
    TargetAnswer,
)

# Each further router costs the caller a round trip.
MOST_ROUTERS = 2

_logger = structlog.get_logger(__name__)


class Forwarding:
    """Tries the routers that seem to hold enough, one after the other."""

    def __init__(
        self,
        processes: ProcessDirectory,
        *,
        wallet: Wallet,
        targets: DirectTargets,
    ) -> None:
        """Take the processes of the fleet and what reaches routers."""
        self._processes = processes
        self._wallet = wallet
        self._targets = targets

    async def forward(
        self, context: RunContext, need: TokenNeed, reply: Reply
    ) -> DirectRefusal | None:
        """Have another router answer; return why none did.

        A request that came from another router is not passed on again.
        """
        refusal: DirectRefusal | None = DirectRefusal(
            RefusalReason.NO_TOKENS_HERE
        )
        if context.request.is_forwarded:
            return refusal
        hosts = self._wallet.others_with(need)
        entries = self._processes.other_routers_by_host
        known = [entries[host] for host in hosts if host in entries]
        for entry in known[:MOST_ROUTERS]:
            refusal = await self._try(context, entry.address, reply)
            _logger.info(
                'request forwarded',
                request=context.request.id,
                router=entry.host,
                refusal=None if refusal is None else refusal.reason,
                passed_ms=int(1000 * context.passed_s),
            )
            if refusal is None or refusal.has_run:
                return refusal
        return refusal

    async def _try(
        self, context: RunContext, address: str, reply: Reply
    ) -> DirectRefusal | None:
        passing = self._targets.forward(
            context.request, address, remaining_s=context.left_s
        )
        try:
            async with asyncio.timeout_at(context.answer_by) as timer:
                async with passing as answer:
                    return await _take(context, answer, reply, timer)
        except TimeoutError:
            return await _broken(context, reply, RefusalReason.NOT_IN_TIME)
        except FailureError as error:
            if error.failure.step == CONNECT_STEP:
                return DirectRefusal(RefusalReason.NO_TOKENS_HERE)
            return await _broken(context, reply, RefusalReason.ANSWER_LOST)


async def _take(
    context: RunContext,
    answer: TargetAnswer,
    reply: Reply,
    timer: asyncio.Timeout,
) -> DirectRefusal | None:
    if answer.refusal is not None:
        return answer.refusal
    if not answer.is_stream:
        body = b''.join([data async for data in answer.chunks()])
        await reply.send_complete(CompleteResponse(answer.head, body))
        return None
    timer.reschedule(context.deadline)
    context.has_begun = True
    await reply.begin(answer.head)
    async for data in answer.chunks():
        await reply.write(data)
    await reply.finish()
    return None


async def _broken(
    context: RunContext, reply: Reply, reason: RefusalReason
) -> DirectRefusal | None:
    if not context.has_begun:
        return DirectRefusal(reason, has_run=True)
    await reply.abort()
    return None
