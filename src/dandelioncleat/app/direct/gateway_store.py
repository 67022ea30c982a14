"""Calls the store through gateways on other hosts."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from functools import partial

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
# The next gateway is tried beside one that takes longer. Calls that are made
# twice have no second effect.
HEDGE_DELAY_S = 0.15
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
        return _page(await self._call(lambda: ListTopic(topic)))

    async def read(self, topic: str, *, start: int, wait_s: float) -> KeyedPage:
        """Return the records from offset ``start`` on."""
        message = partial(_read_message, topic, start, _now() + wait_s)
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
        reply = await self._call(lambda: message)
        return Appended(reply.end, reply.era)

    async def _call(
        self, message: Callable[[], Message], *, wait_s: float = 0
    ) -> TopicRecords:
        """Return the first answer of a few gateways.

        :param message: returns the message to send now
        :param wait_s: time for which the store holds the call, in seconds
        """
        places = self._choice.order(self._gateways(), _now())[:MAX_GATEWAYS]
        calls = _Calls(wait_s + HEDGE_DELAY_S)
        try:
            for place in places:
                calls.start(place, self._call_gateway(place, message(), wait_s))
                reply = await calls.first_reply()
                if reply is not None:
                    return reply
                self._note_overdue(calls.places)
            return await calls.last_reply()
        finally:
            calls.cancel()

    async def _call_gateway(
        self, place: GatewayEndpoint, message: Message, wait_s: float
    ) -> TopicRecords:
        try:
            reply = await self._peers.call(
                place.address, message, timeout_s=wait_s + ANSWER_TIMEOUT_S
            )
            records = self._checked(place, reply)
        except FailureError as error:
            self._note_failure(place, error.failure)
            raise
        self._choice.note_answer(place.address)
        return records

    def _checked(self, place: GatewayEndpoint, reply: Message) -> TopicRecords:
        """Return the records in a reply, or raise the error that it tells."""
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

    def _note_overdue(self, places: Iterable[GatewayEndpoint]) -> None:
        for place in places:
            self._choice.note_failure(place.address, _now())

    def _note_failure(self, place: GatewayEndpoint, failure: Failure) -> None:
        _logger.debug(
            'gateway did not answer',
            gateway=place.address,
            step=failure.step,
            reason=failure.text,
        )
        self._choice.note_failure(place.address, _now())


class _Calls:
    """Calls of gateways, of which the first answer counts."""

    def __init__(self, hedge_after_s: float) -> None:
        """Initialise without a call.

        :param hedge_after_s: time after which a call is overdue, in seconds
        """
        self._hedge_after_s = hedge_after_s
        self._places_by_run: dict[
            asyncio.Future[TopicRecords], GatewayEndpoint
        ] = {}
        self._error = _unreachable(
            Failure(Code.LOG, 'choose', '', 'no gateway is known')
        )

    @property
    def places(self) -> tuple[GatewayEndpoint, ...]:
        """Return the gateways that have not answered yet."""
        return tuple(self._places_by_run.values())

    def start(
        self, place: GatewayEndpoint, call: Awaitable[TopicRecords]
    ) -> None:
        """Start a call of a gateway."""
        self._places_by_run[asyncio.ensure_future(call)] = place

    async def first_reply(self) -> TopicRecords | None:
        """Return a reply, ``None`` if a call fails or is overdue."""
        return await self._next_reply(self._hedge_after_s)

    async def last_reply(self) -> TopicRecords:
        """Return a reply of the calls that are left.

        :raises FailureError: if all of them fail
        """
        while self._places_by_run:
            reply = await self._next_reply(None)
            if reply is not None:
                return reply
        raise self._error

    def cancel(self) -> None:
        """End the calls that have not answered."""
        for run in self._places_by_run:
            run.cancel()

    async def _next_reply(self, limit_s: float | None) -> TopicRecords | None:
        done, _ = await asyncio.wait(
            self._places_by_run,
            timeout=limit_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for run in done:
            self._places_by_run.pop(run)
            error = run.exception()
            if not isinstance(error, FailureError):
                return run.result()
            self._error = _unreachable(error.failure)
        return None


def _read_message(topic: str, start: int, wait_until: float) -> ReadTopic:
    left_s = max(0, wait_until - _now())
    return ReadTopic(topic, start, int(left_s * _MS_PER_S))


def _page(reply: TopicRecords) -> KeyedPage:
    return KeyedPage(reply.end, reply.records, reply.era)


def _unreachable(failure: Failure) -> FailureError:
    """Return the failure as one of the store."""
    return FailureError(failure._replace(code=Code.LOG))


def _now() -> float:
    return asyncio.get_running_loop().time()
