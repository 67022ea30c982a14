"""Appends one producer's records to a stream, one entry at a time."""

import asyncio
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from dandelioncleat.core.deduplication import DuplicateFilter
from dandelioncleat.core.envelope import Codec, Envelope
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.ports.log import Log

RecordT = TypeVar('RecordT')
VerdictT = TypeVar('VerdictT')

RETRY_DELAY_S = 0.25


class Appender(Generic[RecordT, VerdictT]):
    """Repeats each append until its records are read back.

    ``round_trip_s`` is the time that the last one took, in seconds.
    """

    def __init__(
        self,
        *,
        log: Log,
        name: str,
        codec: Codec[RecordT],
        producer: Incarnation,
        on_failure: Callable[[], None],
    ) -> None:
        """Take the log, the stream's name and the appending process."""
        self._log = log
        self._name = name
        self._codec = codec
        self._producer = producer
        self._on_failure = on_failure
        self.round_trip_s: float = 0
        self._sequence = 0
        self._pending: list[_Submission[RecordT, VerdictT]] = []
        self._in_flight: _Flight[RecordT, VerdictT] | None = None
        self._work = asyncio.Event()

    async def submit(
        self,
        records: tuple[RecordT, ...],
    ) -> tuple[VerdictT, ...]:
        """Append records and return their verdicts once read back."""
        future: asyncio.Future[tuple[VerdictT, ...]] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending.append(_Submission(records, future))
        self._work.set()
        return await future

    def read_back(
        self,
        envelope: Envelope[RecordT],
        verdicts: tuple[VerdictT, ...],
    ) -> None:
        """Take note of an envelope that was read and applied."""
        flight = self._in_flight
        if flight is None or envelope.producer != self._producer:
            return
        if envelope.sequence == flight.envelope.sequence:
            flight.resolve(verdicts)
            self._in_flight = None

    def skip(self, marks: DuplicateFilter) -> None:
        """Fail what was applied in entries that this process never read."""
        flight = self._in_flight
        applied = marks.highest_by_producer.get(self._producer, 0)
        if flight is not None and flight.envelope.sequence <= applied:
            flight.fail(
                failure_error(
                    Code.LOG,
                    step='read_back',
                    peer='log',
                    text=f'the verdicts in {self._name} were not kept',
                ),
            )
            self._in_flight = None

    async def run(self) -> None:
        """Append what is submitted until cancelled."""
        while True:
            await self._work.wait()
            self._work.clear()
            if self._in_flight is None and self._pending:
                self._in_flight = self._next_flight()
            if self._in_flight is not None:
                await self._append(self._in_flight)
                self._work.set()

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

    async def _append(self, flight: '_Flight[RecordT, VerdictT]') -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await self._append_until_read_back(flight)
        self.round_trip_s = loop.time() - started_at

    async def _append_until_read_back(
        self,
        flight: '_Flight[RecordT, VerdictT]',
    ) -> None:
        data = self._codec.encode((flight.envelope,))
        while not flight.read_back.is_set():
            try:
                await self._log.append(self._name, data)
            except FailureError:
                self._on_failure()
                await _wait_at_most(flight.read_back, RETRY_DELAY_S)
            else:
                await flight.read_back.wait()


class _Submission(NamedTuple, Generic[RecordT, VerdictT]):
    """Records that a caller handed over and waits for."""

    records: tuple[RecordT, ...]
    future: 'asyncio.Future[tuple[VerdictT, ...]]'


class _Flight(NamedTuple, Generic[RecordT, VerdictT]):
    """The one envelope that is being appended."""

    envelope: Envelope[RecordT]
    submissions: tuple[_Submission[RecordT, VerdictT], ...]
    read_back: asyncio.Event

    def fail(self, error: FailureError) -> None:
        """Give every submission an error."""
        for submission in self.submissions:
            if not submission.future.done():
                submission.future.set_exception(error)
        self.read_back.set()

    def resolve(self, verdicts: tuple[VerdictT, ...]) -> None:
        """Give every submission its part of the verdicts."""
        start = 0
        for submission in self.submissions:
            end = start + len(submission.records)
            if not submission.future.done():
                submission.future.set_result(verdicts[start:end])
            start = end
        self.read_back.set()


async def _wait_at_most(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
