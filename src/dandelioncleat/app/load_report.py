"""Reports a target's load to the routers that watch it."""

import asyncio
from collections.abc import AsyncIterator, Callable

from msgspec import structs

from dandelioncleat.app.executor_parts import ExecutorIdentity
from dandelioncleat.app.run_book import RunBook
from dandelioncleat.core.cached_prefixes import CachedPrefixes
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.message import Load
from dandelioncleat.ports.target import TargetClient, TargetLoad
from dandelioncleat.ports.telemetry import Telemetry

POLL_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 0.25
MAX_INTERVAL_S = 4.0
MAX_REPORTS_PER_S = 50.0
MAX_SILENCE_S = 5.0
MS_PER_S = 1000
NO_LOAD = TargetLoad(0, 0, 0, 0, 0, 0)


class LoadReport:
    """Polls the target and reports changes to watchers.

    A target that cannot be reached is reported with no slots.
    """

    def __init__(
        self,
        identity: ExecutorIdentity,
        *,
        client: TargetClient,
        book: RunBook,
        slots: Callable[[], int],
        is_leaving: Callable[[], bool],
        telemetry: Telemetry,
    ) -> None:
        """Take the target and the runs that this process knows of."""
        self._identity = identity
        self._client = client
        self._book = book
        self._slots = slots
        self._is_leaving = is_leaving
        self._telemetry = telemetry
        self._load = NO_LOAD
        self._loaded_at: float = 0
        self._is_reachable = False
        self._prefixes = CachedPrefixes()
        self._events_end = 0
        self._watchers = 0
        self._changed = asyncio.Event()
        book.on_change(self.notify)

    def notify(self) -> None:
        """Make the watchers check for changes."""
        self._changed.set()

    async def run(self) -> None:
        """Poll the target until cancelled."""
        while True:
            try:
                await self._poll()
            except FailureError:
                self._mark_unreachable()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def watch(self) -> AsyncIterator[Load]:
        """Yield the load now and at each change, at a bounded rate.

        All watchers share the rate, so the interval of each grows with
        their number.
        """
        self._watchers += 1
        last_sent: Load | None = None
        try:
            while True:
                load = self.current()
                yield (
                    load if last_sent is None else load_changes(last_sent, load)
                )
                last_sent = load
                await asyncio.sleep(self._interval_s)
                await self._wait_for_change(load)
        finally:
            self._watchers -= 1

    @property
    def _interval_s(self) -> float:
        shared_s = self._watchers / MAX_REPORTS_PER_S
        return min(max(REPORT_INTERVAL_S, shared_s), MAX_INTERVAL_S)

    def current(self) -> Load:
        """Return the load as it is known now."""
        now = asyncio.get_running_loop().time()
        progress = self._book.progress
        age_s = self._load.age_s + now - self._loaded_at
        return Load(
            target=self._identity.target,
            sidecar=self._identity.incarnation,
            leaving=self._is_leaving(),
            slots=self._slots() if self._is_reachable else 0,
            running=progress.running,
            queued=progress.queued + self._load.queued,
            demand_tokens=self._load.demand_tokens,
            kv_tokens=self._load.kv_tokens,
            age_ms=int(age_s * MS_PER_S),
            prefixes=self._prefixes.newest_last,
        )

    async def _poll(self) -> None:
        load = await self._client.load()
        events = await self._client.cache_events(self._events_end)
        has_changed = not self._is_reachable or load._replace(age_s=0) != (
            self._load._replace(age_s=0)
        )
        self._load = load
        self._loaded_at = asyncio.get_running_loop().time()
        self._is_reachable = True
        if events.end != self._events_end or events.gap:
            self._events_end = events.end
            self._prefixes.apply(events.stored, events.evicted, gap=events.gap)
            has_changed = True
        if has_changed:
            self.notify()

    def _mark_unreachable(self) -> None:
        if self._is_reachable:
            self._is_reachable = False
            self._prefixes.clear()
            self._events_end = 0
            self._telemetry.count('sidecar.target_lost')
            self.notify()

    async def _wait_for_change(self, last_sent: Load) -> None:
        loop = asyncio.get_running_loop()
        limit = loop.time() + MAX_SILENCE_S
        while _without_age(self.current()) == _without_age(last_sent):
            self._changed.clear()
            try:
                async with asyncio.timeout_at(limit):
                    await self._changed.wait()
            except TimeoutError:
                return


def load_changes(last_sent: Load, load: Load) -> Load:
    """Return a report of what changed since ``last_sent``."""
    known = dict.fromkeys(last_sent.prefixes)
    cached = dict.fromkeys(load.prefixes)
    return structs.replace(
        load,
        prefixes=tuple(prefix for prefix in cached if prefix not in known),
        evicted=tuple(prefix for prefix in known if prefix not in cached),
        is_whole=False,
    )


def _without_age(load: Load) -> Load:
    """Return a load without its age, which changes all the time."""
    return structs.replace(load, age_ms=0)
