"""Follows which prompt parts the model engines have cached."""

import asyncio
import random
from collections.abc import Callable

import structlog

from dandelioncleat.app.direct.target_directory import TargetDirectory
from dandelioncleat.app.direct.target_limits import TargetLimits
from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.failure import FailureError
from dandelioncleat.ports.cache_events import CacheEventSource

SCAN_INTERVAL_S = 0.5
# Long polls are free for the target; it counts short calls as probes.
POLL_WAIT_S = 0.9
# Events that arrive during this pause are read in one call.
BATCH_PAUSE_S = 0.15
# A target serves few such calls at once. The more routers there are, the more
# polls it refuses, so each refusal doubles the pause.
REFUSED_PAUSE_S = 3.0
MAX_REFUSED_PAUSE_S = 60.0
# Up to six routers poll a target about once a second each, which is most of
# what a target takes that names less.
MIN_POLLED_PER_S = 10.0

_logger = structlog.get_logger(__name__)


class CacheWatch:
    """Runs a polling task for each target that has a model engine."""

    def __init__(
        self,
        directory: TargetDirectory,
        events: CacheEventSource,
        *,
        source: random.Random,
        is_poller: Callable[[str], bool],
        limits: TargetLimits,
        on_broken: Callable[[TargetEntry], None] | None = None,
    ) -> None:
        """Initialise with the targets and the client of their cache events.

        :param is_poller: returns whether this router polls a target; all
            routers of a large fleet would be more than targets answer
        :param limits: is told what the targets say about their limits
        :param source: spreads the pauses after refused polls
        :param on_broken: called with the entry of a target that broke off a
            poll
        """
        self._directory = directory
        self._events = events
        self._source = source
        self._is_poller = is_poller
        self._limits = limits
        self._on_broken = on_broken
        self._tasks_by_target: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Start and stop polling tasks as targets change, until cancelled."""
        try:
            while True:
                self._update()
                await asyncio.sleep(SCAN_INTERVAL_S)
        finally:
            for task in self._tasks_by_target.values():
                task.cancel()

    def _update(self) -> None:
        states_by_id = {
            state.entry.id: state
            for state in self._directory.states
            if state.kv_tokens > 0
            and self._directory.is_open(state)
            and self._is_poller(state.entry.id)
        }
        for removed in self._tasks_by_target.keys() - states_by_id.keys():
            self._tasks_by_target.pop(removed).cancel()
        for target, state in states_by_id.items():
            if target not in self._tasks_by_target:
                self._tasks_by_target[target] = asyncio.create_task(
                    self._poll(state)
                )

    async def _poll(self, state: TargetState) -> None:
        refusals = 0
        while True:
            await asyncio.sleep(state.wishes.pause_s(_now()))
            if self._is_spared(state):
                await asyncio.sleep(SCAN_INTERVAL_S)
                continue
            try:
                is_answered = await self._poll_once(state)
            except FailureError as error:
                _logger.debug(
                    'cache events missed',
                    target=state.entry.id,
                    reason=str(error),
                )
                self._note_broken(state)
                is_answered = False
            refusals = 0 if is_answered else refusals + 1
            await asyncio.sleep(self._pause_s(refusals))

    def _note_broken(self, state: TargetState) -> None:
        if self._on_broken is not None:
            self._on_broken(state.entry)

    async def _poll_once(self, state: TargetState) -> bool:
        """Read the changes; return whether the target answered the poll."""
        cache = state.cache
        poll = await self._events.cache_update(
            state.entry, start=cache.position, wait_s=POLL_WAIT_S
        )
        state.unread_retries.note_read()
        state.wishes.apply(poll.notice, _now())
        state.note_occupancy(poll.occupancy, _now())
        self._limits.note_poll(state.entry, poll.notice)
        if poll.update is None:
            return False
        cache.take(poll.update)
        return True

    def _is_spared(self, state: TargetState) -> bool:
        """Return whether a target takes too few requests to be polled."""
        if state.cold.is_cold(_now()):
            return True
        limit_per_s = self._limits.limit_per_s(state.entry)
        return limit_per_s is not None and limit_per_s < MIN_POLLED_PER_S

    def _pause_s(self, refusals: int) -> float:
        """Return the pause after some refusals in a row, in seconds."""
        if not refusals:
            return BATCH_PAUSE_S
        pause_s = REFUSED_PAUSE_S
        for _ in range(refusals - 1):
            pause_s = min(2 * pause_s, MAX_REFUSED_PAUSE_S)
        return pause_s * (0.5 + self._source.random())


def _now() -> float:
    return asyncio.get_running_loop().time()
