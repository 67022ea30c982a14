"""One run of a model engine, from its queue to its last token."""

from collections.abc import AsyncIterator
from typing import NamedTuple

from dandelioncleat.app.signal import Signal
from dandelioncleat.core.identity import RunId
from dandelioncleat.standin.prompt import Prompt


class TokenRange(NamedTuple):
    """Generated tokens, from ``start`` up to but without ``end``."""

    start: int
    end: int


class RunEnd(NamedTuple):
    """Ends a run; ``reason`` is ``stop``, ``length`` or ``cancelled``."""

    prompt_tokens: int
    output_tokens: int
    reason: str


class EngineRun:
    """Counts what a run consumed; a judge reads it as the truth.

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
        """Wait in the queue."""
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
        self._uncached: float = prompt.tokens
        self._decoded: float = 0
        self._changed = Signal()

    @property
    def started(self) -> bool:
        """Whether the run left the queue."""
        return self.started_at >= 0

    @property
    def ended(self) -> bool:
        """Whether the run has ended."""
        return self.ended_at >= 0

    @property
    def decoding(self) -> bool:
        """Whether the prompt was processed."""
        return self.started and self._uncached <= 0

    @property
    def prompt_tokens(self) -> int:
        """Prompt tokens that were consumed."""
        return self.prompt.tokens if self.started else 0

    @property
    def tokens(self) -> int:
        """All tokens that were consumed."""
        return self.prompt_tokens + self.output_tokens

    @property
    def memory(self) -> int:
        """Tokens of memory that the run holds while it runs."""
        return self.prompt.tokens + self.cap

    @property
    def demand_tokens(self) -> int:
        """Tokens of memory that the run needs now."""
        return self.prompt.tokens + self.output_tokens

    def start(self, now: float, *, cached_tokens: int) -> None:
        """Leave the queue."""
        self.started_at = now
        self._uncached = self.prompt.tokens - cached_tokens

    def prefill(self, tokens: float) -> float:
        """Process prompt tokens and return how many were used."""
        used = min(tokens, self._uncached)
        self._uncached -= used
        return used

    def decode(self, tokens: float) -> None:
        """Generate tokens, up to the cap or the answer's own end."""
        self._decoded += tokens
        length = min(self.cap, self.prompt.output_tokens)
        # A sum of equal shares may stay a rounding error below a whole.
        self.output_tokens = min(length, int(self._decoded + 1e-9))
        if self.output_tokens >= self.prompt.output_tokens:
            self.reason = 'stop'
        elif self.output_tokens >= self.cap:
            self.reason = 'length'
        self._changed.notify()

    def end(self, now: float, reason: str) -> None:
        """End the run for a reason."""
        self.ended_at = now
        self.reason = reason
        self._changed.notify()

    async def follow(self, start: int) -> AsyncIterator[TokenRange | RunEnd]:
        """Yield what was generated from ``start`` on, up to the end."""
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
