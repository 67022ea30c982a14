"""Follows the load of one target."""

import asyncio
import random
from collections.abc import Callable
from contextlib import aclosing

from dandelioncleat.app.target_record import TargetRecord
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.message import Load, WatchLoad
from dandelioncleat.ports.peer import Peers

INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 2.0


class TargetWatch:
    """Owns the task that reads a sidecar's load reports."""

    def __init__(
        self,
        record: TargetRecord,
        *,
        peers: Peers,
        source: random.Random,
        listener: Callable[[], None],
    ) -> None:
        """Start following the target of a record.

        :param listener: called after each load report
        """
        self.record = record
        self._peers = peers
        self._random = source
        self._listener = listener
        self._task = self._start()

    def restart(self) -> None:
        """Forget the report and reconnect."""
        self.record.forget_load()
        self._task.cancel()
        self._task = self._start()

    def stop(self) -> None:
        """End the task."""
        self._task.cancel()

    def _start(self) -> 'asyncio.Task[None]':
        return asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        delay_s = INITIAL_DELAY_S
        while True:
            try:
                await self._read_loads()
            except FailureError:
                delay_s = min(MAX_DELAY_S, 2 * delay_s)
            else:
                delay_s = INITIAL_DELAY_S
            self.record.forget_load()
            await asyncio.sleep(delay_s * (1 + self._random.random()) / 2)

    async def _read_loads(self) -> None:
        join = self.record.join
        replies = self._peers.stream(join.address, WatchLoad())
        async with aclosing(replies):  # type: ignore[type-var]
            async for reply in replies:
                if not isinstance(reply, Load):
                    return
                if reply.sidecar == join.incarnation:
                    self.record.take(reply, asyncio.get_running_loop().time())
                    self._listener()
