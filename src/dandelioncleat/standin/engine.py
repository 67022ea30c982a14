"""A simulated model engine with continuous batching.

The engine advances in steps. In each step, the decoding runs share
``decode_tokens_s``, at least one token per run, and prompts are processed in
order of admission at ``prefill_tokens_s``. A run reserves KV memory for its
prompt and its output limit; the prefix cache uses the rest.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import ExitStack
from typing import NamedTuple

from dandelioncleat.app.signal import Signal
from dandelioncleat.core.identity import RunId
from dandelioncleat.ports.target import TargetLoad
from dandelioncleat.standin._fence import Fence
from dandelioncleat.standin._lag import LaggingState
from dandelioncleat.standin.batch import Batch
from dandelioncleat.standin.engine_run import (
    EngineRun,
    RunEnd,
    TokenRange,
)
from dandelioncleat.standin.prefix_cache import EventFeed, PrefixCache
from dandelioncleat.standin.prompt import Prompt
from dandelioncleat.standin.refusal import (
    CrashedError,
    DownError,
    TooLargeError,
)

MAX_REMEMBERED_RUNS = 1000


class EngineSettings(NamedTuple):
    """Capacity, rates and timeouts of an engine.

    :param slots: maximum number of concurrent runs
    :param prefill_tokens_s: prompt tokens processed per second, in total
    :param decode_tokens_s: tokens generated per second, in total
    :param kv_tokens: capacity of the KV memory in tokens
    :param checks_fencing: whether requests with a lower number are refused
    :param restart_s: seconds from a crash to the restart
    :param abandon_s: seconds after which a run without reader is cancelled
    """

    slots: int = 8
    prefill_tokens_s: float = 20000
    decode_tokens_s: float = 1000
    kv_tokens: int = 100000
    checks_fencing: bool = False
    restart_s: float = 1
    abandon_s: float = 1


class EngineRequest(NamedTuple):
    """A request to the engine; the lowest ``priority`` runs first."""

    run: RunId
    prompt: Prompt
    cap: int
    priority: int
    fence: int


class Engine:
    """Simulates runs in the event loop's time and records them.

    ``runs`` holds every run that was ever opened. Setting ``lag_s`` of
    ``cache_feed`` or ``load_reports`` delays these reports.
    """

    def __init__(
        self,
        settings: EngineSettings,
        *,
        seed: int = 0,
    ) -> None:
        """Start empty.

        :param seed: determines which cache events are lost
        """
        self.settings = settings
        self.runs: list[EngineRun] = []
        self.crashes = 0
        self._fence = Fence(checks=settings.checks_fencing)
        self.cache_feed = EventFeed(now=_now, generator=random.Random(seed))
        self.load_reports = LaggingState[TargetLoad](now=_now)
        self._cache = PrefixCache(self.cache_feed)
        self._batch = Batch(
            slots=settings.slots,
            kv_tokens=settings.kv_tokens,
            cache=self._cache,
        )
        self.crashed = Signal()
        self._runs_by_id: dict[RunId, EngineRun] = {}
        self._next_step: asyncio.TimerHandle | None = None
        self._down_until: float = 0

    @property
    def down(self) -> bool:
        """Whether the engine crashed and has not restarted yet."""
        return self.down_s > 0

    @property
    def down_s(self) -> float:
        """Seconds until the restart, 0 if the engine is up."""
        return max(0, self._down_until - _now())

    def open(self, request: EngineRequest) -> EngineRun:
        """Queue a run, or return the one that has the same id.

        Raises an error of ``standin.refusal`` if the request is refused.
        """
        if self.down:
            raise DownError
        self._fence.check(request.fence)
        known = self._runs_by_id.get(request.run)
        if known is not None:
            return known
        opened = EngineRun(
            request.run,
            request.prompt,
            cap=request.cap,
            priority=request.priority,
            opened_at=_now(),
        )
        if opened.reserved_tokens > self.settings.kv_tokens:
            raise TooLargeError(opened.reserved_tokens)
        self.runs.append(opened)
        self._remember(opened)
        self._batch.add(opened)
        self._schedule_step()
        return opened

    async def events(
        self,
        run: EngineRun,
        start: int = 0,
    ) -> AsyncIterator[TokenRange | RunEnd]:
        """Yield a run's tokens from ``start`` on, ``RunEnd`` last.

        Raises ``CrashedError`` if the engine crashed during the run. A run
        without reader is cancelled after ``abandon_s``.
        """
        run.readers += 1
        with ExitStack() as stack:
            stack.callback(self._remove_reader, run)
            async for event in run.follow(start):
                yield event
        if run.reason == 'crash':
            raise CrashedError

    def cancel(self, run: RunId) -> EngineRun | None:
        """Stop a run and return it with its final counts."""
        found = self._runs_by_id.get(run)
        if found is not None and not found.ended:
            self._batch.end(found, _now(), 'cancelled')
            self._schedule_step()
        return found

    def fence(self, number: int) -> bool:
        """Raise the fencing number; return whether it is checked."""
        return self._fence.raise_to(number)

    def load(self) -> TargetLoad:
        """Return the newest load report."""
        age_s, report = self.load_reports.read(self._batch.load())
        return report._replace(age_s=age_s)

    def crash(self, down_s: float | None = None) -> None:
        """Abort every run, clear the cache and restart later.

        :param down_s: seconds until the restart; default ``restart_s``
        """
        self.crashes += 1
        if down_s is None:
            down_s = self.settings.restart_s
        self._down_until = _now() + down_s
        for run in (*self._batch.running, *self._batch.queue):
            self._batch.end(run, _now(), 'crash')
        self._cache.clear()
        self.crashed.notify()
        self.load_reports.note(self._batch.load())

    def _remember(self, run: EngineRun) -> None:
        self._runs_by_id[run.run] = run
        oldest = next(iter(self._runs_by_id.values()))
        if len(self._runs_by_id) > MAX_REMEMBERED_RUNS and oldest.ended:
            self._runs_by_id.pop(oldest.run)

    def _remove_reader(self, run: EngineRun) -> None:
        run.readers -= 1
        if not run.readers and not run.ended:
            asyncio.get_running_loop().call_later(
                self.settings.abandon_s, self._cancel_abandoned, run
            )

    def _cancel_abandoned(self, run: EngineRun) -> None:
        if not run.readers:
            self.cancel(run.run)

    def _schedule_step(self) -> None:
        self._batch.admit(_now())
        self.load_reports.note(self._batch.load())
        if self._next_step is None and self._batch.running:
            duration_s = self._batch.step_s(self.settings.decode_tokens_s)
            self._next_step = asyncio.get_running_loop().call_later(
                duration_s, self._run_step, duration_s
            )

    def _run_step(self, duration_s: float) -> None:
        self._next_step = None
        self._batch.decode(duration_s * self.settings.decode_tokens_s, _now())
        if not self._batch.prefill(
            duration_s * self.settings.prefill_tokens_s,
        ):
            self.crash()
        self._schedule_step()


def _now() -> float:
    return asyncio.get_running_loop().time()
