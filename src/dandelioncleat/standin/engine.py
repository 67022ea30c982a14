"""A model engine: continuous batching over two shared token rates.

The engine advances in steps. In each, the streams that decode share
``decode_tokens_s``, one token a stream at least, and the prompts that were
admitted first use up ``prefill_tokens_s``. A stream holds memory for its
prompt and its cap; the prefix cache has the rest of the memory.
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

LATEST_RUNS = 1000


class EngineSettings(NamedTuple):
    """The size of an engine and its habits.

    :param slots: streams that run at a time
    :param prefill_tokens_s: prompt tokens processed per second, in total
    :param decode_tokens_s: tokens generated per second, in total
    :param kv_tokens: tokens that the memory holds
    :param checks_fencing: whether an old fencing number is refused
    :param restart_s: seconds from a crash until the engine is back
    :param abandon_s: seconds after which a stream without reader is cut
    """

    slots: int = 8
    prefill_tokens_s: float = 20000
    decode_tokens_s: float = 1000
    kv_tokens: int = 100000
    checks_fencing: bool = False
    restart_s: float = 1
    abandon_s: float = 1


class EngineRequest(NamedTuple):
    """A request to the engine; a smaller ``priority`` goes first."""

    run: RunId
    prompt: Prompt
    cap: int
    priority: int
    fence: int


class Engine:
    """Runs requests on the running loop's time, and records what ran.

    ``runs`` holds every run that was ever opened. The lags of
    ``cache_feed`` and ``load_reports`` make those reports late.
    """

    def __init__(
        self,
        settings: EngineSettings,
        *,
        seed: int = 0,
    ) -> None:
        """Start empty.

        :param seed: decides which cache events are lost
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
        self._step: asyncio.TimerHandle | None = None
        self._down_until: float = 0

    @property
    def down(self) -> bool:
        """Whether the engine has crashed and is not back."""
        return self.down_s > 0

    @property
    def down_s(self) -> float:
        """Seconds until it is back, 0 if it has not crashed."""
        return max(0, self._down_until - _now())

    def open(self, request: EngineRequest) -> EngineRun:
        """Queue a run, or find the one that has the same id.

        Raises one of the errors of ``standin.refusal`` if it will not run.
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
        if opened.memory > self.settings.kv_tokens:
            raise TooLargeError(opened.memory)
        self.runs.append(opened)
        self._remember(opened)
        self._batch.add(opened)
        self._continue()
        return opened

    async def events(
        self,
        run: EngineRun,
        start: int = 0,
    ) -> AsyncIterator[TokenRange | RunEnd]:
        """Yield a run's tokens from ``start`` on, ``RunEnd`` last.

        Raises ``CrashedError`` if the engine crashed under the run. A run
        that no one reads is cancelled after a while.
        """
        run.readers += 1
        with ExitStack() as stack:
            stack.callback(self._reader_left, run)
            async for event in run.follow(start):
                yield event
        if run.reason == 'crash':
            raise CrashedError

    def cancel(self, run: RunId) -> EngineRun | None:
        """Stop a run and return it with its final counts."""
        found = self._runs_by_id.get(run)
        if found is not None and not found.ended:
            self._batch.end(found, _now(), 'cancelled')
            self._continue()
        return found

    def fence(self, number: int) -> bool:
        """Raise the fencing number; return whether orders are checked."""
        return self._fence.raise_to(number)

    def load(self) -> TargetLoad:
        """Return the newest load report."""
        age_s, report = self.load_reports.read(self._batch.load())
        return report._replace(age_s=age_s)

    def crash(self, down_s: float | None = None) -> None:
        """Break every stream, forget the cache and restart after a while.

        :param down_s: seconds until then; by default ``restart_s``
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
        if len(self._runs_by_id) > LATEST_RUNS and oldest.ended:
            self._runs_by_id.pop(oldest.run)

    def _reader_left(self, run: EngineRun) -> None:
        run.readers -= 1
        if not run.readers and not run.ended:
            asyncio.get_running_loop().call_later(
                self.settings.abandon_s, self._cancel_abandoned, run
            )

    def _cancel_abandoned(self, run: EngineRun) -> None:
        if not run.readers:
            self.cancel(run.run)

    def _continue(self) -> None:
        self._batch.admit(_now())
        self.load_reports.note(self._batch.load())
        if self._step is None and self._batch.running:
            duration_s = self._batch.step_s(self.settings.decode_tokens_s)
            self._step = asyncio.get_running_loop().call_later(
                duration_s, self._advance, duration_s
            )

    def _advance(self, duration_s: float) -> None:
        self._step = None
        self._batch.decode(duration_s * self.settings.decode_tokens_s, _now())
        if not self._batch.prefill(
            duration_s * self.settings.prefill_tokens_s,
        ):
            self.crash()
        self._continue()


def _now() -> float:
    return asyncio.get_running_loop().time()
