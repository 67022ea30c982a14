"""The state that one process has read from a stream."""

from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from dandelioncleat.core.checkpoint import Checkpoint
from dandelioncleat.core.decoding import UnreadableError
from dandelioncleat.core.deduplication import DuplicateFilter
from dandelioncleat.core.envelope import Codec, Envelope
from dandelioncleat.core.fold import Fold
from dandelioncleat.ports.log import Entry

RecordT = TypeVar('RecordT')
VerdictT = TypeVar('VerdictT')


class AppliedEnvelope(NamedTuple, Generic[RecordT, VerdictT]):
    """An envelope that was applied and its verdicts in order."""

    envelope: Envelope[RecordT]
    verdicts: tuple[VerdictT, ...]


class StreamState(Generic[RecordT, VerdictT]):
    """Applies entries to a fold, each envelope once."""

    def __init__(
        self,
        *,
        fold: Fold[RecordT, VerdictT],
        codec: Codec[RecordT],
    ) -> None:
        """Take the fold and the codec of the stream's entries."""
        self.fold = fold
        self.position = 0
        self.marks = DuplicateFilter()
        self.undecodable_entries = 0
        self._codec = codec
        self._listeners: list[Callable[[RecordT, VerdictT], None]] = []

    def on_record(
        self,
        listener: Callable[[RecordT, VerdictT], None],
    ) -> None:
        """Call ``listener`` with each applied record and its verdict."""
        self._listeners.append(listener)

    def apply(self, entry: Entry) -> list[AppliedEnvelope[RecordT, VerdictT]]:
        """Apply an entry and return its envelopes that are not duplicates."""
        self.position = entry.offset + 1
        try:
            envelopes = self._codec.decode(entry.data)
        except UnreadableError:
            self.undecodable_entries += 1
            return []
        return [
            self._apply_envelope(entry, envelope)
            for envelope in envelopes
            if self.marks.admit(envelope.producer, envelope.sequence)
        ]

    def checkpoint(self) -> Checkpoint:
        """Return a checkpoint of the state."""
        return Checkpoint(
            self.position,
            dict(self.marks.highest_by_producer),
            self.fold.snapshot(),
        )

    def restore(self, checkpoint: Checkpoint) -> None:
        """Replace the state by that of a checkpoint."""
        self.fold.restore(checkpoint.state)
        self.marks.highest_by_producer = checkpoint.highest_by_producer
        self.position = checkpoint.position

    def _apply_envelope(
        self,
        entry: Entry,
        envelope: Envelope[RecordT],
    ) -> AppliedEnvelope[RecordT, VerdictT]:
        verdicts: list[VerdictT] = []
        for record in envelope.records:
            verdict = self.fold.apply(
                entry.offset,
                float(entry.appended_at),
                envelope.producer,
                record,
            )
            verdicts.append(verdict)
            for listener in self._listeners:
                listener(record, verdict)
        return AppliedEnvelope(envelope, tuple(verdicts))
