"""Serves store calls for routers that can't reach the store."""

from collections.abc import AsyncIterator

from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.message import Message
from dandelioncleat.core.topic_message import (
    AppendTopic,
    AskTime,
    ListTopic,
    ReadTopic,
    TimeTold,
    TopicRecords,
    TopicRejected,
    TopicRejection,
)
from dandelioncleat.ports.clock import Clock
from dandelioncleat.ports.peer import CallContext
from dandelioncleat.ports.store import (
    Appended,
    ConflictError,
    FencedError,
    KeyedStore,
    OutdatedReadError,
    Producer,
    SequenceError,
)
from dandelioncleat.ports.telemetry import Telemetry

_MS_PER_S = 1000

_REJECTIONS_BY_ERROR: dict[type[Exception], TopicRejection] = {
    OutdatedReadError: TopicRejection.OUTDATED,
    ConflictError: TopicRejection.CONFLICT,
    FencedError: TopicRejection.FENCED,
    SequenceError: TopicRejection.SEQUENCE,
}
_REJECTIONS = tuple(_REJECTIONS_BY_ERROR)


class GatewayHandler:
    """Implements the ``PeerHandler`` port; it is stateless."""

    def __init__(
        self,
        store: KeyedStore,
        *,
        host: str,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """Initialise with the store, and the gateway's host and its clock."""
        self._store = store
        self._clock = clock
        self._host = host
        self._telemetry = telemetry

    async def answer(
        self, message: Message, context: CallContext
    ) -> AsyncIterator[Message]:
        """Yield the store's answer.

        :raises FailureError: if the store does not answer
        """
        call = type(message).__name__
        self._telemetry.count('gateway.calls', call=call)
        try:
            yield await self._call_store(message)
        except _REJECTIONS as error:
            yield TopicRejected(_REJECTIONS_BY_ERROR[type(error)])

    async def _call_store(self, message: Message) -> TopicRecords | TimeTold:
        match message:
            case AskTime():
                return TimeTold(self._clock.wall())
            case ListTopic():
                page = await self._store.newest(message.topic)
                return TopicRecords(page.end, page.records, page.era)
            case ReadTopic():
                page = await self._store.read(
                    message.topic,
                    start=message.start,
                    wait_s=message.wait_ms / _MS_PER_S,
                )
                return TopicRecords(page.end, page.records, page.era)
            case AppendTopic():
                appended = await self._append(message)
                return TopicRecords(appended.end, (), appended.era)
            case _:
                raise failure_error(
                    Code.INVALID,
                    step='answer',
                    peer=self._host,
                    text=f'unsupported message type {type(message).__name__}',
                )

    async def _append(self, message: AppendTopic) -> Appended:
        producer = None
        if message.producer:
            producer = Producer(
                message.producer, message.epoch, message.sequence
            )
        return await self._store.append(
            message.topic,
            tuple((record.key, record.value) for record in message.records),
            at=message.at if message.at >= 0 else None,
            producer=producer,
        )
