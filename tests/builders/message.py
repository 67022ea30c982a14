"""Builders of messages between processes."""

from dandelioncleat.core.identity import Incarnation, RunId
from dandelioncleat.core.message import Chunk


def run_id(key: str = 'key-1', *, attempt: int = 1) -> RunId:
    return RunId('cooperative', key, Incarnation('home-1/a'), attempt)


def chunk(data: bytes = b'four words of text', *, start: int = 0) -> Chunk:
    return Chunk(run_id(), start, data, tokens=4)
