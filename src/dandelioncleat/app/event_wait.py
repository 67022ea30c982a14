"""Waits for an event with a time limit."""

import asyncio


async def wait_at_most(event: asyncio.Event, limit_s: float) -> None:
    """Return once an event is set, or after ``limit_s`` seconds."""
    try:
        async with asyncio.timeout(limit_s):
            await event.wait()
    except TimeoutError:
        return
