"""Keeps short background tasks until they end."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from dandelioncleat.core.failure import Failure, FailureError


class TaskSet:
    """Runs coroutines in the background and reports their failures."""

    def __init__(self, on_failure: Callable[[Failure], None]) -> None:
        """Take the function that is called with failures."""
        self._on_failure = on_failure
        self._tasks_by_number: dict[int, asyncio.Task[None]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of unfinished tasks."""
        return len(self._tasks_by_number)

    def start(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in the background."""
        self._count += 1
        task = asyncio.get_running_loop().create_task(
            self._run(self._count, work),
        )
        self._tasks_by_number[self._count] = task

    async def drain(self) -> None:
        """Wait until all tasks have ended."""
        while self._tasks_by_number:
            await asyncio.wait(tuple(self._tasks_by_number.values()))

    async def cancel(self) -> None:
        """Cancel the unfinished tasks."""
        tasks = tuple(self._tasks_by_number.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, number: int, work: Coroutine[Any, Any, Any]) -> None:
        try:
            await work
        except FailureError as error:
            self._on_failure(error.failure)
        finally:
            self._tasks_by_number.pop(number, None)
