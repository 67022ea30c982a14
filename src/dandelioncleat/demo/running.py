"""Runs a daemon in a task of its own, and stops or kills it."""

import asyncio
from typing import Generic, Protocol, TypeVar


class Killable(Protocol):
    """A daemon that can be stopped, or aborted as by a power loss."""

    async def run(self) -> None:
        """Run until cancelled."""

    async def stop(self, *, limit_s: float) -> str:
        """Stop as planned; return a description of what was lost."""

    async def close(self) -> None:
        """Close every socket."""

    async def abort(self) -> None:
        """Abort every connection at once."""


DaemonT = TypeVar('DaemonT', bound=Killable)


class RunningDaemon(Generic[DaemonT]):
    """Holds a daemon and its task."""

    def __init__(self, daemon: DaemonT, task: asyncio.Task[None]) -> None:
        """Take a daemon and the task that runs it."""
        self.daemon = daemon
        self._task = task

    async def stop(self, limit_s: float) -> str:
        """Stop as planned; return a description of what was lost."""
        lost = await self.daemon.stop(limit_s=limit_s)
        await self._end()
        await self.daemon.close()
        return lost

    async def kill(self) -> None:
        """End without notice to any peer, as a crash does."""
        await self.daemon.abort()
        await self._end()
        await self.daemon.close()

    async def _end(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)


def start_daemon(daemon: DaemonT) -> RunningDaemon[DaemonT]:
    """Start a daemon."""
    return RunningDaemon(daemon, asyncio.create_task(daemon.run()))
