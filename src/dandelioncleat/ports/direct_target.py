"""Targets that a router connects to directly."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from enum import StrEnum
from typing import NamedTuple, Protocol

from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import (
    DirectRefusal,
    DirectRequest,
    ResponseHead,
)
from dandelioncleat.core.failure import Failure, FailureError
from dandelioncleat.core.target_notice import TargetNotice
from dandelioncleat.ports.answer_watch import AnswerWatch

CONNECT_STEP = 'connect'
BODY_STEP = 'body'
STREAM_END_STEP = 'stream end'


class TargetRequest(NamedTuple):
    """A request as it is sent to one target.

    :param remaining_s: time left for the target to answer, in seconds
    :param urgency: rank among the target's requests, 0 first
    :param resume_after: last event that was delivered, if a stream is resumed
    :param is_fresh: whether a new connection is required
    :param prefix_source: address ``ip:port`` of the target from which this one
        first fetches what that one has cached of the prompt
    :param answer_watch: learns how the target ends a request that is given
        up
    """

    request: DirectRequest
    target: TargetEntry
    organisation: str | None
    remaining_s: float
    urgency: int | None
    resume_after: str | None
    is_fresh: bool
    prefix_source: str | None = None
    answer_watch: AnswerWatch | None = None


class UnnamedAnswerError(FailureError):
    """An answer that may belong to an earlier request.

    What its target says about further requests holds nevertheless.
    """

    def __init__(self, failure: Failure, notice: TargetNotice) -> None:
        """Wrap a failure and the notice in the answer."""
        super().__init__(failure)
        self.notice = notice


class TargetOccupancy(NamedTuple):
    """The requests that a target runs and queues.

    ``slowness`` is how long work takes there at this moment against what is
    usual there, 1 if it takes as long; it changes many times a second.
    ``None`` if the target does not tell it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


class TargetAnswer(Protocol):
    """An answer whose head has arrived.

    ``has_run`` is false if the target states that it did not run the request,
    ``is_misdirected`` is true if the reason is that it is another target.
    ``notice`` is what the target says about further requests to it.
    ``refusal`` is that of a router to which the request was forwarded.
    """

    head: ResponseHead
    has_run: bool
    is_misdirected: bool
    is_stream: bool
    occupancy: TargetOccupancy | None
    notice: TargetNotice
    refusal: DirectRefusal | None

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises ``FailureError`` if it breaks off."""


class TargetStatus(StrEnum):
    """What is at the address of a target."""

    REFUSED = 'refused'
    """Nothing listens."""
    ANSWERED = 'answered'
    """The target answered, or something that does not tell its id."""
    OTHER = 'other'
    """Another target answered."""
    SILENT = 'silent'
    """A connection was accepted, and nothing answered."""
    UNKNOWN = 'unknown'
    """No connection could be opened, as behind a cut."""


class DirectTargets(Protocol):
    """Sends requests to targets.

    Failures raise ``FailureError`` with code ``target``; the step
    ``connect`` means that nothing was sent.
    """

    def send(
        self, order: TargetRequest
    ) -> AbstractAsyncContextManager[TargetAnswer]:
        """Send a request; leaving the block early stops the run."""

    async def status(
        self, target: TargetEntry, path: str | None
    ) -> TargetStatus:
        """Return what is at a target's address now.

        :param path: where it tells that it is healthy; ``None`` to find out
            only whether anything listens
        """

    def forward(
        self, request: DirectRequest, address: str, *, remaining_s: float
    ) -> AbstractAsyncContextManager[TargetAnswer]:
        """Forward a request to another router.

        :param address: where the router accepts requests, as ``ip:port``
        :param remaining_s: time that is left for it, in seconds
        """
