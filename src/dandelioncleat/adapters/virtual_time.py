"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar('ResultT')


class NothingScheduledError(RuntimeError):
    """Says that every task waits for another, so that time cannot pass."""


class _JumpingSelector(selectors.SelectSelector):
    """Passes a wait by moving the virtual time forward."""

    def __init__(self) -> None:
        super().__init__()
        self.now = float(0)

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now; else let ``timeout`` seconds pass."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise NothingScheduledError('no timer is set and no task can run')
        self.now += max(timeout, 0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks in order on a clock that starts at zero."""

    def __init__(self) -> None:
        """Start at time zero."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now


def run(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to its end on a virtual-time loop."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
