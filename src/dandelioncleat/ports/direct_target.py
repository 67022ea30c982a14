"""A target that a router dials itself."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import (
    DirectRefusal,
    DirectRequest,
    ResponseHead,
)

CONNECT_STEP = 'connect'


class TargetOrder(NamedTuple):
    """A request as it is sent to one target.

    :param left_s: time that the target has for it, in seconds
    :param urgency: rank among the target's requests, 0 first
    :param resume_after: last event that was delivered, in a resumed stream
    :param is_fresh: whether the connection has to be a new one
    """

    request: DirectRequest
    target: TargetEntry
    organisation: str | None
    left_s: float
    urgency: int | None
    resume_after: str | None
    is_fresh: bool


class TargetOccupancy(NamedTuple):
    """The requests that a target runs and queues."""

    running: int
    waiting: int
    slots: int


class TargetAnswer(Protocol):
    """An answer whose head has arrived.

    ``has_run`` is false where the target says that it did not run it,
    ``is_misdirected`` true where that is because it is another one.
    ``refusal`` is that of a router that the request was passed on to.
    """

    head: ResponseHead
    has_run: bool
    is_misdirected: bool
    is_stream: bool
    occupancy: TargetOccupancy | None
    refusal: DirectRefusal | None

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises ``FailureError`` if it breaks off."""


class DirectTargets(Protocol):
    """Sends orders to targets.

    Failures raise ``FailureError`` with code ``target``; the step
    ``connect`` means that nothing was sent.
    """

    def send(
        self, order: TargetOrder
    ) -> AbstractAsyncContextManager[TargetAnswer]:
        """Send an order; a block that is left early stops the run."""

    def pass_on(
        self, request: DirectRequest, address: str, *, left_s: float
    ) -> AbstractAsyncContextManager[TargetAnswer]:
        """Have another router serve a request.

        :param address: where the router takes requests, as ``ip:port``
        :param left_s: time that is left for it, in seconds
        """
