"""Counts a prompt for a router that has too little budget for its bound."""

from collections.abc import AsyncIterator

from dandelioncleat.app.executor_parts import ExecutorIdentity
from dandelioncleat.core.failure import Code
from dandelioncleat.core.identity import RunId
from dandelioncleat.core.message import (
    AskTokenCount,
    Message,
    Refusal,
    TokenCount,
)
from dandelioncleat.ports.target import TargetCall, TargetClient


async def count_prompt(
    ask: AskTokenCount,
    client: TargetClient,
    place: ExecutorIdentity,
) -> AsyncIterator[Message]:
    """Yield the target's count, or a refusal where it has none."""
    call = TargetCall(
        run=RunId('', '', place.incarnation, 0),
        method='POST',
        path=ask.path,
        content_type=ask.content_type,
        body=ask.body,
        cap=0,
        priority=0,
        fence=0,
    )
    tokens = await client.count_tokens(call)
    if tokens is not None:
        yield TokenCount(tokens)
        return
    yield Refusal(
        Code.TARGET,
        'count_tokens',
        place.incarnation,
        'the target counts no tokens',
    )
