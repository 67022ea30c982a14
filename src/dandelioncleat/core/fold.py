"""The interface of a deterministic fold over a log stream."""

from typing import Protocol, TypeVar

from dandelioncleat.core.identity import Incarnation

RecordT_contra = TypeVar('RecordT_contra', contravariant=True)
VerdictT_co = TypeVar('VerdictT_co', covariant=True)


class Fold(Protocol[RecordT_contra, VerdictT_co]):
    """Applies records in log order; equal prefixes give equal verdicts."""

    def apply(
        self,
        offset: int,
        appended_at: float,
        producer: Incarnation,
        record: RecordT_contra,
    ) -> VerdictT_co:
        """Apply one record and return its verdict.

        :param offset: offset of the entry in the stream
        :param appended_at: the log's time of the append, in seconds
        :param producer: the process that wrote the record
        """

    def snapshot(self) -> bytes:
        """Encode the state for a checkpoint."""

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a checkpoint."""
