"""The log service, in memory: streams with offsets and faults on demand."""

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
    """How much of each stream the log keeps; 0 sets no limit.

    :param entries: newest entries kept
    :param age_s: seconds for which an entry is kept
    """

    entries: int = 0
    age_s: float = 0


class MemoryLog:
    """Implements the ``Log`` port; its attributes switch faults on.

    ``slow_s`` delays every operation, half before and half after its effect.
    ``lost_answer_share`` is the share of appends that fail after their
    effect. ``outage`` fails everything, also reads that wait already.
    """

    def __init__(
        self,
        *,
        retention: Retention | None = None,
        generator: random.Random | None = None,
        now: Callable[[], float] | None = None,
    ) -> None:
        """Start empty.

        :param generator: decides which answers are lost
        :param now: the log's own time in seconds; the loop's by default
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
        """Whether the log is out."""
        return self._outage

    @outage.setter
    def outage(self, outage: bool) -> None:
        self._outage = outage
        for stream in self._streams_by_name.values():
            stream.changed.notify()

    def on_append(self, listener: AppendListener) -> None:
        """Call ``listener`` with each entry, also one whose answer is lost."""
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
        """Return entries from ``start`` on; wait if there are none yet."""
        self._check_outage('read')
        await self._delay()
        kept = self._stream(stream)
        if start >= kept.end and wait_s > 0:
            await kept.changed.wait(wait_s)
        self._check_outage('read')
        kept.trim(self.retention, self._now())
        page = kept.page(start, limit)
        await self._delay()
        return page

    def _stream(self, name: str) -> '_Stream':
        return self._streams_by_name.setdefault(name, _Stream())

    def _check_outage(self, step: str) -> None:
        if self._outage:
            raise _log_error(step, 'the log is out')

    async def _delay(self) -> None:
        if self.slow_s > 0:
            await asyncio.sleep(self.slow_s / 2)


class _Stream:
    """The kept entries of one stream, and those who wait for more."""

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
            keep_from = now - retention.age_s
            while self._entries and self._entries[0].appended_at < keep_from:
                self._entries.popleft()

    def page(self, start: int, limit: int) -> Page:
        oldest = self.end - len(self._entries)
        if start < oldest:
            return Page(oldest, self.end, ())
        first = start - oldest
        entries = islice(self._entries, first, first + limit)
        return Page(oldest, self.end, tuple(entries))


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


def _log_error(step: str, text: str) -> FailureError:
    return failure_error(Code.LOG, step=step, peer=PEER, text=text)
