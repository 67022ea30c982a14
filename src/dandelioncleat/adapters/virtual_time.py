"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar('ResultT')


class NothingScheduledError(RuntimeError):
    """Raised if every task waits for another: a deadlock."""


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = float(0)

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return ready events; without any, advance by ``timeout`` seconds."""
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
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to its end on a virtual-time loop."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
