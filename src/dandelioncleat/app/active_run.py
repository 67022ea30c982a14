"""A run in progress, with the tasks that write and read its answer."""

import asyncio
from collections.abc import AsyncIterator

from dandelioncleat.core.failure import Code
from dandelioncleat.core.message import Message, Refusal, refusal
from dandelioncleat.core.run import Run, RunState

COALESCE_S = 0.005
RESUME_STEP = 'resume'


class ActiveRun:
    """Lets any number of readers stream a run's answer as it grows."""

    def __init__(
        self,
        run: Run,
        *,
        deadline_at: float,
        traceparent: str = '',
    ) -> None:
        """Take the run and the trace context of its dispatch.

        :param deadline_at: time of the event loop, in seconds
        """
        self.run = run
        self.deadline_at = deadline_at
        self.traceparent = traceparent
        self.readers = 0
        self.delivered = False
        self.stop_reason = ''
        self.task: asyncio.Task[None] | None = None
        self.stop_task: asyncio.Task[None] | None = None
        self.timers: list[asyncio.TimerHandle] = []
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake the readers."""
        self._changed.set()

    def cancel_timers(self) -> None:
        """Cancel all timers of the run."""
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()

    async def read(self, start: int) -> AsyncIterator[Message]:
        """Yield the answer from byte ``start`` on, then its final message."""
        position = start
        while True:
            self._changed.clear()
            chunk = self.run.chunk(position)
            if chunk is not None:
                position += len(chunk.data)
                yield chunk
            elif not self.run.is_open:
                yield self._final_message(position)
                return
            else:
                await self._changed.wait()
                continue
            if self.run.is_open:
                await asyncio.sleep(COALESCE_S)

    def _final_message(self, position: int) -> Message:
        self.delivered = True
        failure = self.run.sealed_for
        if self.run.state is RunState.SEALED and failure is not None:
            return refusal(failure)
        finished = self.run.finished()
        if finished is None or position < self.run.answer.size:
            return Refusal(
                Code.NOT_FOUND,
                RESUME_STEP,
                self.run.dispatch.executor,
                'the answer is no longer stored',
                ran=True,
            )
        return finished
