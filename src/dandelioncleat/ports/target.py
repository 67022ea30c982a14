"""The target beside a sidecar: a model engine or a plain service."""

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol

from dandelioncleat.core.identity import Digest, RunId


class TargetCall(NamedTuple):
    """A request as it is sent to a target.

    ``cap`` bounds the generated tokens; ``fence`` is the sidecar's fencing
    number; ``body`` is the caller's own body.
    """

    run: RunId
    method: str
    path: str
    content_type: str
    body: bytes
    cap: int
    priority: int
    fence: int


class Piece(NamedTuple):
    """The next part of an answer: text of a model, or bytes of a body."""

    data: bytes
    tokens: int


class Ended(NamedTuple):
    """Ends an answer; ``reason`` is ``stop``, ``length`` or ``error``."""

    status: int
    content_type: str
    prompt_tokens: int
    output_tokens: int
    reason: str


TargetEvent = Piece | Ended


class TargetLoad(NamedTuple):
    """A target's own load report and its age in seconds."""

    slots: int
    running: int
    queued: int
    demand_tokens: int
    kv_tokens: int
    age_s: float


class CacheEvents(NamedTuple):
    """Prompt prefixes stored and evicted since ``start``.

    ``gap`` says that events before ``end`` were lost.
    """

    end: int
    gap: bool
    stored: tuple[Digest, ...]
    evicted: tuple[Digest, ...]


class TargetClient(Protocol):
    """Client of one target; failures raise ``FailureError``.

    Code ``target`` with a ``step`` of ``connect`` means that the request
    did not reach the target; any other step, that it may have run.
    """

    def run(self, call: TargetCall) -> AsyncIterator[TargetEvent]:
        """Run a request and yield its answer, ``Ended`` last."""

    async def cancel(self, run: RunId) -> Ended | None:
        """Stop a run and return its final counts, if the target has them."""

    async def count_tokens(self, call: TargetCall) -> int | None:
        """Count a prompt's tokens; ``None`` where the target cannot."""

    async def load(self) -> TargetLoad:
        """Return the newest load report."""

    async def cache_events(self, start: int) -> CacheEvents:
        """Return the cache events from a position on."""

    async def fence(self, number: int) -> bool:
        """Set the fencing number; return whether the target checks it."""
