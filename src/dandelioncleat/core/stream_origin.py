"""Where a stream began; it is resumed only at the same software version."""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from dandelioncleat.core.decoding import decode_bytes
from dandelioncleat.core.deployment import TargetEntry


class StreamOrigin(NamedTuple):
    """The service and the software version that sent the first event.

    ``software_version`` is ``None`` if the target tells no version.
    """

    service: str
    software_version: str | None

    def fits(self, entry: TargetEntry) -> bool:
        """Return whether the stream may be resumed at a target."""
        is_same_service = entry.service == self.service
        return (
            is_same_service and entry.software_version == self.software_version
        )


_DECODER = msgspec.msgpack.Decoder(dict[str, tuple[str, str | None]])


def stream_key(organisation: str | None, request: str) -> str:
    """Return the key of the stream that a request began.

    Callers choose the ids of requests, so each organisation has its own.
    """
    owner = organisation or ''
    return f'{owner}/{request}'


def encode_origins(origins_by_key: Mapping[str, StreamOrigin]) -> bytes:
    """Return the value of a record with the origins of some streams."""
    return msgspec.msgpack.encode(dict(origins_by_key))


def decode_origins(data: bytes) -> dict[str, StreamOrigin]:
    """Return the origins in a record.

    :raises UnreadableError: if the record is malformed
    """
    rows_by_key = decode_bytes(_DECODER.decode, data)
    return {key: StreamOrigin(*row) for key, row in rows_by_key.items()}
