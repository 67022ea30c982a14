"""Where the answer to a caller of the direct router goes."""

from typing import Protocol

from dandelioncleat.core.direct_request import (
    CompleteResponse,
    DirectRefusal,
    ResponseHead,
)


class Reply(Protocol):
    """Takes the one answer of a request; a slow caller holds it back.

    A caller that has left cancels the task that serves it.
    """

    async def whole(self, answer: CompleteResponse) -> None:
        """Deliver a complete answer of a target."""

    async def refuse(self, refusal: DirectRefusal) -> None:
        """Answer in the router's own name."""

    async def begin(self, head: ResponseHead) -> None:
        """Begin a stream."""

    async def write(self, data: bytes) -> None:
        """Deliver the next bytes of a stream."""

    async def finish(self) -> None:
        """End a stream that is complete."""

    async def cut(self) -> None:
        """End a stream so that the caller sees that it is not complete."""
