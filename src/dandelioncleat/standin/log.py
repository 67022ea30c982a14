"""An in-memory log service with simulated faults."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import NamedTuple

from dandelioncleat.app.signal import Signal
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.ports.log import Entry, Page

PEER = 'log'

AppendListener = Callable[[str, Entry], None]


class Retention(NamedTuple):
    """Limits of what the log keeps of each stream; 0 is unlimited.

    :param entries: maximum number of entries
    :param age_s: maximum age of an entry in seconds
    """

    entries: int = 0
    age_s: float = 0


class MemoryLog:
    """Implements the ``Log`` port; attributes switch faults on.

    ``slow_s`` delays every operation, half before and half after its effect.
    ``lost_answer_share`` is the share of appends that fail after they took
    effect. ``outage`` fails all operations, including pending reads.
    """

    def __init__(
        self,
        *,
        retention: Retention | None = None,
        generator: random.Random | None = None,
        now: Callable[[], float] | None = None,
    ) -> None:
        """Start empty.

        :param generator: determines which answers are lost
        :param now: clock in seconds; by default the event loop's
        """
        self.slow_s: float = 0
        self.lost_answer_share: float = 0
        self.retention = retention or Retention()
        self.appends = 0
        self._outage = False
        self._generator = generator or random.Random(0)
        self._now = now or _loop_time
        self._streams_by_name: dict[str, _Stream] = {}
        self._listeners: list[AppendListener] = []

    @property
    def outage(self) -> bool:
        """Whether all operations fail."""
        return self._outage

    @outage.setter
    def outage(self, outage: bool) -> None:
        self._outage = outage
        for stream in self._streams_by_name.values():
            stream.changed.notify()

    def on_append(self, listener: AppendListener) -> None:
        """Call ``listener`` with each entry, even if its answer is lost."""
        self._listeners.append(listener)

    def stream_names(self) -> tuple[str, ...]:
        """Return the names of all streams."""
        return tuple(self._streams_by_name)

    async def append(self, stream: str, data: bytes) -> int:
        """Append one entry and return its offset."""
        self._check_outage('append')
        await self._delay()
        self._check_outage('append')
        entry = self._stream(stream).append(self._now(), data)
        self.appends += 1
        for listener in self._listeners:
            listener(stream, entry)
        await self._delay()
        if self._generator.random() < self.lost_answer_share:
            raise _log_error('append', 'the answer was lost')
        self._check_outage('append')
        return entry.offset

    async def read(
        self,
        stream: str,
        *,
        start: int,
        limit: int = 500,
        wait_s: float = 0,
    ) -> Page:
        """Return entries from ``start`` on, waiting if there are none."""
        self._check_outage('read')
        await self._delay()
        log_stream = self._stream(stream)
        if start >= log_stream.end and wait_s > 0:
            await log_stream.changed.wait(wait_s)
        self._check_outage('read')
        log_stream.trim(self.retention, self._now())
        page = log_stream.page(start, limit)
        await self._delay()
        return page

    def _stream(self, name: str) -> '_Stream':
        return self._streams_by_name.setdefault(name, _Stream())

    def _check_outage(self, step: str) -> None:
        if self._outage:
            raise _log_error(step, 'the log is unavailable')

    async def _delay(self) -> None:
        if self.slow_s > 0:
            await asyncio.sleep(self.slow_s / 2)


class _Stream:
    """The retained entries of a stream."""

    def __init__(self) -> None:
        self.end = 0
        self._entries: deque[Entry] = deque()
        self.changed = Signal()

    def append(self, appended_at: float, data: bytes) -> Entry:
        entry = Entry(self.end, appended_at, data)
        self._entries.append(entry)
        self.end += 1
        self.changed.notify()
        return entry

    def trim(self, retention: Retention, now: float) -> None:
        if retention.entries:
            while len(self._entries) > retention.entries:
                self._entries.popleft()
        if retention.age_s:
            oldest_at = now - retention.age_s
            while self._entries and self._entries[0].appended_at < oldest_at:
                self._entries.popleft()

    def page(self, start: int, limit: int) -> Page:
        oldest = self.end - len(self._entries)
        if start < oldest:
            return Page(oldest, self.end, ())
        skipped = start - oldest
        entries = islice(self._entries, skipped, skipped + limit)
        return Page(oldest, self.end, tuple(entries))


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


def _log_error(step: str, text: str) -> FailureError:
    return failure_error(Code.LOG, step=step, peer=PEER, text=text)
