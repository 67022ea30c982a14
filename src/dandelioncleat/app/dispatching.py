"""Forwards a request to a target and streams the answer back."""

from collections.abc import AsyncIterator
from contextlib import aclosing

from dandelioncleat.app.answer_reader import AnswerReader, AnswerSource
from dandelioncleat.app.attempt_result import AttemptResultHandler
from dandelioncleat.app.exchange import Exchange
from dandelioncleat.app.preparation import Preparation
from dandelioncleat.app.request_parts import RequestParts
from dandelioncleat.core.failure import (
    Code,
    Failure,
    FailureError,
    failure_error,
)
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.request import AnswerPiece


class Dispatcher:
    """Serves requests, retrying failed attempts where that is safe."""

    def __init__(self, parts: RequestParts) -> None:
        """Take the router's components."""
        self._parts = parts
        self._preparation = Preparation(parts)
        self._result_handler = AttemptResultHandler(parts)

    async def serve(
        self,
        exchange: Exchange,
        objection: Failure | None,
    ) -> AsyncIterator[AnswerPiece]:
        """Yield the answer; ``exchange.end_event`` is set at the end.

        :param objection: why no new run may begin; an existing run is still
            followed
        """
        while exchange.end_event is None:
            exchange.attempts += 1
            attempt = self._attempt_and_release(exchange, objection)
            async with aclosing(attempt):  # type: ignore[type-var]
                async for piece in attempt:
                    yield piece

    async def _attempt_and_release(
        self,
        exchange: Exchange,
        objection: Failure | None,
    ) -> AsyncIterator[AnswerPiece]:
        attempt = self._attempt(exchange, objection)
        try:
            async with aclosing(attempt):  # type: ignore[type-var]
                async for piece in attempt:
                    yield piece
        finally:
            self._release(exchange)

    async def _attempt(
        self,
        exchange: Exchange,
        objection: Failure | None,
    ) -> AsyncIterator[AnswerPiece]:
        try:
            message = await self._preparation.prepare(exchange, objection)
            reader = self._reader(exchange)
        except FailureError as error:
            await self._result_handler.handle_failure(exchange, error.failure)
            return
        pieces = reader.read(message)
        async with aclosing(pieces):  # type: ignore[type-var]
            async for piece in pieces:
                exchange.delivered_bytes += len(piece.data)
                yield piece
        await self._result_handler.handle_result(exchange, reader)

    def _reader(self, exchange: Exchange) -> AnswerReader:
        permit = exchange.sent_permit
        exchange.may_have_run = True
        executor = self._parts.watch.join_of(permit.executor)
        if executor is None:
            raise _executor_gone(permit.executor)
        exchange.target = executor.target
        reading = AnswerSource(
            permit.run,
            executor,
            exchange.deadline,
            exchange.can_rerun,
            lambda: self._parts.watch.join_of(permit.executor) is not None,
            exchange.traceparent,
        )
        return AnswerReader(
            reading,
            peers=self._parts.peers,
            telemetry=self._parts.telemetry,
            source=self._parts.random,
        )

    def _release(self, exchange: Exchange) -> None:
        if exchange.place is not None:
            self._parts.placement.release(exchange.place)
            exchange.place = None
        if exchange.may_have_run:
            self._parts.settlement.settle_later(exchange)
        else:
            self._parts.settlement.release(exchange)


def _executor_gone(executor: Incarnation) -> FailureError:
    return failure_error(
        Code.UNREACHABLE,
        step='executor',
        peer=executor,
        text='the process has left the fleet',
    )
