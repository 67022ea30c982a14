"""Follows which prompt parts the model engines hold."""

import asyncio
import random

import structlog

from dandelioncleat.app.direct.target_directory import TargetDirectory
from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.core.failure import FailureError
from dandelioncleat.ports.cache_events import CacheEventSource

SCAN_INTERVAL_S = 0.5
# A call that waits costs the target nothing; a short one counts as a probe.
WAIT_S = 0.9
GATHER_S = 0.15
# A target serves few such calls at once; who was refused asks less often.
REFUSED_PAUSE_S = 3.0

_logger = structlog.get_logger(__name__)


class CacheWatch:
    """Runs a task for each target with an engine."""

    def __init__(
        self,
        directory: TargetDirectory,
        events: CacheEventSource,
        *,
        source: random.Random,
    ) -> None:
        """Take the targets and what asks them."""
        self._directory = directory
        self._events = events
        self._source = source
        self._tasks_by_target: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Keep a task for each target until cancelled."""
        try:
            while True:
                self._update()
                await asyncio.sleep(SCAN_INTERVAL_S)
        finally:
            for task in self._tasks_by_target.values():
                task.cancel()

    def _update(self) -> None:
        states_by_id = self._directory.engines()
        for gone in self._tasks_by_target.keys() - states_by_id.keys():
            self._tasks_by_target.pop(gone).cancel()
        for target, state in states_by_id.items():
            if target not in self._tasks_by_target:
                self._tasks_by_target[target] = asyncio.create_task(
                    self._follow(state)
                )

    async def _follow(self, state: TargetState) -> None:
        while True:
            try:
                await self._read_once(state)
            except FailureError as error:
                _logger.debug(
                    'cache events missed',
                    target=state.entry.id,
                    reason=str(error),
                )
                pause_s = REFUSED_PAUSE_S * (0.5 + self._source.random())
                await asyncio.sleep(pause_s)
            else:
                await asyncio.sleep(GATHER_S)

    async def _read_once(self, state: TargetState) -> None:
        cache = state.cache
        news = await self._events.cache_update(
            state.entry, start=cache.position, wait_s=WAIT_S
        )
        cache.take(news)
