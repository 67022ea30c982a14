"""Timeouts that allow for an event loop that stood still.

A host may be frozen or slow for seconds. What arrived meanwhile waits to be
read, but every timer that fell due fires in the same turn of the loop.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# A timer that fires later than this shows that the loop stood still.
STALL_S = 0.1
# Time to read what arrived during the stall.
GRACE_S = 0.25


@asynccontextmanager
async def stall_timeout(limit_s: float) -> AsyncIterator[None]:
    """Limit the time of a block, with ``GRACE_S`` more after a stall.

    :raises TimeoutError: if the block takes longer
    """
    loop = asyncio.get_running_loop()
    due_at = loop.time() + limit_s
    async with asyncio.timeout(None) as timer:
        handle = loop.call_at(due_at, _expire, timer, due_at)
        try:
            yield
        finally:
            handle.cancel()


def _expire(timer: asyncio.Timeout, due_at: float) -> None:
    now = asyncio.get_running_loop().time()
    has_stalled = now - due_at > STALL_S
    timer.reschedule(now + GRACE_S if has_stalled else now)
