"""Counts a prompt whose upper bound exceeds the tokens of a router."""

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
    identity: ExecutorIdentity,
) -> AsyncIterator[Message]:
    """Yield the target's count, or a refusal if it cannot count."""
    call = TargetCall(
        run=RunId('', '', identity.incarnation, 0),
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
        identity.incarnation,
        'the target cannot count tokens',
    )
