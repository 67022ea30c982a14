"""What a model engine tells of the prompt parts that it holds."""

from typing import NamedTuple


class HeldPart(NamedTuple):
    """The tokens of a part that a target holds now; 0 if it was evicted."""

    id: str
    tokens: int


class CacheUpdate(NamedTuple):
    """Changes at a target in order.

    ``epoch`` changes when the target starts anew; ``is_gap`` says that
    earlier changes were lost; ``position`` is where to go on.
    """

    epoch: str
    position: int
    is_gap: bool
    changes: tuple[HeldPart, ...]
