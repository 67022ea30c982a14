"""Finds the targets that take a request now, or soon enough."""

import asyncio
from typing import NamedTuple

from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.app.direct.target_directory import TargetDirectory
from dandelioncleat.app.direct.target_limits import TargetLimits
from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.core.direct_request import DirectRefusal, RefusalReason

# A request waits for a limited target for this part of its objective at most;
# callers that would wait longer are told at once when to come back.
MAX_WAIT_SHARE = 0.25
# When an evacuation ends is known to its operator only.
EVACUATED_RETRY_S = 1.0


class Turn(NamedTuple):
    """A target and when it takes a request, in seconds from now."""

    state: TargetState
    wait_s: float


class _Busy(NamedTuple):
    """When a caller may come back to a target that takes nothing now."""

    retry_s: float
    reason: RefusalReason


class OpenTargets:
    """Keeps requests from targets that want none now, or fewer."""

    def __init__(
        self, directory: TargetDirectory, limits: TargetLimits
    ) -> None:
        """Initialise with the targets and the limits that they name."""
        self._directory = directory
        self._limits = limits

    def candidates(self, context: RunContext) -> list[TargetState]:
        """Return the untried targets that take the request at once."""
        now = _now()
        free = [
            state
            for state in self._untried(context, now)
            if not self._limits.wait_s(state, now)
        ]
        healthy = [state for state in free if not state.is_paused(now)]
        return healthy or free

    def next_turn(self, context: RunContext) -> Turn | None:
        """Return the target that takes the request first, in time."""
        now = _now()
        turns = [
            Turn(state, self._limits.wait_s(state, now))
            for state in self._untried(context, now)
        ]
        first = min(turns, key=lambda turn: turn.wait_s, default=None)
        if first is None or first.wait_s > _max_wait_s(context):
            return None
        return first

    def take_turn(self, state: TargetState) -> None:
        """Count a request that is sent when a target's limit allows it."""
        self._limits.take_turn(state, _now())

    def is_open(self, state: TargetState) -> bool:
        """Return whether a target still takes requests after a wait."""
        is_paused = bool(state.wishes.pause_s(_now()))
        return self._directory.is_open(state) and not is_paused

    def limit_per_s(self, state: TargetState) -> float | None:
        """Return the limit that a target names, ``None`` without one."""
        return self._limits.limit_per_s(state.entry)

    def busy_refusal(self, context: RunContext) -> DirectRefusal | None:
        """Return a refusal if no target takes the request in time.

        ``None`` if one does, or if none is listed that is not leaving.
        """
        now = _now()
        states = self._directory.available(context.admitted.service.name)
        busy: list[_Busy] = []
        for state in states:
            each = self._busy(state, context, now)
            if each is None:
                return None
            busy.append(each)
        if not busy:
            return self._evacuation_refusal(context)
        first = min(busy)
        return DirectRefusal(first.reason, retry_after_s=first.retry_s)

    def _evacuation_refusal(self, context: RunContext) -> DirectRefusal | None:
        """Return a refusal if evacuations leave a service no targets."""
        service = context.admitted.service.name
        if not any(
            state.entry.service == service and state.accepts_new
            for state in self._directory.states
        ):
            return None
        return DirectRefusal(
            RefusalReason.TARGETS_EVACUATED, retry_after_s=EVACUATED_RETRY_S
        )

    def _untried(self, context: RunContext, now: float) -> list[TargetState]:
        service = context.admitted.service.name
        return [
            state
            for state in self._directory.available(service)
            if state.entry.id not in context.tried_targets
            and context.fits(state.entry)
            and not state.wishes.pause_s(now)
        ]

    def _busy(
        self, state: TargetState, context: RunContext, now: float
    ) -> _Busy | None:
        """Return when a target takes a request, ``None`` if it does in time."""
        pause_s = state.wishes.pause_s(now)
        if pause_s:
            return _Busy(pause_s, RefusalReason.TARGETS_PAUSED)
        if self._limits.wait_s(state, now) <= _max_wait_s(context):
            return None
        retry_s = self._limits.retry_s(state, now)
        return _Busy(retry_s, RefusalReason.TARGETS_LIMITED)


def _max_wait_s(context: RunContext) -> float:
    """Return how long a request may wait for a limited target, in seconds."""
    objective_s = context.admitted.route.objective_s
    return min(MAX_WAIT_SHARE * objective_s, max(0, context.remaining_s))


def _now() -> float:
    return asyncio.get_running_loop().time()
