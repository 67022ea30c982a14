"""A run of a model engine, from the queue to its last token."""

from collections.abc import AsyncIterator
from typing import NamedTuple

from dandelioncleat.app.signal import Signal
from dandelioncleat.core.identity import RunId
from dandelioncleat.standin.prompt import Prompt


class TokenRange(NamedTuple):
    """A range of generated tokens; ``end`` is exclusive."""

    start: int
    end: int


class RunEnd(NamedTuple):
    """Ends a run; ``reason`` is ``stop``, ``length`` or ``cancelled``."""

    prompt_tokens: int
    output_tokens: int
    reason: str


class EngineRun:
    """Counts the tokens that a run consumed.

    The replay and the demo check the bills against these counts.
    ``started_at`` is -1 for a run that never left the queue; such a run has
    consumed nothing. ``reason`` is empty until the run has ended.
    """

    def __init__(
        self,
        run: RunId,
        prompt: Prompt,
        *,
        cap: int,
        priority: int,
        opened_at: float,
    ) -> None:
        """Start in the queue."""
        self.run = run
        self.prompt = prompt
        self.cap = cap
        self.priority = priority
        self.opened_at = opened_at
        self.started_at: float = -1
        self.ended_at: float = -1
        self.reason = ''
        self.readers = 0
        self.output_tokens = 0
        self._unprocessed_tokens: float = prompt.tokens
        self._decoded_tokens: float = 0
        self._changed = Signal()

    @property
    def started(self) -> bool:
        """Whether the run has left the queue."""
        return self.started_at >= 0

    @property
    def ended(self) -> bool:
        """Whether the run has ended."""
        return self.ended_at >= 0

    @property
    def decoding(self) -> bool:
        """Whether the prompt is processed."""
        return self.started and self._unprocessed_tokens <= 0

    @property
    def prompt_tokens(self) -> int:
        """Prompt tokens that were consumed."""
        return self.prompt.tokens if self.started else 0

    @property
    def tokens(self) -> int:
        """All tokens that were consumed."""
        return self.prompt_tokens + self.output_tokens

    @property
    def reserved_tokens(self) -> int:
        """KV memory reserved for the run, in tokens."""
        return self.prompt.tokens + self.cap

    @property
    def demand_tokens(self) -> int:
        """KV memory that the run needs now, in tokens."""
        return self.prompt.tokens + self.output_tokens

    def start(self, now: float, *, cached_tokens: int) -> None:
        """Leave the queue; cached prompt tokens need no prefill."""
        self.started_at = now
        self._unprocessed_tokens = self.prompt.tokens - cached_tokens

    def prefill(self, tokens: float) -> float:
        """Process prompt tokens and return how many were used."""
        used = min(tokens, self._unprocessed_tokens)
        self._unprocessed_tokens -= used
        return used

    def decode(self, tokens: float) -> None:
        """Generate tokens, up to the cap or the end of the answer."""
        self._decoded_tokens += tokens
        length = min(self.cap, self.prompt.output_tokens)
        # Rounding may leave a sum of equal shares just below an integer.
        self.output_tokens = min(length, int(self._decoded_tokens + 1e-9))
        if self.output_tokens >= self.prompt.output_tokens:
            self.reason = 'stop'
        elif self.output_tokens >= self.cap:
            self.reason = 'length'
        self._changed.notify()

    def end(self, now: float, reason: str) -> None:
        """End the run."""
        self.ended_at = now
        self.reason = reason
        self._changed.notify()

    async def follow(self, start: int) -> AsyncIterator[TokenRange | RunEnd]:
        """Yield the tokens from ``start`` on, then the end."""
        position = start
        while True:
            if self.output_tokens > position:
                tokens = TokenRange(position, self.output_tokens)
                position = tokens.end
                yield tokens
            elif self.ended:
                break
            else:
                await self._changed.wait()
        if self.reason != 'crash':
            yield RunEnd(self.prompt_tokens, self.output_tokens, self.reason)
