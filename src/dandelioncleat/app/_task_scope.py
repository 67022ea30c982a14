"""Background tasks that a component starts while it runs."""

import asyncio
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

from dandelioncleat.core.failure import Code, FailureError, failure_error


class TaskScope:
    """Starts tasks in the task group of the component's ``run``."""

    def __init__(self) -> None:
        """Start closed."""
        self._group: asyncio.TaskGroup | None = None

    @property
    def is_open(self) -> bool:
        """Return whether tasks can be started."""
        return self._group is not None

    def open(self, group: asyncio.TaskGroup) -> None:
        """Start tasks in ``group`` from now on."""
        self._group = group

    def close(self) -> None:
        """Start no more tasks."""
        self._group = None

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[None]:
        """Start a task; a ``FailureError`` in it ends only that task."""
        if self._group is None:
            work.close()
            raise failure_error(
                Code.NOT_READY,
                step='spawn',
                peer='',
                text='the component is not running',
            )
        return self._group.create_task(_suppress_failure(work))


async def _suppress_failure(work: Coroutine[Any, Any, Any]) -> None:
    with suppress(FailureError):
        await work
