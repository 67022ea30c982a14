"""The runs of an executor and the readers of their answers."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import NamedTuple

from dandelioncleat.app.active_run import RESUME_STEP, ActiveRun
from dandelioncleat.core.failure import Code
from dandelioncleat.core.identity import Incarnation, RunId
from dandelioncleat.core.message import Message, Refusal
from dandelioncleat.core.run import Run, Runs, Tombstone

ABANDON_DELAY_S = 30.0
MAX_UNFETCHED = 1000


class Progress(NamedTuple):
    """The numbers of runs at the target and in its queue."""

    running: int
    queued: int


class RunBook:
    """Stores runs and notifies waiters when one starts or ends."""

    def __init__(
        self,
        incarnation: Incarnation,
        *,
        on_abandoned: Callable[[ActiveRun], None],
    ) -> None:
        """Take the executor's identity and a callback for unread runs."""
        self.runs = Runs()
        self.active_by_id: dict[RunId, ActiveRun] = {}
        self._unfetched: dict[RunId, None] = {}
        self._incarnation = incarnation
        self._on_abandoned = on_abandoned
        self._arrived = asyncio.Event()
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []

    @property
    def progress(self) -> Progress:
        """Return how many runs are open."""
        running = self.runs.running
        return Progress(running, len(self.runs.open_by_id) - running)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when a run starts or ends."""
        self._listeners.append(listener)

    def add(self, active: ActiveRun) -> None:
        """Add a new run."""
        self.runs.add(active.run)
        self.active_by_id[active.run.id] = active
        self._arrived.set()

    def end(self, active: ActiveRun) -> None:
        """Move a run that has ended to the bounded history."""
        active.cancel_timers()
        self.runs.end(active.run)
        active.notify()
        self._unfetched[active.run.id] = None
        while len(self._unfetched) > MAX_UNFETCHED:
            self._unfetched.pop(next(iter(self._unfetched)))
        if not active.readers:
            self.active_by_id.pop(active.run.id, None)

    def is_all_fetched(self) -> bool:
        """Return whether all answers that ended recently were read."""
        return not self._unfetched

    def note_change(self) -> None:
        """Notify those who wait for runs to start or end."""
        self._changed.set()
        for listener in self._listeners:
            listener()

    async def follow(self, run_id: RunId, start: int) -> AsyncIterator[Message]:
        """Yield a run's answer from a byte offset on, and its end."""
        known = self.runs.get(run_id)
        if not isinstance(known, Run):
            yield self._unavailable(known)
            return
        active = self.active_by_id.get(run_id)
        if active is None:
            active = ActiveRun(known, deadline_at=0)
            self.active_by_id[run_id] = active
        active.readers += 1
        try:
            answer = active.read(start)
            async with aclosing(answer):  # type: ignore[type-var]
                async for message in answer:
                    yield message
        finally:
            self._leave(active)

    async def wait_for_dispatch(self, run: RunId, wait_s: float) -> None:
        """Wait for a dispatch that may be on its way."""
        loop = asyncio.get_running_loop()
        limit = loop.time() + wait_s
        while self.runs.get(run) is None:
            self._arrived.clear()
            try:
                async with asyncio.timeout_at(limit):
                    await self._arrived.wait()
            except TimeoutError:
                return

    async def wait_until(
        self,
        condition: Callable[[], bool],
        limit_s: float | None = None,
    ) -> bool:
        """Wait for runs to change until a condition holds.

        :param limit_s: time in seconds after which ``False`` is returned
        """
        try:
            async with asyncio.timeout(limit_s):
                while not condition():
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def open_runs(self) -> tuple[ActiveRun, ...]:
        """Return the runs that have not ended."""
        return tuple(
            active
            for active in self.active_by_id.values()
            if active.run.is_open
        )

    def _leave(self, active: ActiveRun) -> None:
        active.readers -= 1
        if active.delivered:
            self._unfetched.pop(active.run.id, None)
            self.note_change()
        if active.readers:
            return
        if active.run.is_open:
            active.timers.append(
                asyncio.get_running_loop().call_later(
                    ABANDON_DELAY_S,
                    self._abandon,
                    active,
                ),
            )
        else:
            self.active_by_id.pop(active.run.id, None)

    def _abandon(self, active: ActiveRun) -> None:
        if not active.readers:
            self._on_abandoned(active)

    def _unavailable(self, trace: Tombstone | None) -> Refusal:
        ran = trace is None or trace.began
        code = Code.NOT_FOUND if ran else Code.SEALED
        text = 'the run is not known here' if ran else 'the run is sealed'
        return Refusal(code, RESUME_STEP, self._incarnation, text, ran=ran)
