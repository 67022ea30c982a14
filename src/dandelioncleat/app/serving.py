"""Admits requests and records how they end."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing

from dandelioncleat.app.dispatching import Dispatcher
from dandelioncleat.app.exchange import Exchange
from dandelioncleat.app.request_parts import RequestParts
from dandelioncleat.app.router_life import RouterLife
from dandelioncleat.core.admission import RunningCounts
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.request import AnswerEvent, CallerRequest

VERSION_WAIT_S = 2.0


class Serving:
    """Serves requests; ``idle`` is set while none is open."""

    def __init__(self, life: RouterLife, parts: RequestParts) -> None:
        """Take the router's lifecycle and components."""
        self.open_requests = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self._life = life
        self._parts = parts
        self._dispatcher = Dispatcher(parts)
        self._running = RunningCounts()

    @property
    def ready(self) -> bool:
        """Return whether new requests are served."""
        return not self.obstacle

    @property
    def obstacle(self) -> str:
        """Describe why new requests are not served; empty if they are."""
        if not self._life.takes_requests:
            state = self._life.state
            return f'the router is {state}'
        if self._parts.configuration.current.version == 0:
            return 'there is no configuration yet'
        if not self._parts.configuration.ready:
            return 'a newer configuration is being read'
        if not self._parts.budgets.caught_up:
            return 'the ledger is being read'
        return ''

    async def serve(
        self,
        request: CallerRequest,
        *,
        traceparent: str,
    ) -> AsyncIterator[AnswerEvent]:
        """Yield the pieces of the answer, then its ``AnswerEnd``."""
        self._parts.telemetry.count('router.requests', service=request.service)
        with self._parts.telemetry.span(
            'router.request',
            traceparent=traceparent,
            service=request.service,
        ) as context:
            events = self._serve_counted(request, context)
            async with aclosing(events):  # type: ignore[type-var]
                async for event in events:
                    yield event

    async def _serve_counted(
        self,
        request: CallerRequest,
        traceparent: str,
    ) -> AsyncIterator[AnswerEvent]:
        now = asyncio.get_running_loop().time()
        exchange = Exchange(request, arrived_at=now, traceparent=traceparent)
        self._open()
        events = self._serve(exchange)
        try:
            async with aclosing(events):  # type: ignore[type-var]
                async for event in events:
                    yield event
        finally:
            self._close(exchange)

    async def _serve(self, exchange: Exchange) -> AsyncIterator[AnswerEvent]:
        if self._life.takes_requests:
            await self._parts.configuration.wait_ready(VERSION_WAIT_S)
        objection = self._objection(exchange.request)
        organisation = exchange.request.request.organisation
        if objection is None:
            self._running.begin(organisation)
            policy = self._parts.configuration.current.policy
            self._parts.retries.note_request(policy.retry_share)
        pieces = self._dispatcher.serve(exchange, objection)
        try:
            async with aclosing(pieces):  # type: ignore[type-var]
                async for piece in pieces:
                    self._record_first_piece(exchange)
                    yield piece
        finally:
            if objection is None:
                self._running.end(organisation)
        if exchange.end_event is not None:
            yield exchange.end_event

    def _objection(self, request: CallerRequest) -> Failure | None:
        """Return why no new run may begin, if so."""
        current = self._parts.configuration.current
        name = request.request.organisation
        organisation = current.organisations_by_name.get(name)
        if not self.ready:
            return self._failure(Code.NOT_READY, self.obstacle)
        if organisation is None:
            return self._failure(Code.CREDENTIAL, 'no such organisation')
        if request.service not in current.services_by_name:
            return self._failure(Code.NOT_FOUND, 'no such service')
        if organisation.services and (
            request.service not in organisation.services
        ):
            return self._failure(
                Code.NOT_FOUND, 'the organisation may not use this service'
            )
        if self._running.is_at_limit(name, organisation.max_running):
            return self._failure(
                Code.CAPACITY, 'the organisation has too many requests running'
            )
        return None

    def _failure(self, code: Code, text: str) -> Failure:
        return Failure(code, 'router', self._parts.incarnation, text)

    def _record_first_piece(self, exchange: Exchange) -> None:
        if exchange.first_piece_at is None:
            exchange.first_piece_at = asyncio.get_running_loop().time()
            place = exchange.place
            if place is not None:
                self._parts.watch.mark_prompt_processed(
                    place.sidecar, place.ticket
                )
            self._parts.telemetry.observe(
                'router.first_piece_s',
                exchange.first_piece_at - exchange.arrived_at,
                service=exchange.request.service,
            )

    def _open(self) -> None:
        self.open_requests += 1
        self.idle.clear()
        self._parts.telemetry.gauge('router.open', self.open_requests)

    def _close(self, exchange: Exchange) -> None:
        exchange.close()
        self.open_requests -= 1
        if self.open_requests == 0:
            self.idle.set()
        end = exchange.end_event
        outcome = 'gone' if end is None else end.outcome
        code = '' if end is None or end.failure is None else end.failure.code
        telemetry = self._parts.telemetry
        telemetry.count('router.answers', outcome=outcome, code=code)
