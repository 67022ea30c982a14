"""Reads one run's answer in order and resumes it after broken streams."""

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
RERUN_TIMEOUT_S = 2.0
RESUME_TIMEOUT_S = 30.0
DEADLINE_GRACE_S = 2.0
CONNECT_STEP = 'connect'
IDLE_STEP = 'idle'
STREAM_STEP = 'stream'


class ExecutorLost(NamedTuple):
    """Ends an answer whose executor can no longer be reached.

    ``sent`` is false if the ``Dispatch`` never left this process.
    """

    failure: Failure
    sent: bool


class AnswerSource(NamedTuple):
    """The run whose answer is read, its executor and its deadline.

    ``deadline`` is a time of the event loop in seconds. ``can_rerun`` means
    that another run may replace this one until the first byte has arrived.
    """

    run: RunId
    executor: Join
    deadline: float
    can_rerun: bool
    is_live: Callable[[], bool]
    traceparent: str


class AnswerReader:
    """Yields the pieces of one run's answer and stores how it ended.

    A piece is yielded only if it belongs to the run and continues at the
    current position; bytes before that are dropped.
    """

    def __init__(
        self,
        answer_source: AnswerSource,
        *,
        peers: Peers,
        telemetry: Telemetry,
        source: random.Random,
    ) -> None:
        """Take what to read, the peers and the telemetry."""
        self.position = 0
        self.ending: Finished | Refusal | ExecutorLost | None = None
        self._answer_source = answer_source
        self._peers = peers
        self._telemetry = telemetry
        self._random = source
        self._breaks = 0
        self._unreachable_since: float | None = None
        self._sent = False

    async def read(self, message: Message) -> AsyncIterator[AnswerPiece]:
        """Send a ``Dispatch`` or a ``Resume`` and yield the answer."""
        while self.ending is None:
            pieces = self._read_until_break(message)
            async with aclosing(pieces):  # type: ignore[type-var]
                async for piece in pieces:
                    yield piece
            message = self._resume_message()

    async def _read_until_break(
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
        answer_source = self._answer_source
        replies = self._peers.stream(
            answer_source.executor.address,
            message,
            traceparent=answer_source.traceparent,
        )
        async with aclosing(replies):  # type: ignore[type-var]
            while self.ending is None:
                reply = await self._next(replies)
                piece = self._accept(reply)
                if piece is not None:
                    yield piece

    async def _next(self, replies: AsyncIterator[Message]) -> Message:
        now = asyncio.get_running_loop().time()
        limit = self._answer_source.deadline + DEADLINE_GRACE_S
        try:
            async with asyncio.timeout_at(min(limit, now + IDLE_TIMEOUT_S)):
                return await anext(replies)
        except TimeoutError as error:
            raise self._stream_error('no frame in time', IDLE_STEP) from error
        except StopAsyncIteration as error:
            raise self._stream_error('the stream ended early') from error

    def _accept(self, reply: Message) -> AnswerPiece | None:
        self._sent = True
        match reply:
            case Chunk(run=run) if run == self._answer_source.run:
                return self._next_piece(reply)
            case Finished(run=run) if run == self._answer_source.run:
                if reply.complete and reply.size != self.position:
                    raise self._stream_error('the answer has a gap at its end')
                self.ending = reply
            case Refusal():
                self.ending = reply
            case _:
                self._telemetry.count('router.foreign_frames')
        return None

    def _next_piece(self, chunk: Chunk) -> AnswerPiece | None:
        repeated = self.position - chunk.start
        if repeated < 0:
            raise self._stream_error('a part of the answer is missing')
        data = chunk.data[repeated:]
        if not data:
            return None
        self.position += len(data)
        self._unreachable_since = None
        tokens = 0 if repeated else chunk.tokens
        return AnswerPiece(data, tokens)

    def _resume_message(self) -> Message:
        answer_source = self._answer_source
        return Resume(
            answer_source.run,
            answer_source.executor.incarnation,
            self.position,
        )

    async def _note_break(self, failure: Failure, message: Message) -> None:
        self._breaks += 1
        self._telemetry.count('router.stream_breaks')
        if failure.step != CONNECT_STEP:
            self._sent = True
        if isinstance(message, Dispatch) and not self._sent:
            self.ending = ExecutorLost(failure, sent=False)
            return
        self._sent = True
        if failure.step == IDLE_STEP:
            await self._probe()
        else:
            self._note_unreachable()
        if self._is_lost():
            self.ending = ExecutorLost(failure, sent=True)
            return
        await asyncio.sleep(backoff_s(self._breaks, self._random))

    async def _probe(self) -> None:
        """Check whether a silent executor can be reached."""
        try:
            await self._peers.call(
                self._answer_source.executor.address,
                AskStatus(),
                timeout_s=PROBE_TIMEOUT_S,
            )
        except FailureError:
            self._note_unreachable()
        else:
            self._unreachable_since = None

    def _note_unreachable(self) -> None:
        if self._unreachable_since is None:
            self._unreachable_since = asyncio.get_running_loop().time()

    def _is_lost(self) -> bool:
        now = asyncio.get_running_loop().time()
        answer_source = self._answer_source
        if (
            now > answer_source.deadline + DEADLINE_GRACE_S
            or not answer_source.is_live()
        ):
            return True
        if self._unreachable_since is None:
            return False
        can_rerun = answer_source.can_rerun and self.position == 0
        timeout_s = RERUN_TIMEOUT_S if can_rerun else RESUME_TIMEOUT_S
        return now - self._unreachable_since > timeout_s

    def _stream_error(self, text: str, step: str = STREAM_STEP) -> FailureError:
        return failure_error(
            Code.UNREACHABLE,
            step=step,
            peer=self._answer_source.executor.incarnation,
            text=text,
        )
