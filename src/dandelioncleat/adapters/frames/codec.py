"""Encodes and decodes the frames of connections between processes."""

from enum import StrEnum
from functools import cache
from typing import Any, NamedTuple

import capnp

from dandelioncleat.adapters.frames._conversion import (
    read_fields,
    write_fields,
)
from dandelioncleat.adapters.frames._schema import schema
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.message import Message
from dandelioncleat.core.topic_message import TopicMessage


class FrameKind(StrEnum):
    """The role of a frame in its call."""

    CALL = 'call'
    REPLY = 'reply'
    END = 'end'
    FAILED = 'failed'
    CANCEL = 'cancel'


class Frame(NamedTuple):
    """One frame; ``call`` is the number of a call on its connection."""

    call: int
    kind: FrameKind
    version: int
    traceparent: str = ''
    body: Message | None = None


@cache
def _field_name(message_type: type[Message]) -> str:
    name = message_type.__name__
    return name[0].lower() + name[1:]


_TYPES_BY_FIELD: dict[str, type[Message]] = {
    _field_name(message_type): message_type
    for base in (Message, TopicMessage)
    for message_type in base.__subclasses__()
    if message_type is not TopicMessage
}

# Exceptions that pycapnp raises for malformed bytes.
_MALFORMED = (
    capnp.KjException,
    KeyError,
    RuntimeError,
    TypeError,
    ValueError,
)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame."""
    builder = schema.Frame.new_message()
    builder.call = frame.call
    builder.kind = frame.kind.value
    builder.version = frame.version
    if frame.traceparent:
        builder.traceparent = frame.traceparent
    body = frame.body
    if body is not None:
        message_type = type(body)
        fields = builder.body.init(_field_name(message_type))
        write_fields(message_type, body, fields)
    encoded: bytes = builder.to_bytes()
    return encoded


def decode_frame(data: bytes, *, peer: str) -> Frame:
    """Decode a frame.

    :raises FailureError: with code ``invalid`` if the bytes are malformed
    """
    try:
        return _decode(data)
    except _MALFORMED as error:
        raise failure_error(
            Code.INVALID,
            step='decode frame',
            peer=peer,
            text=str(error)[:200],
        ) from error


def _decode(data: bytes) -> Frame:
    with schema.Frame.from_bytes(data) as reader:
        return Frame(
            reader.call,
            FrameKind(str(reader.kind)),
            reader.version,
            reader.traceparent,
            _read_body(reader.body),
        )


def _read_body(reader: Any) -> Message | None:
    field = reader.which()
    if field == 'none':
        return None
    field = str(field)
    body: Message = read_fields(
        _TYPES_BY_FIELD[field],
        getattr(reader, field),
    )
    return body
