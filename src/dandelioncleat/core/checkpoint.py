"""Checkpoints of a fold: its state and that state's stream position."""

import zlib
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from dandelioncleat.core.decoding import UnreadableError, decode_bytes
from dandelioncleat.core.identity import Incarnation

FORMAT = 1
CHUNK_BYTES = 262144
DIGEST_BYTES = 16


class Checkpoint(NamedTuple):
    """The state of a fold before the entry at ``position``.

    ``highest_by_producer`` are the highest sequence numbers read.
    """

    position: int
    highest_by_producer: dict[Incarnation, int]
    state: bytes


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A part of an encoded checkpoint; its manifest follows later."""

    data: bytes


class Manifest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Names the entries that together hold one checkpoint, in order."""

    format: int
    position: int
    offsets: tuple[int, ...]
    digest: bytes


CheckpointEntry = Chunk | Manifest

_encoder = msgspec.msgpack.Encoder()
_entry_decoder = msgspec.msgpack.Decoder(CheckpointEntry)
_checkpoint_decoder = msgspec.msgpack.Decoder(Checkpoint)


def encode_entry(entry: CheckpointEntry) -> bytes:
    """Encode an entry of a checkpoint stream."""
    return _encoder.encode(entry)


def decode_entry(data: bytes) -> CheckpointEntry | None:
    """Decode an entry of a checkpoint stream; ``None`` for other data."""
    try:
        return decode_bytes(_entry_decoder.decode, data)
    except UnreadableError:
        return None


def chunks_of(checkpoint: Checkpoint) -> tuple[Chunk, ...]:
    """Split a checkpoint into entries of a bounded size."""
    data = zlib.compress(_encoder.encode(checkpoint))
    return tuple(
        Chunk(data[start : start + CHUNK_BYTES])
        for start in range(0, len(data), CHUNK_BYTES)
    )


def manifest_of(
    checkpoint: Checkpoint,
    chunks: tuple[Chunk, ...],
    offsets: tuple[int, ...],
) -> Manifest:
    """Return the manifest of a checkpoint whose chunks are appended."""
    return Manifest(FORMAT, checkpoint.position, offsets, _digest(chunks))


def assemble(
    manifest: Manifest,
    chunks: tuple[Chunk, ...],
) -> Checkpoint | None:
    """Reassemble a checkpoint; ``None`` if it is incomplete or corrupt."""
    if manifest.format != FORMAT or _digest(chunks) != manifest.digest:
        return None
    data = zlib.decompress(b''.join(chunk.data for chunk in chunks))
    return _checkpoint_decoder.decode(data)


def _digest(chunks: tuple[Chunk, ...]) -> bytes:
    digest = blake2b(digest_size=DIGEST_BYTES)
    for chunk in chunks:
        digest.update(chunk.data)
    return digest.digest()
