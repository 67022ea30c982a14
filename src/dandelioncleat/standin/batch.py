"""The runs that an engine processes as one batch, and their queue."""

from dandelioncleat.ports.target import TargetLoad
from dandelioncleat.standin.engine_run import EngineRun
from dandelioncleat.standin.prefix_cache import PrefixCache

MIN_STEP_S = 0.01


class Batch:
    """Shares slots, KV memory and token rates among runs.

    :param slots: maximum number of concurrent runs
    :param kv_tokens: capacity of the KV memory in tokens
    """

    def __init__(
        self,
        *,
        slots: int,
        kv_tokens: int,
        cache: PrefixCache,
    ) -> None:
        """Start empty."""
        self.running: list[EngineRun] = []
        self.queue: list[EngineRun] = []
        self._slots = slots
        self._kv_tokens = kv_tokens
        self._cache = cache
        self._reserved_tokens = 0

    def add(self, run: EngineRun) -> None:
        """Queue a run behind earlier ones of equal priority."""
        self.queue.append(run)
        self.queue.sort(key=_queue_order)

    def admit(self, now: float) -> None:
        """Start queued runs in order while slots and memory suffice."""
        while self.queue and len(self.running) < self._slots:
            if (
                self._reserved_tokens + self.queue[0].reserved_tokens
                > self._kv_tokens
            ):
                return
            self._start(self.queue.pop(0), now)

    def end(self, run: EngineRun, now: float, reason: str) -> None:
        """End a run, whether it is running or queued."""
        if run in self.running:
            self.running.remove(run)
            self._reserved_tokens -= run.reserved_tokens
        elif run in self.queue:
            self.queue.remove(run)
        run.end(now, reason)

    def step_s(self, decode_tokens_s: float) -> float:
        """Return the duration of a step that decodes a token per run."""
        decoding = sum(1 for run in self.running if run.decoding)
        return max(MIN_STEP_S, decoding / decode_tokens_s)

    def decode(self, tokens: float, now: float) -> None:
        """Distribute generated tokens equally among decoding runs."""
        decoding = [run for run in self.running if run.decoding]
        for run in decoding:
            run.decode(tokens / len(decoding))
            if run.reason:
                self.end(run, now, run.reason)

    def prefill(self, tokens: float) -> bool:
        """Process prompts in order; return false on a poison prompt."""
        for run in self.running:
            if tokens <= 0:
                return True
            if run.decoding:
                continue
            tokens -= run.prefill(tokens)
            if not run.decoding:
                continue
            if run.prompt.poison:
                return False
            self._cache.store(
                run.prompt.prefixes, self._kv_tokens - self._reserved_tokens
            )
        return True

    def load(self) -> TargetLoad:
        """Return the current load."""
        return TargetLoad(
            slots=self._slots,
            running=len(self.running),
            queued=len(self.queue),
            demand_tokens=sum(
                run.demand_tokens for run in (*self.running, *self.queue)
            ),
            kv_tokens=self._kv_tokens,
            age_s=0,
        )

    def _start(self, run: EngineRun, now: float) -> None:
        self.running.append(run)
        self._reserved_tokens += run.reserved_tokens
        cached = self._cache.hit_tokens(run.prompt.prefixes)
        self._cache.shrink(self._kv_tokens - self._reserved_tokens)
        run.start(now, cached_tokens=min(cached, run.prompt.tokens - 1))


def _queue_order(run: EngineRun) -> tuple[int, float]:
    return run.priority, run.opened_at
