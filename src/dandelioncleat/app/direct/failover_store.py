"""Calls the store directly, or through gateways while it is unreachable."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any, Generic, NamedTuple, TypeVar

import structlog

from dandelioncleat.app.signal import Signal
from dandelioncleat.core.failure import FailureError
from dandelioncleat.ports.store import (
    Appended,
    ConflictError,
    FencedError,
    KeyedPage,
    KeyedStore,
    OutdatedReadError,
    Producer,
    SequenceError,
)

# A reachable store mostly answers within a few ms. Appends may be sent on both
# paths: the second of them has no effect.
HEDGE_DELAY_S = 0.15
# A call that neither path answers may be lost though the store answers again.
# The interval doubles with each repeat, as a slow store does all of them, one
# after the other.
REPEAT_INTERVAL_S = 0.25
MAX_REPEAT_INTERVAL_S = 2.0
# A store that answers does so more often, as reads wait for half a second.
SILENCE_S = 1.0
# Interval between probes of the direct path while the gateways are used.
PROBE_INTERVAL_S = 1.0

_REJECTIONS = (OutdatedReadError, ConflictError, FencedError, SequenceError)

ResultT = TypeVar('ResultT')

_logger = structlog.get_logger(__name__)


class PathName(StrEnum):
    """How the store is called."""

    DIRECT = 'direct'
    GATEWAY = 'gateway'


class _Call(NamedTuple, Generic[ResultT]):
    """A call that can be made on either path.

    ``make`` gets the path and the time for which the other one has been tried,
    in seconds. ``hedge_after_s`` is the time after which it is also made on
    the other.
    """

    make: Callable[[KeyedStore, float], Awaitable[ResultT]]
    hedge_after_s: float
    is_probe: bool = False


class _Run(NamedTuple, Generic[ResultT]):
    """A call that was made on one path."""

    path: PathName
    reply: asyncio.Future[ResultT]


class FailoverStore:
    """Implements the ``KeyedStore`` port over two paths to the same store.

    The path that answered last is called first, and the other one if it does
    not answer soon. While neither answers, the call is repeated: a store that
    was silent never answers what was sent to it meanwhile. Long polls are
    repeated on the other path as soon as the preferred path changes, or the
    store answers after a silence.
    """

    def __init__(self, direct: KeyedStore, gateway: KeyedStore) -> None:
        """Initialise with both paths; the direct one is preferred."""
        self.preferred = PathName.DIRECT
        self._stores_by_path = {
            PathName.DIRECT: direct,
            PathName.GATEWAY: gateway,
        }
        self._polls_due = Signal()
        self._answered_at = float('-inf')
        self._probe_at = float('-inf')

    async def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        return await self._call_with_hedge(
            _Call(lambda each, tried_s: each.newest(topic), HEDGE_DELAY_S)
        )

    async def read(self, topic: str, *, start: int, wait_s: float) -> KeyedPage:
        """Return the records from offset ``start`` on.

        On both paths together the read waits for ``wait_s``.
        """
        return await self._call_with_hedge(
            _Call(
                lambda each, tried_s: each.read(
                    topic, start=start, wait_s=max(0, wait_s - tried_s)
                ),
                wait_s + HEDGE_DELAY_S,
            )
        )

    async def append(
        self,
        topic: str,
        records: tuple[tuple[str, bytes], ...],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> Appended:
        """Append records and return the new end of the topic."""
        return await self._call_with_hedge(
            _Call(
                lambda each, tried_s: each.append(
                    topic, records, at=at, producer=producer
                ),
                HEDGE_DELAY_S,
                is_probe=producer is not None and self._is_probe_due(),
            )
        )

    async def _call_with_hedge(self, call: _Call[ResultT]) -> ResultT:
        first = self.preferred
        if call.is_probe:
            first = PathName.DIRECT
        started_at = _now()
        runs = [self._start(first, call)]
        try:
            is_overdue = not call.is_probe and await self._is_overdue(
                runs[0].reply, call.hedge_after_s
            )
            if not _has_answered(runs[0].reply):
                tried_s = _now() - started_at
                runs.append(self._start(_other(first), call, tried_s))
            answered = await self._first_answered(runs, call, started_at)
        finally:
            for run in runs:
                run.reply.cancel()
        # A call repeated due to a path change says nothing about the paths.
        is_preferred_overdue = is_overdue and first is self.preferred
        if answered is not None and (call.is_probe or is_preferred_overdue):
            self._prefer(answered.path)
        if answered is not None:
            self._note_answer()
        return (answered or runs[0]).reply.result()

    def _start(
        self, path: PathName, call: _Call[ResultT], tried_s: float = 0
    ) -> _Run[ResultT]:
        store = self._stores_by_path[path]
        reply = asyncio.ensure_future(call.make(store, tried_s))
        return _Run(path, reply)

    async def _is_overdue(
        self, run: asyncio.Future[Any], hedge_after_s: float
    ) -> bool:
        """Return whether a run failed, or did not answer in time.

        Returns early if long polls are to be repeated meanwhile.
        """
        due = asyncio.ensure_future(self._polls_due.wait())
        try:
            await asyncio.wait(
                (run, due),
                timeout=hedge_after_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            return not _has_answered(run) and not due.done()
        finally:
            due.cancel()

    async def _first_answered(
        self,
        runs: list[_Run[ResultT]],
        call: _Call[ResultT],
        started_at: float,
    ) -> _Run[ResultT] | None:
        """Return the run that is answered first, ``None`` if both paths fail.

        Once the call is overdue it is repeated, and whenever the store answers
        again after a silence; these runs are added to ``runs``.
        """
        first_runs = tuple(runs)
        overdue_s = started_at + call.hedge_after_s - _now()
        interval_s = REPEAT_INTERVAL_S
        wait_s = max(float(0), overdue_s) + interval_s
        while not await self._is_ended(runs, first_runs, wait_s):
            tried_s = _now() - started_at
            runs.append(self._start(first_runs[0].path, call, tried_s))
            interval_s = min(2 * interval_s, MAX_REPEAT_INTERVAL_S)
            wait_s = interval_s
        return _answered(runs)

    async def _is_ended(
        self,
        runs: list[_Run[ResultT]],
        first_runs: tuple[_Run[ResultT], ...],
        wait_s: float,
    ) -> bool:
        """Return whether a run is answered, or all first ones have failed.

        Returns false after ``wait_s`` seconds, or once the store answers
        other calls again.
        """
        until = _now() + wait_s
        while _answered(runs) is None:
            if all(run.reply.done() for run in first_runs):
                break
            is_due = await self._is_due_before_reply(runs, until - _now())
            if is_due:
                return False
        return True

    async def _is_due_before_reply(
        self, runs: list[_Run[ResultT]], wait_s: float
    ) -> bool:
        due = asyncio.ensure_future(self._polls_due.wait())
        replies: list[asyncio.Future[Any]] = [
            run.reply for run in runs if not run.reply.done()
        ]
        try:
            ended, _ = await asyncio.wait(
                [due, *replies],
                timeout=max(float(0), wait_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            due.cancel()
        return not ended or due in ended

    def _note_answer(self) -> None:
        """Repeat the long polls if the store had been silent."""
        now = _now()
        if now - self._answered_at > SILENCE_S:
            self._polls_due.notify()
        self._answered_at = now

    def _prefer(self, path: PathName) -> None:
        if path is self.preferred:
            return
        self.preferred = path
        self._probe_at = _now() + PROBE_INTERVAL_S
        self._polls_due.notify()
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


def _answered(runs: list[_Run[ResultT]]) -> _Run[ResultT] | None:
    return next((run for run in runs if _has_answered(run.reply)), None)


def _has_answered(run: asyncio.Future[Any]) -> bool:
    """Return whether the store has answered, also with an error."""
    if not run.done():
        return False
    error = run.exception()
    if isinstance(error, FailureError):
        return False
    if isinstance(error, _REJECTIONS):
        return True
    if error is not None:
        raise error
    return True


def _now() -> float:
    return asyncio.get_running_loop().time()
