"""Answers the messages that other processes send to a router."""

from collections.abc import AsyncIterator

import msgspec

from dandelioncleat.app.request_parts import RequestParts
from dandelioncleat.app.router_life import RouterLife
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.message import (
    AskPart,
    AskStatus,
    Message,
    Status,
    refusal,
)
from dandelioncleat.ports.peer import CallContext

STEP = 'answer'


class PeerMessageHandler:
    """Dispatches messages to the components that answer them."""

    def __init__(self, life: RouterLife, parts: RequestParts) -> None:
        """Take the router's life cycle and components."""
        self._life = life
        self._parts = parts

    async def answer(
        self,
        message: Message,
        context: CallContext,
    ) -> AsyncIterator[Message]:
        """Yield the single reply to a message."""
        self._parts.configuration.note_peer_version(
            context.version, context.sender
        )
        match message:
            case AskPart():
                yield self._parts.budgets.transfer_spare(message)
            case AskStatus():
                yield self.status()
            case _:
                yield self._refuse_unknown(message)

    def status(self) -> Status:
        """Return the state of this process."""
        current = self._parts.configuration.current
        details = {
            'waiting': self._parts.placement.waiting,
            'retries_left': self._parts.retries.balance,
        }
        return Status(
            self._parts.incarnation,
            'router',
            self._life.state,
            current.version,
            current.digest,
            msgspec.json.encode(details),
        )

    def _refuse_unknown(self, message: Message) -> Message:
        name = type(message).__name__
        failure = Failure(
            Code.INVALID,
            STEP,
            self._parts.incarnation,
            f'a router does not accept {name} messages',
        )
        return refusal(failure)
