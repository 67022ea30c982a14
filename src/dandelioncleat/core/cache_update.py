"""Changes of a model engine's prefix cache, as reported by the engine."""

from typing import NamedTuple


class HeldPart(NamedTuple):
    """A prompt part and its cached tokens; 0 after an eviction."""

    id: str
    tokens: int


class CacheUpdate(NamedTuple):
    """Cache changes of one target, oldest first.

    ``epoch`` changes when the target restarts; ``is_gap`` means that
    earlier changes were lost; ``position`` is where to read next.
    """

    epoch: str
    position: int
    is_gap: bool
    changes: tuple[HeldPart, ...]
