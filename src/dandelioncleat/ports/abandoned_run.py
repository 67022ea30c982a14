"""What a target did with a request whose answer nobody waits for any more."""

import asyncio


class AbandonedRun:
    """Tells whether the run of a request may have begun.

    ``may_have_begun`` is an upper bound: a request that was sent has begun
    until its target shows that it dropped it.
    """

    def __init__(self) -> None:
        """Start before the request is sent."""
        self.may_have_begun = False
        self._is_known = asyncio.Event()
        self._is_known.set()

    def note_sent(self) -> None:
        """Note that the target gets the request."""
        self.may_have_begun = True

    def note_abandoned(self) -> None:
        """Note that the end of the answer is still read."""
        self._is_known.clear()

    def note_end(self, *, is_dropped: bool) -> None:
        """Note the end of the answer.

        :param is_dropped: whether the target ended it without any output
        """
        if is_dropped:
            self.may_have_begun = False
        self._is_known.set()

    async def wait(self) -> None:
        """Wait until the end of the answer is known."""
        await self._is_known.wait()
