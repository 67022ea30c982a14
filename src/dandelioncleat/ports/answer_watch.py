"""Watches what a target does with a request that may be given up."""

import asyncio
from collections.abc import Callable, Mapping

from dandelioncleat.core.target_notice import TargetNotice

DecodeNotice = Callable[[int, Mapping[str, str]], TargetNotice]


class AnswerWatch:
    """Tells whether the run of a request may have begun.

    ``may_have_begun`` is an upper bound: a request that was sent has begun
    until its target shows that it dropped it, at ``dropped_at``, an event loop
    time in seconds. ``decode`` reads the notice in the head of an answer.
    """

    def __init__(
        self, on_notice: Callable[[TargetNotice], None] | None = None
    ) -> None:
        """Start before the request is sent.

        :param on_notice: is told what the target's answer says about further
            requests, also if nobody waits for the answer any more
        """
        self.may_have_begun = False
        self.dropped_at: float | None = None
        self.decode: DecodeNotice | None = None
        self._on_notice = on_notice
        self._is_known = asyncio.Event()
        self._is_known.set()

    def note_sent(self) -> None:
        """Note that the target gets the request."""
        self.may_have_begun = True

    def note_head(self, status: int, headers: Mapping[str, str]) -> None:
        """Note the head of the target's answer."""
        if self._on_notice is not None and self.decode is not None:
            self._on_notice(self.decode(status, headers))

    def note_abandoned(self) -> None:
        """Note that the end of the answer is still read."""
        self._is_known.clear()

    def note_end(self, *, is_dropped: bool) -> None:
        """Note the end of the answer.

        :param is_dropped: whether the target ended it without any output
        """
        if is_dropped:
            self.may_have_begun = False
            self.dropped_at = asyncio.get_running_loop().time()
        self._is_known.set()

    async def wait(self) -> None:
        """Wait until the end of the answer is known."""
        await self._is_known.wait()
