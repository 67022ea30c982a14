"""Takes one request to a target and its answer back."""

from collections.abc import AsyncIterator
from contextlib import aclosing

from dandelioncleat.app.answer_reader import AnswerReader, Reading
from dandelioncleat.app.conclusion import Conclusion
from dandelioncleat.app.course import Course
from dandelioncleat.app.parts import Parts
from dandelioncleat.app.preparation import Preparation
from dandelioncleat.core.failure import (
    Code,
    Failure,
    FailureError,
    failure_error,
)
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.request import AnswerPiece


class Dispatcher:
    """Serves requests, in as many attempts as are safe."""

    def __init__(self, parts: Parts) -> None:
        """Take the parts of the router."""
        self._parts = parts
        self._preparation = Preparation(parts)
        self._conclusion = Conclusion(parts)

    async def serve(
        self,
        course: Course,
        objection: Failure | None,
    ) -> AsyncIterator[AnswerPiece]:
        """Yield the answer; ``course.end_event`` is set at the end.

        :param objection: why no run may begin; one that exists is followed
        """
        while course.end_event is None:
            course.attempts += 1
            attempt = self._guarded_attempt(course, objection)
            async with aclosing(attempt):  # type: ignore[type-var]
                async for piece in attempt:
                    yield piece

    async def _guarded_attempt(
        self,
        course: Course,
        objection: Failure | None,
    ) -> AsyncIterator[AnswerPiece]:
        attempt = self._attempt(course, objection)
        try:
            async with aclosing(attempt):  # type: ignore[type-var]
                async for piece in attempt:
                    yield piece
        finally:
            self._let_go(course)

    async def _attempt(
        self,
        course: Course,
        objection: Failure | None,
    ) -> AsyncIterator[AnswerPiece]:
        try:
            message = await self._preparation.prepare(course, objection)
            reader = self._reader(course)
        except FailureError as error:
            await self._conclusion.recover(course, error.failure)
            return
        pieces = reader.read(message)
        async with aclosing(pieces):  # type: ignore[type-var]
            async for piece in pieces:
                course.delivered += len(piece.data)
                yield piece
        await self._conclusion.conclude(course, reader)

    def _reader(self, course: Course) -> AnswerReader:
        permit = course.sent_permit
        course.may_run = True
        executor = self._parts.watch.join_of(permit.executor)
        if executor is None:
            raise _gone(permit.executor)
        course.target = executor.target
        reading = Reading(
            permit.run,
            executor,
            course.deadline,
            course.can_rerun,
            lambda: self._parts.watch.join_of(permit.executor) is not None,
            course.traceparent,
        )
        return AnswerReader(
            reading,
            peers=self._parts.peers,
            telemetry=self._parts.telemetry,
            source=self._parts.random,
        )

    def _let_go(self, course: Course) -> None:
        if course.place is not None:
            self._parts.gate.leave(course.place)
            course.place = None
        if course.may_run:
            self._parts.settlement.leave(course)
        else:
            self._parts.settlement.release(course)


def _gone(executor: Incarnation) -> FailureError:
    return failure_error(
        Code.UNREACHABLE,
        step='executor',
        peer=executor,
        text='the process has left the fleet',
    )
