"""Retries that were sent to a target and may not have been read yet.

A target that stands still reads its sockets when it goes on. What was sent to
it meanwhile arrives then, also if the sender has closed the connection.
"""

import asyncio

from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.app.direct.taken_retry import TakenRetry

# A target that has stood still for longer is taken as lost.
UNREAD_LIMIT_S = 30.0


class UnreadRetries:
    """Keeps the retries at one target until the target is heard again."""

    def __init__(self) -> None:
        """Start without a retry."""
        self._timers_by_retry: dict[TakenRetry, asyncio.TimerHandle] = {}

    def take_over(self, context: RunContext) -> TakenRetry | None:
        """Keep the retry that is about to be sent, if it is one."""
        retry = context.retry
        context.retry = None
        if retry is not None:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(UNREAD_LIMIT_S, self.end, retry)
            self._timers_by_retry[retry] = timer
        return retry

    def give_back(self, retry: TakenRetry | None, context: RunContext) -> None:
        """Return a retry that could not be sent; another target may get it."""
        self._remove(retry)
        context.retry = retry

    def end(self, retry: TakenRetry | None) -> None:
        """Note that a retry was read, or never will be."""
        if self._remove(retry) and retry is not None:
            retry.note_read()

    def note_read(self) -> None:
        """Note that the target has read all that was sent to it."""
        for retry in tuple(self._timers_by_retry):
            self.end(retry)

    def _remove(self, retry: TakenRetry | None) -> bool:
        """Keep a retry no longer; return whether it was kept."""
        if retry is None:
            return False
        timer = self._timers_by_retry.pop(retry, None)
        if timer is None:
            return False
        timer.cancel()
        return True
