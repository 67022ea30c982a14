"""Reaches the store itself, or through a gateway while that is cut off."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any, Generic, NamedTuple, TypeVar

import structlog

from dandelioncleat.app.signal import Signal
from dandelioncleat.core.failure import FailureError
from dandelioncleat.ports.store import (
    ConflictError,
    FencedError,
    KeyedPage,
    KeyedStore,
    OutdatedReadError,
    Producer,
)

# A store that answers at all mostly does so in a few ms. Appends may be sent
# on both paths: the second one of them has no effect.
HEDGE_S = 0.15
# While the direct path is lost, it is tried again this often.
PROBE_INTERVAL_S = 1.0

ResultT = TypeVar('ResultT')

_logger = structlog.get_logger(__name__)


class PathName(StrEnum):
    """A way to the store."""

    DIRECT = 'direct'
    GATEWAY = 'gateway'


class _Call(NamedTuple, Generic[ResultT]):
    """A call that can be made on either path.

    ``patience_s`` is how long one path is given before the other is tried.
    """

    make: Callable[[KeyedStore], Awaitable[ResultT]]
    patience_s: float
    is_probe: bool = False


class StorePath:
    """Implements the ``KeyedStore`` port over two paths to the same store.

    The path that answered last is tried first, and the other one if it does
    not answer soon. Calls that wait follow when the path changes.
    """

    def __init__(self, direct: KeyedStore, gateway: KeyedStore) -> None:
        """Take both paths; the direct one comes first."""
        self.preferred = PathName.DIRECT
        self._stores_by_path = {
            PathName.DIRECT: direct,
            PathName.GATEWAY: gateway,
        }
        self._changed = Signal()
        self._probe_at = float('-inf')

    async def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        return await self._race(_Call(lambda each: each.newest(topic), HEDGE_S))

    async def read(self, topic: str, *, start: int, wait_s: float) -> KeyedPage:
        """Return the records from ``start`` on."""
        return await self._race(
            _Call(
                lambda each: each.read(topic, start=start, wait_s=wait_s),
                wait_s + HEDGE_S,
            )
        )

    async def append(
        self,
        topic: str,
        records: tuple[tuple[str, bytes], ...],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> int:
        """Append records and return the new end of the topic."""
        return await self._race(
            _Call(
                lambda each: each.append(
                    topic, records, at=at, producer=producer
                ),
                HEDGE_S,
                is_probe=producer is not None and self._is_probe_due(),
            )
        )

    async def _race(self, call: _Call[ResultT]) -> ResultT:
        first = self.preferred
        if call.is_probe:
            first = PathName.DIRECT
        runs = {first: self._start(first, call)}
        try:
            is_overdue = not call.is_probe and await self._is_overdue(
                runs[first], call.patience_s
            )
            if not _has_answered(runs[first]):
                second = _other(first)
                runs[second] = self._start(second, call)
            path = await self._first_to_answer(runs)
        finally:
            for run in runs.values():
                run.cancel()
        # A call that only followed a change says nothing of the paths.
        is_news = is_overdue and first is self.preferred
        if path is not None and (call.is_probe or is_news):
            self._prefer(path)
        return runs[path or first].result()

    def _start(
        self, path: PathName, call: _Call[ResultT]
    ) -> asyncio.Future[ResultT]:
        return asyncio.ensure_future(call.make(self._stores_by_path[path]))

    async def _is_overdue(
        self, run: asyncio.Future[Any], patience_s: float
    ) -> bool:
        """Return whether a run failed, or did not answer in time.

        It is not waited for if the path changes meanwhile.
        """
        changed = asyncio.ensure_future(self._changed.wait())
        try:
            await asyncio.wait(
                (run, changed),
                timeout=patience_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            return not _has_answered(run) and not changed.done()
        finally:
            changed.cancel()

    async def _first_to_answer(
        self, runs: dict[PathName, asyncio.Future[ResultT]]
    ) -> PathName | None:
        """Return the path that answered first, ``None`` if both failed."""
        waiting = set(runs.values())
        while waiting:
            _, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            for path, run in runs.items():
                if _has_answered(run):
                    return path
        return None

    def _prefer(self, path: PathName) -> None:
        if path is self.preferred:
            return
        self.preferred = path
        self._probe_at = _now() + PROBE_INTERVAL_S
        self._changed.notify()
        _logger.info('path to the store changed', path=path)

    def _is_probe_due(self) -> bool:
        if self.preferred is PathName.DIRECT or _now() < self._probe_at:
            return False
        self._probe_at = _now() + PROBE_INTERVAL_S
        return True


def _other(path: PathName) -> PathName:
    if path is PathName.DIRECT:
        return PathName.GATEWAY
    return PathName.DIRECT


def _has_answered(run: asyncio.Future[Any]) -> bool:
    """Return whether the store has answered, whatever it said."""
    if not run.done():
        return False
    error = run.exception()
    if isinstance(error, FailureError):
        return False
    if isinstance(error, OutdatedReadError | ConflictError | FencedError):
        return True
    if error is not None:
        raise error
    return True


def _now() -> float:
    return asyncio.get_running_loop().time()
