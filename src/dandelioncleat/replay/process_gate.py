"""Gates between a replayed process and its ports.

Every call through a port passes the process's gate: it waits during a pause
and fails after a crash.
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

PARTITION_TIMEOUT_S = 1.0


class ProcessGate:
    """Blocks calls during a pause and fails them after a crash."""

    def __init__(self, running: asyncio.Event) -> None:
        """Store the event that is clear during a pause."""
        self.running = running
        self.crashed = False

    async def pass_through(self) -> None:
        """Wait until the process is not paused; raise if it crashed."""
        await self.running.wait()
        if self.crashed:
            raise failure_error(
                Code.UNREACHABLE,
                step='hold',
                peer='self',
                text='the process has crashed',
            )


class GatedLog:
    """The log port of a process, with link delays and partitions."""

    def __init__(
        self,
        log: Log,
        gate: ProcessGate,
        *,
        delay_s: Callable[[], float | None],
    ) -> None:
        """Store the log and its link delay, ``None`` while partitioned."""
        self._log = log
        self._gate = gate
        self._delay_s = delay_s

    async def append(self, stream: str, data: bytes) -> int:
        """Append one entry and return its offset."""
        await self._pass_link('append')
        offset = await self._log.append(stream, data)
        await self._pass_link('append')
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
        await self._pass_link('read')
        page = await self._log.read(
            stream,
            start=start,
            limit=limit,
            wait_s=wait_s,
        )
        await self._pass_link('read')
        return page

    async def _pass_link(self, step: str) -> None:
        await self._gate.pass_through()
        delay_s = self._delay_s()
        await asyncio.sleep(PARTITION_TIMEOUT_S if delay_s is None else delay_s)
        if delay_s is None:
            raise failure_error(
                Code.LOG,
                step=step,
                peer='log',
                text='timed out',
            )
        await self._gate.pass_through()


class GatedHostList:
    """The host list port of a process."""

    def __init__(self, host_list: HostList, gate: ProcessGate) -> None:
        """Store the list and the gate."""
        self._host_list = host_list
        self._gate = gate

    async def hosts(self) -> tuple[HostState, ...]:
        """Return all live and leaving hosts."""
        await self._gate.pass_through()
        return await self._host_list.hosts()


class GatedTarget:
    """The target port of a sidecar."""

    def __init__(self, target: TargetClient, gate: ProcessGate) -> None:
        """Store the target and the gate."""
        self._target = target
        self._gate = gate

    async def run(self, call: TargetCall) -> AsyncIterator[TargetEvent]:
        """Run a request and yield its answer."""
        await self._gate.pass_through()
        events = self._target.run(call)
        async with aclosing(events):  # type: ignore[type-var]
            async for event in events:
                await self._gate.pass_through()
                yield event

    async def cancel(self, run: RunId) -> Ended | None:
        """Stop a run and return its final counts."""
        await self._gate.pass_through()
        ended = await self._target.cancel(run)
        await self._gate.pass_through()
        return ended

    async def count_tokens(self, call: TargetCall) -> int | None:
        """Count a prompt's tokens."""
        await self._gate.pass_through()
        return await self._target.count_tokens(call)

    async def load(self) -> TargetLoad:
        """Return the newest load report."""
        await self._gate.pass_through()
        return await self._target.load()

    async def cache_events(self, start: int) -> CacheEvents:
        """Return the cache events from a position on."""
        await self._gate.pass_through()
        return await self._target.cache_events(start)

    async def fence(self, number: int) -> bool:
        """Set the fencing number; return whether the target checks it."""
        await self._gate.pass_through()
        return await self._target.fence(number)
