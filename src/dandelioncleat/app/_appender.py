"""Appends one producer's records to a stream, one entry at a time."""

import asyncio
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from dandelioncleat.core.deduplication import SequenceMarks
from dandelioncleat.core.envelope import Codec, Envelope
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.ports.log import Log

RecordT = TypeVar('RecordT')
VerdictT = TypeVar('VerdictT')

RETRY_DELAY_S = 0.25


class Appender(Generic[RecordT, VerdictT]):
    """Repeats each append until its records are read back.

    ``round_trip_s`` is how long the last append took to be read back.
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
        """Take the log, the stream and its codec, and the appending process."""
        self._log = log
        self._name = name
        self._codec = codec
        self._producer = producer
        self._on_failure = on_failure
        self.round_trip_s: float = 0
        self._sequence = 0
        self._pending: list[_Submission[RecordT, VerdictT]] = []
        self._in_flight: _InFlight[RecordT, VerdictT] | None = None
        self._work = asyncio.Event()

    async def submit(
        self,
        records: tuple[RecordT, ...],
    ) -> tuple[VerdictT, ...]:
        """Append records and return their verdicts once they are read back."""
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
        """Resolve the append in flight if its envelope was read and applied."""
        in_flight = self._in_flight
        if in_flight is None or envelope.producer != self._producer:
            return
        if envelope.sequence == in_flight.envelope.sequence:
            in_flight.resolve(verdicts)
            self._in_flight = None

    def fail_skipped(self, marks: SequenceMarks) -> None:
        """Fail the append in flight if a restored checkpoint includes it.

        Its records were applied, but their verdicts are unknown here.
        """
        in_flight = self._in_flight
        applied = marks.highest_by_producer.get(self._producer, 0)
        if in_flight is not None and in_flight.envelope.sequence <= applied:
            in_flight.fail(
                failure_error(
                    Code.LOG,
                    step='read_back',
                    peer='log',
                    text=f'the verdicts in {self._name} were lost',
                ),
            )
            self._in_flight = None

    async def run(self) -> None:
        """Append what is submitted until cancelled."""
        while True:
            await self._work.wait()
            self._work.clear()
            if self._in_flight is None and self._pending:
                self._in_flight = self._next_in_flight()
            if self._in_flight is not None:
                await self._append(self._in_flight)
                self._work.set()

    def _next_in_flight(self) -> '_InFlight[RecordT, VerdictT]':
        submissions = tuple(self._pending)
        self._pending.clear()
        self._sequence += 1
        records = tuple(
            record
            for submission in submissions
            for record in submission.records
        )
        envelope = Envelope(self._producer, self._sequence, records)
        return _InFlight(envelope, submissions, asyncio.Event())

    async def _append(self, in_flight: '_InFlight[RecordT, VerdictT]') -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await self._append_until_read_back(in_flight)
        self.round_trip_s = loop.time() - started_at

    async def _append_until_read_back(
        self,
        in_flight: '_InFlight[RecordT, VerdictT]',
    ) -> None:
        data = self._codec.encode((in_flight.envelope,))
        while not in_flight.read_back.is_set():
            try:
                await self._log.append(self._name, data)
            except FailureError:
                self._on_failure()
                await _wait_at_most(in_flight.read_back, RETRY_DELAY_S)
            else:
                await in_flight.read_back.wait()


class _Submission(NamedTuple, Generic[RecordT, VerdictT]):
    """Records that a caller submitted, and the verdicts that it waits for."""

    records: tuple[RecordT, ...]
    future: 'asyncio.Future[tuple[VerdictT, ...]]'


class _InFlight(NamedTuple, Generic[RecordT, VerdictT]):
    """The envelope whose append is in flight."""

    envelope: Envelope[RecordT]
    submissions: tuple[_Submission[RecordT, VerdictT], ...]
    read_back: asyncio.Event

    def fail(self, error: FailureError) -> None:
        """Fail every submission with an error."""
        for submission in self.submissions:
            if not submission.future.done():
                submission.future.set_exception(error)
        self.read_back.set()

    def resolve(self, verdicts: tuple[VerdictT, ...]) -> None:
        """Resolve every submission with the verdicts of its records."""
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
