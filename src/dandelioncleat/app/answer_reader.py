"""Reads the answer of one run, whole and in order, across broken streams."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import NamedTuple

from dandelioncleat.core.failure import (
    Code,
    Failure,
    FailureError,
    failure_error,
)
from dandelioncleat.core.identity import RunId
from dandelioncleat.core.message import (
    AskStatus,
    Chunk,
    Dispatch,
    Finished,
    Message,
    Refusal,
    Resume,
)
from dandelioncleat.core.record import Join
from dandelioncleat.core.request import AnswerPiece
from dandelioncleat.core.retry import backoff_s
from dandelioncleat.ports.peer import Peers
from dandelioncleat.ports.telemetry import Telemetry

IDLE_TIMEOUT_S = 5.0
PROBE_TIMEOUT_S = 2.0
RERUN_PATIENCE_S = 2.0
RESUME_PATIENCE_S = 30.0
DEADLINE_GRACE_S = 2.0
CONNECT_STEP = 'connect'
IDLE_STEP = 'idle'
STREAM_STEP = 'stream'


class Lost(NamedTuple):
    """Ends an answer whose executor could not be reached any more.

    ``sent`` is false if the order to run never left this process.
    """

    failure: Failure
    sent: bool


class Reading(NamedTuple):
    """What is read from where, and for how long.

    ``deadline`` is a time of the event loop in seconds. ``can_rerun`` says
    that another run may serve as well, until the first byte has arrived.
    """

    run: RunId
    executor: Join
    deadline: float
    can_rerun: bool
    is_live: Callable[[], bool]
    traceparent: str


class AnswerReader:
    """Yields the pieces of one run's answer and keeps how it ended.

    A piece is yielded only if it belongs to the run and continues at the
    byte that was reached; what came before is not repeated.
    """

    def __init__(
        self,
        reading: Reading,
        *,
        peers: Peers,
        telemetry: Telemetry,
        source: random.Random,
    ) -> None:
        """Take what to read and the way to reach the executor."""
        self.position = 0
        self.ending: Finished | Refusal | Lost | None = None
        self._reading = reading
        self._peers = peers
        self._telemetry = telemetry
        self._random = source
        self._breaks = 0
        self._broken_at: float | None = None
        self._sent = False

    async def read(self, message: Message) -> AsyncIterator[AnswerPiece]:
        """Send a ``Dispatch`` or a ``Resume`` and yield the answer."""
        while self.ending is None:
            pieces = self._read_guarded(message)
            async with aclosing(pieces):  # type: ignore[type-var]
                async for piece in pieces:
                    yield piece
            message = self._resumption()

    async def _read_guarded(
        self,
        message: Message,
    ) -> AsyncIterator[AnswerPiece]:
        pieces = self._read_once(message)
        try:
            async with aclosing(pieces):  # type: ignore[type-var]
                async for piece in pieces:
                    yield piece
        except FailureError as error:
            await self._note_break(error.failure, message)

    async def _read_once(self, message: Message) -> AsyncIterator[AnswerPiece]:
        reading = self._reading
        replies = self._peers.stream(
            reading.executor.address,
            message,
            traceparent=reading.traceparent,
        )
        async with aclosing(replies):  # type: ignore[type-var]
            while self.ending is None:
                reply = await self._next(replies)
                piece = self._take(reply)
                if piece is not None:
                    yield piece

    async def _next(self, replies: AsyncIterator[Message]) -> Message:
        now = asyncio.get_running_loop().time()
        limit = self._reading.deadline + DEADLINE_GRACE_S
        try:
            async with asyncio.timeout_at(min(limit, now + IDLE_TIMEOUT_S)):
                return await anext(replies)
        except TimeoutError as error:
            raise self._broken('no frame in time', IDLE_STEP) from error
        except StopAsyncIteration as error:
            raise self._broken('the stream ended early') from error

    def _take(self, reply: Message) -> AnswerPiece | None:
        self._sent = True
        match reply:
            case Chunk(run=run) if run == self._reading.run:
                return self._continue(reply)
            case Finished(run=run) if run == self._reading.run:
                if reply.complete and reply.size != self.position:
                    raise self._broken('the answer has a gap at its end')
                self.ending = reply
            case Refusal():
                self.ending = reply
            case _:
                self._telemetry.count('router.foreign_frames')
        return None

    def _continue(self, chunk: Chunk) -> AnswerPiece | None:
        repeated = self.position - chunk.start
        if repeated < 0:
            raise self._broken('a part of the answer is missing')
        data = chunk.data[repeated:]
        if not data:
            return None
        self.position += len(data)
        self._broken_at = None
        tokens = 0 if repeated else chunk.tokens
        return AnswerPiece(data, tokens)

    def _resumption(self) -> Message:
        reading = self._reading
        return Resume(
            reading.run,
            reading.executor.incarnation,
            self.position,
        )

    async def _note_break(self, failure: Failure, message: Message) -> None:
        self._breaks += 1
        self._telemetry.count('router.stream_breaks')
        if failure.step != CONNECT_STEP:
            self._sent = True
        if isinstance(message, Dispatch) and not self._sent:
            self.ending = Lost(failure, sent=False)
            return
        self._sent = True
        if failure.step == IDLE_STEP:
            await self._probe()
        else:
            self._note_unreachable()
        if self._is_lost():
            self.ending = Lost(failure, sent=True)
            return
        await asyncio.sleep(backoff_s(self._breaks, self._random))

    async def _probe(self) -> None:
        """Find out whether a silent executor can be reached."""
        try:
            await self._peers.call(
                self._reading.executor.address,
                AskStatus(),
                timeout_s=PROBE_TIMEOUT_S,
            )
        except FailureError:
            self._note_unreachable()
        else:
            self._broken_at = None

    def _note_unreachable(self) -> None:
        if self._broken_at is None:
            self._broken_at = asyncio.get_running_loop().time()

    def _is_lost(self) -> bool:
        now = asyncio.get_running_loop().time()
        reading = self._reading
        if now > reading.deadline + DEADLINE_GRACE_S or not reading.is_live():
            return True
        if self._broken_at is None:
            return False
        can_rerun = reading.can_rerun and self.position == 0
        patience_s = RERUN_PATIENCE_S if can_rerun else RESUME_PATIENCE_S
        return now - self._broken_at > patience_s

    def _broken(self, text: str, step: str = STREAM_STEP) -> FailureError:
        return failure_error(
            Code.UNREACHABLE,
            step=step,
            peer=self._reading.executor.incarnation,
            text=text,
        )
