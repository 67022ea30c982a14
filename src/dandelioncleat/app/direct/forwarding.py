"""Forwards a request to a router whose host holds enough tokens for it.

This serves budgets whose tokens are unevenly spread over the hosts and can't
be moved, because the store is unreachable or the budget is nearly spent.
Both routers must have the same version of the configuration: an older one
would refuse what is allowed now, or run it where it ran before.
"""

import asyncio

import structlog

from dandelioncleat.app.direct.admission import Admission
from dandelioncleat.app.direct.answer_body import read_body
from dandelioncleat.app.direct.process_directory import (
    ProcessDirectory,
    ProcessEntry,
)
from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.app.direct.stream_relay import relay_stream
from dandelioncleat.app.direct.target_directory import (
    TargetDirectory,
    state_of_start,
)
from dandelioncleat.app.direct.topic_age import rounded_age_s
from dandelioncleat.app.direct.wallet import Wallet
from dandelioncleat.core.direct_request import (
    CompleteResponse,
    DirectRefusal,
    DirectRequest,
    RefusalReason,
)
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.host_holdings import TokenNeed
from dandelioncleat.core.peer_backoff import PeerBackoff
from dandelioncleat.core.target_notice import TargetNotice
from dandelioncleat.ports.direct_caller import Reply
from dandelioncleat.ports.direct_target import (
    CONNECT_STEP,
    DirectTargets,
    TargetAnswer,
)

# Each router that is tried costs the caller a round trip.
MAX_FORWARDS = 2
# A router that had too few tokens for a request is tried last for this time.
AVOID_S = 0.3
# A router that refuses for one of these reasons can't serve other requests now.
_OVERLOADED = frozenset(
    (
        RefusalReason.CONFIGURATION_BEHIND,
        RefusalReason.NOT_IN_TIME,
        RefusalReason.NO_MEMORY,
        RefusalReason.STOPPING,
    )
)

_logger = structlog.get_logger(__name__)


class Forwarding:
    """Tries the routers that hold enough tokens, one after the other."""

    def __init__(
        self,
        processes: ProcessDirectory,
        *,
        admission: Admission,
        wallet: Wallet,
        targets: DirectTargets,
        directory: TargetDirectory,
    ) -> None:
        """Initialise with the known processes and a client to call them.

        :param directory: is told which targets leave
        """
        self._processes = processes
        self._admission = admission
        self._wallet = wallet
        self._targets = targets
        self._directory = directory
        self._avoid_until_by_host: dict[str, float] = {}
        self._backoff = PeerBackoff()

    async def forward(
        self, context: RunContext, need: TokenNeed, reply: Reply
    ) -> DirectRefusal | None:
        """Let another router answer; return the refusal if none did.

        A request that was forwarded once is not forwarded again.
        """
        refusal: DirectRefusal | None = DirectRefusal(
            RefusalReason.NO_TOKENS_HERE
        )
        if context.request.is_forwarded:
            return refusal
        for entry in self._routers_with_tokens(need)[:MAX_FORWARDS]:
            refusal = await self._forward_at_one_version(context, entry, reply)
            if refusal is None or refusal.has_run:
                return refusal
        return refusal

    async def _forward_at_one_version(
        self, context: RunContext, entry: ProcessEntry, reply: Reply
    ) -> DirectRefusal | None:
        """Forward a request, once more if only this router was behind."""
        sent_version = self._admission.version
        refusal = await self._forward_to(context, entry, reply)
        self._note_end(context, entry, refusal)
        if refusal is None or not _is_ahead(refusal):
            return refusal
        if not await self._admission.catch_up(sent_version):
            return refusal
        refusal = await self._forward_to(context, entry, reply)
        self._note_end(context, entry, refusal)
        return refusal

    def _note_end(
        self,
        context: RunContext,
        entry: ProcessEntry,
        refusal: DirectRefusal | None,
    ) -> None:
        _note_arrivals(context, refusal)
        self._note_backoff(entry.host, refusal)
        _logger.info(
            'request forwarded',
            request=context.request.id,
            router=entry.host,
            refusal=None if refusal is None else refusal.reason,
            arrivals=context.arrivals,
            version=self._admission.version,
            version_age_s=rounded_age_s(self._admission.topic),
            passed_ms=int(1000 * context.elapsed_s),
        )

    def _note_backoff(self, host: str, refusal: DirectRefusal | None) -> None:
        """Note how a router has answered, for what may be sent to it next."""
        if refusal is None:
            self._backoff.note_success(host)
        elif refusal.reason in _OVERLOADED:
            self._backoff.note_failure(host, _now())
        elif refusal.reason is RefusalReason.NO_TOKENS_HERE:
            self._avoid_until_by_host[host] = _now() + AVOID_S

    def _routers_with_tokens(self, need: TokenNeed) -> list[ProcessEntry]:
        """Return the routers that can cover a request, in order of trial."""
        now = _now()
        entries = self._processes.other_routers_by_host
        known = [
            entries[host]
            for host in self._wallet.hosts_with_tokens(need)
            if host in entries and not self._backoff.is_paused(host, now)
        ]
        known.sort(
            key=lambda each: self._avoid_until_by_host.get(each.host, 0) > now
        )
        return known

    async def _forward_to(
        self, context: RunContext, entry: ProcessEntry, reply: Reply
    ) -> DirectRefusal | None:
        forwarded = self._targets.forward(
            _forwarded_request(context, self._admission.version),
            entry.address,
            remaining_s=context.remaining_s,
        )
        _begin_forward(context)
        try:
            async with asyncio.timeout_at(context.answer_by) as timer:
                async with forwarded as answer:
                    _note_leaving(answer, self._directory)
                    return await _relay_answer(
                        context, answer, reply, timer=timer, peer=entry.host
                    )
        except TimeoutError:
            return await _end_broken(context, reply, RefusalReason.NOT_IN_TIME)
        except FailureError as error:
            if error.failure.step == CONNECT_STEP:
                self._backoff.note_failure(entry.host, _now())
                context.note_not_run()
                return DirectRefusal(RefusalReason.NO_TOKENS_HERE)
            _logger.info(
                'forwarded answer lost',
                request=context.request.id,
                router=entry.host,
                detail=error.failure.text,
                close_delimited=context.is_close_delimited,
            )
            return await _end_broken(context, reply, RefusalReason.ANSWER_LOST)


def _begin_forward(context: RunContext) -> None:
    """Note that the targets of another router may run a request from now on."""
    context.answer_head = None
    context.earlier_may_have_run = context.may_have_run
    context.may_have_run = True


def _forwarded_request(
    context: RunContext, version: int | None
) -> DirectRequest:
    arrivals = context.arrivals if context.is_counted else None
    return context.request._replace(
        earlier_arrivals=arrivals, sender_version=version
    )


def _is_ahead(refusal: DirectRefusal) -> bool:
    return refusal.reason is RefusalReason.CONFIGURATION_AHEAD


def _note_arrivals(context: RunContext, refusal: DirectRefusal | None) -> None:
    """Note how often a router that refused a request has sent it."""
    if refusal is not None and refusal.arrivals is not None:
        context.is_counted = True
        context.arrivals = refusal.arrivals


def _note_leaving(answer: TargetAnswer, directory: TargetDirectory) -> None:
    """Note that the target leaves to which the other router has sent."""
    if answer.refusal is not None or not answer.notice.is_leaving:
        return
    start = answer.head.target_start
    if start is None:
        return
    state = state_of_start(directory, start)
    if state is not None:
        state.wishes.apply(TargetNotice(is_leaving=True), _now())


async def _relay_answer(
    context: RunContext,
    answer: TargetAnswer,
    reply: Reply,
    *,
    timer: asyncio.Timeout,
    peer: str,
) -> DirectRefusal | None:
    if answer.refusal is not None:
        if not answer.refusal.has_run:
            context.note_not_run()
        return answer.refusal
    context.answer_head = answer.head
    if not answer.is_stream:
        held = context.held.begin(peer)
        body = await read_body(answer, peer=peer, held=held)
        context.sent_head = answer.head
        await reply.send_complete(CompleteResponse(answer.head, body))
        return None
    timer.reschedule(context.deadline)
    await relay_stream(context, answer, reply, peer=peer)
    return None


async def _end_broken(
    context: RunContext, reply: Reply, reason: RefusalReason
) -> DirectRefusal | None:
    if not context.has_sent_head:
        return DirectRefusal(reason, has_run=True)
    await reply.abort()
    return None


def _now() -> float:
    return asyncio.get_running_loop().time()
