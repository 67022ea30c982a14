"""Runs a daemon as a task of its own, and ends it in either way."""

import asyncio
from typing import Generic, Protocol, TypeVar


class Killable(Protocol):
    """A daemon that can be stopped, or cut off as by a power loss."""

    async def run(self) -> None:
        """Run until cancelled."""

    async def stop(self, *, limit_s: float) -> str:
        """Stop as planned; return what was lost, in words."""

    async def close(self) -> None:
        """Close every socket."""

    async def abort(self) -> None:
        """Cut every connection at once."""


DaemonT = TypeVar('DaemonT', bound=Killable)


class Running(Generic[DaemonT]):
    """Holds a daemon and its task."""

    def __init__(self, daemon: DaemonT, task: asyncio.Task[None]) -> None:
        """Take a daemon and the task that runs it."""
        self.daemon = daemon
        self._task = task

    async def stop(self, limit_s: float) -> str:
        """Stop as planned; return what was lost, in words."""
        lost = await self.daemon.stop(limit_s=limit_s)
        await self._end()
        await self.daemon.close()
        return lost

    async def kill(self) -> None:
        """End without a word to anyone."""
        await self.daemon.abort()
        await self._end()
        await self.daemon.close()

    async def _end(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)


def start(daemon: DaemonT) -> Running[DaemonT]:
    """Start a daemon."""
    return Running(daemon, asyncio.create_task(daemon.run()))
