"""Calls the store through gateways on other hosts."""

import asyncio
from collections.abc import Callable

import structlog

from dandelioncleat.core.failure import (
    Code,
    Failure,
    FailureError,
    failure_error,
)
from dandelioncleat.core.gateway_choice import GatewayChoice, GatewayEndpoint
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.core.message import Message, Refusal
from dandelioncleat.core.topic_message import (
    AppendTopic,
    ListTopic,
    ReadTopic,
    TopicRecords,
    TopicRejected,
    TopicRejection,
)
from dandelioncleat.ports.peer import Peers
from dandelioncleat.ports.store import (
    Appended,
    ConflictError,
    FencedError,
    KeyedPage,
    OutdatedReadError,
    Producer,
    SequenceError,
)

# The store answers a gateway within a few ms; a longer wait means that the
# gateway or its store is unreachable.
ANSWER_TIMEOUT_S = 0.5
# Number of gateways that are tried for one call.
MAX_GATEWAYS = 3
ANY_END = -1
_MS_PER_S = 1000

_ERRORS_BY_REJECTION = {
    TopicRejection.OUTDATED: OutdatedReadError,
    TopicRejection.CONFLICT: ConflictError,
    TopicRejection.FENCED: FencedError,
    TopicRejection.SEQUENCE: SequenceError,
}

_logger = structlog.get_logger(__name__)


class GatewayStore:
    """Implements the ``KeyedStore`` port over calls to gateways."""

    def __init__(
        self,
        peers: Peers,
        choice: GatewayChoice,
        *,
        gateways: Callable[[], tuple[GatewayEndpoint, ...]],
    ) -> None:
        """Initialise with a client of gateways and the order to try them.

        :param gateways: returns the known gateways
        """
        self._peers = peers
        self._choice = choice
        self._gateways = gateways

    async def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        return _page(await self._call(ListTopic(topic)))

    async def read(self, topic: str, *, start: int, wait_s: float) -> KeyedPage:
        """Return the records from offset ``start`` on."""
        message = ReadTopic(topic, start, int(wait_s * _MS_PER_S))
        return _page(await self._call(message, wait_s=wait_s))

    async def append(
        self,
        topic: str,
        records: tuple[tuple[str, bytes], ...],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> Appended:
        """Append records and return the new end of the topic."""
        sender = producer or Producer('', 0, 0)
        message = AppendTopic(
            topic=topic,
            records=tuple(KeyedRecord(key, data, 0) for key, data in records),
            at=ANY_END if at is None else at,
            producer=sender.name,
            epoch=sender.epoch,
            sequence=sender.sequence,
        )
        reply = await self._call(message)
        return Appended(reply.end, reply.era)

    async def _call(
        self, message: Message, *, wait_s: float = 0
    ) -> TopicRecords:
        error = _unreachable(
            Failure(Code.LOG, 'choose', '', 'no gateway is known')
        )
        places = self._choice.order(self._gateways(), _now())
        for place in places[:MAX_GATEWAYS]:
            try:
                reply = await self._call_gateway(place, message, wait_s)
            except FailureError as failed:
                error = _unreachable(failed.failure)
                self._note_failure(place, failed.failure)
            else:
                self._choice.note_answer(place.address)
                return reply
        raise error

    async def _call_gateway(
        self, place: GatewayEndpoint, message: Message, wait_s: float
    ) -> TopicRecords:
        reply = await self._peers.call(
            place.address, message, timeout_s=wait_s + ANSWER_TIMEOUT_S
        )
        match reply:
            case TopicRecords():
                return reply
            case TopicRejected():
                raise _ERRORS_BY_REJECTION[reply.reason]
            case Refusal():
                raise failure_error(
                    reply.code,
                    step=reply.step,
                    peer=reply.peer,
                    text=reply.text,
                )
            case _:
                raise failure_error(
                    Code.INVALID,
                    step='ask gateway',
                    peer=place.address,
                    text=f'unexpected answer of type {type(reply).__name__}',
                )

    def _note_failure(self, place: GatewayEndpoint, failure: Failure) -> None:
        _logger.debug(
            'gateway did not answer',
            gateway=place.address,
            step=failure.step,
            reason=failure.text,
        )
        self._choice.note_failure(place.address, _now())


def _page(reply: TopicRecords) -> KeyedPage:
    return KeyedPage(reply.end, reply.records, reply.era)


def _unreachable(failure: Failure) -> FailureError:
    """Return the failure as one of the store."""
    return FailureError(failure._replace(code=Code.LOG))


def _now() -> float:
    return asyncio.get_running_loop().time()
