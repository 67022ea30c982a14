"""Follows one stream of the log and appends to it.

One task reads, one task appends; callers hand over records and wait for
the verdicts that the fold gives when the records are read back.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Generic, NamedTuple, TypeVar

import msgspec

from dandelioncleat.core.deduplication import SequenceMarks
from dandelioncleat.core.envelope import Codec, Envelope
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.fold import Fold
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.ports.log import Entry, Log

RecordT = TypeVar('RecordT')
VerdictT = TypeVar('VerdictT')

READ_WAIT_S = 10.0
RETRY_DELAY_S = 0.25


class StreamFollower(Generic[RecordT, VerdictT]):
    """Keeps a fold current with its stream and appends records to it."""

    def __init__(
        self,
        *,
        log: Log,
        name: str,
        fold: Fold[RecordT, VerdictT],
        codec: Codec[RecordT],
        producer: Incarnation,
    ) -> None:
        """Take the log, the stream's name and the fold to keep current."""
        self.name = name
        self.fold = fold
        self.position = 0
        self.caught_up = asyncio.Event()
        self.undecodable_entries = 0
        self.log_failing = False
        self._log = log
        self._codec = codec
        self._producer = producer
        self._marks = SequenceMarks()
        self._sequence = 0
        self._pending: list[_Submission[RecordT, VerdictT]] = []
        self._in_flight: _Flight[RecordT, VerdictT] | None = None
        self._work = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each page of entries was applied."""
        self._listeners.append(listener)

    async def submit(self, *records: RecordT) -> tuple[VerdictT, ...]:
        """Append records and return their verdicts once read back.

        A caller that stops waiting does not take the records back.
        """
        future: asyncio.Future[tuple[VerdictT, ...]] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending.append(_Submission(records, future))
        self._work.set()
        return await future

    async def read_forever(self) -> None:
        """Read the stream until cancelled."""
        while True:
            try:
                await self._read_page()
            except FailureError:
                self.log_failing = True
                await asyncio.sleep(RETRY_DELAY_S)

    async def append_forever(self) -> None:
        """Append what is submitted until cancelled, one entry at a time."""
        while True:
            await self._work.wait()
            self._work.clear()
            if self._in_flight is None and self._pending:
                self._in_flight = self._next_flight()
            if self._in_flight is not None:
                await self._append_flight(self._in_flight)
                self._work.set()

    async def run(self) -> None:
        """Read and append until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.read_forever())
            group.create_task(self.append_forever())

    def _next_flight(self) -> '_Flight[RecordT, VerdictT]':
        submissions = tuple(self._pending)
        self._pending.clear()
        self._sequence += 1
        records = tuple(
            record
            for submission in submissions
            for record in submission.records
        )
        envelope = Envelope(self._producer, self._sequence, records)
        return _Flight(envelope, submissions, asyncio.Event())

    async def _append_flight(
        self,
        flight: '_Flight[RecordT, VerdictT]',
    ) -> None:
        data = self._codec.encode((flight.envelope,))
        while not flight.read_back.is_set():
            try:
                await self._log.append(self.name, data)
            except FailureError:
                self.log_failing = True
                await _wait_at_most(flight.read_back, RETRY_DELAY_S)
                continue
            await flight.read_back.wait()

    async def _read_page(self) -> None:
        page = await self._log.read(
            self.name,
            start=self.position,
            wait_s=READ_WAIT_S if self.caught_up.is_set() else 0,
        )
        self.log_failing = False
        for entry in page.entries:
            self._apply_entry(entry)
            self.position = entry.offset + 1
        if self.position >= page.end:
            self.caught_up.set()
        if page.entries:
            for listener in self._listeners:
                listener()

    def _apply_entry(self, entry: Entry) -> None:
        try:
            envelopes = self._codec.decode(entry.data)
        except msgspec.MsgspecError:
            self.undecodable_entries += 1
            return
        for envelope in envelopes:
            if self._marks.admit(envelope.producer, envelope.sequence):
                self._apply_envelope(entry, envelope)

    def _apply_envelope(
        self,
        entry: Entry,
        envelope: Envelope[RecordT],
    ) -> None:
        verdicts = tuple(
            self.fold.apply(
                entry.offset,
                entry.appended_at,
                envelope.producer,
                record,
            )
            for record in envelope.records
        )
        flight = self._in_flight
        if flight is None or envelope.producer != self._producer:
            return
        if envelope.sequence == flight.envelope.sequence:
            flight.resolve(verdicts)
            self._in_flight = None


class _Submission(NamedTuple, Generic[RecordT, VerdictT]):
    """Records that a caller handed over and waits for."""

    records: tuple[RecordT, ...]
    future: 'asyncio.Future[tuple[VerdictT, ...]]'


class _Flight(NamedTuple, Generic[RecordT, VerdictT]):
    """The one envelope that is being appended."""

    envelope: Envelope[RecordT]
    submissions: tuple[_Submission[RecordT, VerdictT], ...]
    read_back: asyncio.Event

    def resolve(self, verdicts: tuple[VerdictT, ...]) -> None:
        """Give every submission its part of the verdicts."""
        start = 0
        for submission in self.submissions:
            end = start + len(submission.records)
            if not submission.future.done():
                submission.future.set_result(verdicts[start:end])
            start = end
        self.read_back.set()


async def _wait_at_most(event: asyncio.Event, timeout_s: float) -> Any:
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return False
    return True
