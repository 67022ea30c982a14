"""What stands between a replayed process and the outside.

Each port of a process passes through its hold, so that a pause stops all
that the process says and hears, and a crash stops it for good.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.identity import RunId
from dandelioncleat.ports.host_list import HostList, HostState
from dandelioncleat.ports.log import Log, Page
from dandelioncleat.ports.target import (
    CacheEvents,
    Ended,
    TargetCall,
    TargetClient,
    TargetEvent,
    TargetLoad,
)

PARTED_TIMEOUT_S = 1.0


class Hold:
    """Lets a process through while it runs."""

    def __init__(self, running: asyncio.Event) -> None:
        """Take the event that is clear during a pause."""
        self.running = running
        self.dead = False

    async def pass_through(self) -> None:
        """Wait out a pause; raise if the process is dead."""
        await self.running.wait()
        if self.dead:
            raise failure_error(
                Code.UNREACHABLE,
                step='hold',
                peer='self',
                text='the process is dead',
            )


class HeldLog:
    """Is the log port of a process that can be parted from the log."""

    def __init__(
        self,
        log: Log,
        hold: Hold,
        *,
        delay_s: Callable[[], float | None],
    ) -> None:
        """Take the log and the delay to it; ``None`` if parted."""
        self._log = log
        self._hold = hold
        self._delay_s = delay_s

    async def append(self, stream: str, data: bytes) -> int:
        """Append one entry and return its offset."""
        await self._cross('append')
        offset = await self._log.append(stream, data)
        await self._cross('append')
        return offset

    async def read(
        self,
        stream: str,
        *,
        start: int,
        limit: int = 500,
        wait_s: float = 0,
    ) -> Page:
        """Return entries from ``start`` on; wait if there are none yet."""
        await self._cross('read')
        page = await self._log.read(
            stream,
            start=start,
            limit=limit,
            wait_s=wait_s,
        )
        await self._cross('read')
        return page

    async def _cross(self, step: str) -> None:
        await self._hold.pass_through()
        delay_s = self._delay_s()
        await asyncio.sleep(PARTED_TIMEOUT_S if delay_s is None else delay_s)
        if delay_s is None:
            raise failure_error(
                Code.LOG,
                step=step,
                peer='log',
                text='timed out',
            )
        await self._hold.pass_through()


class HeldHostList:
    """Is the host list port of a process."""

    def __init__(self, host_list: HostList, hold: Hold) -> None:
        """Take the list."""
        self._host_list = host_list
        self._hold = hold

    async def hosts(self) -> tuple[HostState, ...]:
        """Return all live and leaving hosts."""
        await self._hold.pass_through()
        return await self._host_list.hosts()


class HeldTarget:
    """Is the target port of a sidecar."""

    def __init__(self, target: TargetClient, hold: Hold) -> None:
        """Take the target."""
        self._target = target
        self._hold = hold

    async def run(self, call: TargetCall) -> AsyncIterator[TargetEvent]:
        """Run a request and yield its answer."""
        await self._hold.pass_through()
        events = self._target.run(call)
        async with aclosing(events):  # type: ignore[type-var]
            async for event in events:
                await self._hold.pass_through()
                yield event

    async def cancel(self, run: RunId) -> Ended | None:
        """Stop a run and return its final counts."""
        await self._hold.pass_through()
        ended = await self._target.cancel(run)
        await self._hold.pass_through()
        return ended

    async def count_tokens(self, call: TargetCall) -> int | None:
        """Count a prompt's tokens."""
        await self._hold.pass_through()
        return await self._target.count_tokens(call)

    async def load(self) -> TargetLoad:
        """Return the newest load report."""
        await self._hold.pass_through()
        return await self._target.load()

    async def cache_events(self, start: int) -> CacheEvents:
        """Return the cache events from a position on."""
        await self._hold.pass_through()
        return await self._target.cache_events(start)

    async def fence(self, number: int) -> bool:
        """Set the fencing number; return whether the target checks it."""
        await self._hold.pass_through()
        return await self._target.fence(number)
