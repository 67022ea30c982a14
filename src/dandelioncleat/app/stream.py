"""Follows one stream of the log and appends to it.

One task reads, one task appends; callers hand over records and wait for
the verdicts that the fold gives when the records are read back.
"""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

from dandelioncleat.app._appender import RETRY_DELAY_S, Appender
from dandelioncleat.core.deduplication import SequenceMarks
from dandelioncleat.core.envelope import Codec, Envelope
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.fold import Fold
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.ports.log import Entry, Log

RecordT = TypeVar('RecordT')
VerdictT = TypeVar('VerdictT')

READ_WAIT_S = 10.0


class StreamFollower(Generic[RecordT, VerdictT]):
    """Keeps a fold current with its stream and appends records to it.

    ``current_at`` is the last time of the event loop, in seconds, at which
    the fold is known to have been current.
    """

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
        self.marks = SequenceMarks()
        self.current_at = float('-inf')
        self._log = log
        self._codec = codec
        self._failing_since: float | None = None
        self._appender: Appender[RecordT, VerdictT] = Appender(
            log=log,
            name=name,
            codec=codec,
            producer=producer,
            on_failure=self._note_failure,
        )
        self._listeners: list[Callable[[], None]] = []
        self._record_listeners: list[Callable[[RecordT, VerdictT], None]] = []

    @property
    def log_failing(self) -> bool:
        """Return whether the last call to the log failed."""
        return self._failing_since is not None

    def failing_for_s(self) -> float:
        """Return for how many seconds every call to the log has failed."""
        if self._failing_since is None:
            return 0
        return asyncio.get_running_loop().time() - self._failing_since

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each page of entries was applied."""
        self._listeners.append(listener)

    def on_record(
        self,
        listener: Callable[[RecordT, VerdictT], None],
    ) -> None:
        """Call ``listener`` with each record that was applied."""
        self._record_listeners.append(listener)

    async def submit(self, *records: RecordT) -> tuple[VerdictT, ...]:
        """Append records and return their verdicts once read back.

        A caller that stops waiting does not take the records back.
        """
        return await self._appender.submit(records)

    async def run(self) -> None:
        """Read and append until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_forever())
            group.create_task(self._appender.run())

    async def _read_forever(self) -> None:
        while True:
            try:
                await self._read_page()
            except FailureError:
                self._note_failure()
                await asyncio.sleep(RETRY_DELAY_S)

    async def _read_page(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        page = await self._log.read(
            self.name,
            start=self.position,
            wait_s=READ_WAIT_S if self.caught_up.is_set() else 0,
        )
        self._failing_since = None
        for entry in page.entries:
            self._apply_entry(entry)
            self.position = entry.offset + 1
        if self.position >= page.end:
            self.caught_up.set()
            self.current_at = asked_at
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
            if self.marks.admit(envelope.producer, envelope.sequence):
                self._apply_envelope(entry, envelope)

    def _apply_envelope(
        self,
        entry: Entry,
        envelope: Envelope[RecordT],
    ) -> None:
        verdicts = tuple(
            self._apply_record(entry, envelope.producer, record)
            for record in envelope.records
        )
        self._appender.read_back(envelope, verdicts)

    def _apply_record(
        self,
        entry: Entry,
        producer: Incarnation,
        record: RecordT,
    ) -> VerdictT:
        verdict = self.fold.apply(
            entry.offset,
            float(entry.appended_at),
            producer,
            record,
        )
        for listener in self._record_listeners:
            listener(record, verdict)
        return verdict

    def _note_failure(self) -> None:
        if self._failing_since is None:
            self._failing_since = asyncio.get_running_loop().time()
