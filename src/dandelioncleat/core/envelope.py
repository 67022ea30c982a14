"""The content of one log entry: the envelopes of one or more producers."""

from typing import Generic, TypeVar

import msgspec

from dandelioncleat.core.decoding import decode_bytes
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.record import (
    ClaimRecord,
    ConfigurationRecord,
    FleetRecord,
    LedgerRecord,
)

RecordT = TypeVar('RecordT')


class Envelope(
    msgspec.Struct,
    Generic[RecordT],
    frozen=True,
    array_like=True,
):
    """Carries a producer's records under a sequence number.

    A producer has at most one envelope in flight for each stream and numbers
    them from 1, so that a reader finds repeated ones by their number alone.
    """

    producer: Incarnation
    sequence: int
    records: tuple[RecordT, ...]


class Codec(Generic[RecordT]):
    """Encodes and decodes the entries of one kind of stream."""

    def __init__(self, entry_type: type[tuple[Envelope[RecordT], ...]]) -> None:
        """Set the type of a whole entry."""
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(entry_type)

    def encode(self, envelopes: tuple[Envelope[RecordT], ...]) -> bytes:
        """Encode envelopes as the data of one entry."""
        return self._encoder.encode(envelopes)

    def decode(self, data: bytes) -> tuple[Envelope[RecordT], ...]:
        """Decode an entry; raise ``UnreadableError`` on other data."""
        return decode_bytes(self._decoder.decode, data)


def ledger_codec() -> Codec[LedgerRecord]:
    """Return the codec of ledger streams."""
    return Codec(tuple[Envelope[LedgerRecord], ...])


def fleet_codec() -> Codec[FleetRecord]:
    """Return the codec of the fleet stream."""
    return Codec(tuple[Envelope[FleetRecord], ...])


def claim_codec() -> Codec[ClaimRecord]:
    """Return the codec of claim streams."""
    return Codec(tuple[Envelope[ClaimRecord], ...])


def configuration_codec() -> Codec[ConfigurationRecord]:
    """Return the codec of the configuration stream."""
    return Codec(tuple[Envelope[ConfigurationRecord], ...])
