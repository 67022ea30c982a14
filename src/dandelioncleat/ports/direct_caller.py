"""Answers to the callers of the direct router."""

from collections.abc import Callable
from typing import Protocol

from dandelioncleat.core.direct_request import (
    CompleteResponse,
    DirectRefusal,
    ResponseHead,
)


class Reply(Protocol):
    """Sends the answer to one request; a slow caller delays the calls.

    The task that serves a request is cancelled if its caller disconnects.
    """

    def note_run(self, must_go_on: Callable[[], bool]) -> None:
        """Note which runs go on though their caller may have left.

        :param must_go_on: returns whether the run can't be repeated
        """

    async def send_complete(self, answer: CompleteResponse) -> None:
        """Deliver a complete answer of a target."""

    async def refuse(self, refusal: DirectRefusal) -> None:
        """Answer in the router's own name."""

    async def begin(self, head: ResponseHead) -> None:
        """Begin a stream."""

    async def write(self, data: bytes) -> None:
        """Send the next bytes of a stream."""

    async def finish(self) -> None:
        """End a stream that is complete."""

    async def abort(self) -> None:
        """End a stream so that the caller sees that it is not complete."""
