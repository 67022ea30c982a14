"""Messages between a router and a gateway to the platform's store."""

from enum import StrEnum

from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.core.message import Message


class TopicRejection(StrEnum):
    """Why the store did not do what a gateway was asked for."""

    OUTDATED = 'outdated'
    """The records to read from were dropped."""
    CONFLICT = 'conflict'
    """The topic does not end where the writer has read it."""
    FENCED = 'fenced'
    """A producer with a higher epoch has written."""


class TopicMessage(Message, frozen=True):
    """Is the base of every message of this module."""


class ListTopic(TopicMessage, frozen=True):
    """Asks a gateway for the newest record of each key of a topic."""

    topic: str


class ReadTopic(TopicMessage, frozen=True):
    """Asks a gateway for the records from ``start`` on.

    It waits up to ``wait_ms`` for one if there are none.
    """

    topic: str
    start: int
    wait_ms: int


class AppendTopic(TopicMessage, frozen=True):
    """Asks a gateway to append records, whose offsets say nothing.

    ``at`` below 0 means any end of the topic, an empty ``producer`` none.
    """

    topic: str
    records: tuple[KeyedRecord, ...]
    at: int
    producer: str
    epoch: int
    sequence: int


class TopicRecords(TopicMessage, frozen=True):
    """Carries records in order; ``end`` is the offset to read on from."""

    end: int
    records: tuple[KeyedRecord, ...]


class TopicRejected(TopicMessage, frozen=True):
    """Tells why the store rejected a call; nothing was done."""

    reason: TopicRejection
