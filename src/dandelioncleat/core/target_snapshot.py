"""What a router knows of a target when it chooses one."""

from typing import NamedTuple

from dandelioncleat.core.held_parts import HeldParts


class TargetSnapshot(NamedTuple):
    """What a router knows of a target when it chooses one.

    :param running: estimated requests that run or wait there
    :param backlog_tokens: prompt tokens there without prefill yet
    :param kv_free: estimated free KV tokens
    :param errors: its recent error responses to this router
    :param held_parts: prompt parts in the target's prefix cache
    :param is_cold: whether it has just started, or may have
    :param slowness: how long work takes there against the usual
    """

    id: str
    is_near: bool
    slots: int
    running: int
    waiting: int
    backlog_tokens: int
    kv_free: int
    errors: int
    held_parts: HeldParts
    is_cold: bool = False
    slowness: float = 1
    software_version: str | None = None

    @property
    def occupancy(self) -> float:
        """Return the requests per slot, as many as if it were not slow.

        One more request takes longer at a slow target, also if it is idle.
        """
        slots = max(1, self.slots)
        requests = self.running + self.waiting
        return (requests + (requests + 1) * (self.slowness - 1)) / slots
