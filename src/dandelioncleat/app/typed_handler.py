"""A handler that answers one type of message itself."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from typing import Generic, TypeVar

from dandelioncleat.core.message import Message
from dandelioncleat.ports.peer import CallContext, PeerHandler

MessageT = TypeVar('MessageT', bound=Message)


class TypedHandler(Generic[MessageT]):
    """Answers the messages of one type and forwards all others."""

    def __init__(
        self,
        message_type: type[MessageT],
        answer: Callable[[MessageT], Awaitable[Message]],
        handler: PeerHandler,
    ) -> None:
        """Take the type, its handler and the handler of all others."""
        self._message_type = message_type
        self._answer = answer
        self._handler = handler

    async def answer(
        self,
        message: Message,
        context: CallContext,
    ) -> AsyncIterator[Message]:
        """Yield the replies to a message."""
        if isinstance(message, self._message_type):
            yield await self._answer(message)
            return
        replies = self._handler.answer(message, context)
        async with aclosing(replies):  # type: ignore[type-var]
            async for reply in replies:
                yield reply
