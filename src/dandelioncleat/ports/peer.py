"""Calls between the system's processes, as streams of messages."""

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol

from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import Message


class CallContext(NamedTuple):
    """Metadata of a call.

    ``version`` is the sender's configuration version, ``traceparent`` the
    W3C trace context or an empty string.
    """

    sender: Incarnation
    version: int
    traceparent: str


class PeerHandler(Protocol):
    """Answers the calls of other processes."""

    def answer(
        self,
        message: Message,
        context: CallContext,
    ) -> AsyncIterator[Message]:
        """Yield the replies; the iterator is closed if the caller hangs up."""


class Peers(Protocol):
    """Calls other processes by address.

    A call to a process that cannot be reached, or that is lost before its
    last reply, raises ``FailureError`` with code ``unreachable``.
    """

    def stream(
        self,
        address: str,
        message: Message,
        *,
        traceparent: str = '',
    ) -> AsyncIterator[Message]:
        """Send a message and yield its replies until the last."""

    async def call(
        self,
        address: str,
        message: Message,
        *,
        timeout_s: float,
        traceparent: str = '',
    ) -> Message:
        """Send a message and return its only reply."""
