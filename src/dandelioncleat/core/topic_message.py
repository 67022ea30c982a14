"""Messages between a router and a gateway to the platform's store."""

from enum import StrEnum

from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.core.message import Message


class TopicRejection(StrEnum):
    """Why the store rejected a gateway's call."""

    OUTDATED = 'outdated'
    """The store has dropped the records to be read."""
    CONFLICT = 'conflict'
    """The topic does not end at the offset that the writer expects."""
    FENCED = 'fenced'
    """A producer with a higher epoch has written."""
    SEQUENCE = 'sequence'
    """The producer's number does not follow the last one of its epoch."""


class TopicMessage(Message, frozen=True):
    """Base class of all messages of this module."""


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
    """Asks a gateway to append records, whose offsets are ignored.

    ``at`` below 0 accepts any end of the topic; an empty ``producer`` means
    that there is none.
    """

    topic: str
    records: tuple[KeyedRecord, ...]
    at: int
    producer: str
    epoch: int
    sequence: int


class TopicRecords(TopicMessage, frozen=True):
    """Carries records in order; ``end`` is the offset to read on from.

    ``era`` is that of the store.
    """

    end: int
    records: tuple[KeyedRecord, ...]
    era: int


class AskTime(TopicMessage, frozen=True):
    """Asks a gateway for its time of day."""


class TimeTold(TopicMessage, frozen=True):
    """Tells the sender's time of day, in seconds since the epoch."""

    wall_s: float


class TopicRejected(TopicMessage, frozen=True):
    """Tells why the store rejected a call; nothing was done."""

    reason: TopicRejection
