"""Client of the platform's store."""

from collections.abc import Iterator
from typing import NoReturn, TypeVar

import aiohttp
import msgspec

from dandelioncleat.adapters._http_call import FailureContext, Reply, call
from dandelioncleat.adapters.client_session import new_connector
from dandelioncleat.core.decoding import UnreadableError, decode_bytes
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.platform.framing import (
    PAGE_HEAD,
    IncompleteBodyError,
    frame_records,
    split_records,
)
from dandelioncleat.platform.names import (
    APPEND_PATH,
    ERA,
    KEYED_PREFIX,
    NEWEST_PATH,
    READ_PATH,
)
from dandelioncleat.platform.sockets import new_keepalive_socket
from dandelioncleat.ports.store import (
    Appended,
    ConflictError,
    FencedError,
    KeyedPage,
    OutdatedReadError,
    Producer,
    SequenceError,
)

CALL_TIMEOUT_S = 1.0
READ_SLACK_S = 1.0
# Connections may go silent without a reset; one that was idle for longer is
# not used again.
POOL_IDLE_S = 1.0
PARTITION = '0'
OK = 200
CONFLICT = 409
GONE = 410
PRECONDITION_FAILED = 412

_MS_PER_S = 1000


class _Item(msgspec.Struct):
    """A record; the document has its value in base64."""

    key: str
    offset: int
    value: bytes = b''


class _Newest(msgspec.Struct, rename='camel'):
    items: list[_Item]
    has_more: bool
    end: int


class _Appended(msgspec.Struct):
    end: int


class _Rejected(msgspec.Struct):
    """``reason`` is ``fenced`` if a higher epoch has written.

    It is ``seq`` if the sequence number does not follow the last one.
    """

    reason: str = ''


_Body = TypeVar('_Body')

_NEWEST_DECODER = msgspec.json.Decoder(_Newest)
_APPENDED_DECODER = msgspec.json.Decoder(_Appended)
_REJECTED_DECODER = msgspec.json.Decoder(_Rejected)


class PlatformStore:
    """Implements the ``KeyedStore`` port over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Initialise.

        :param address: address of the store, as ``ip:port``
        """
        self._session = session
        self._address = address

    async def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        page, era = await self._newest_page(topic, None)
        records = [_record_of(item) for item in page.items]
        end = page.end
        while page.has_more:
            if not page.items:
                raise self._failure(NEWEST_PATH, 'a page without records')
            page, page_era = await self._newest_page(topic, records[-1].key)
            if page_era != era:
                raise self._failure(NEWEST_PATH, 'restored between pages')
            if _repeats(page, records):
                raise self._failure(NEWEST_PATH, 'a page was repeated')
            records.extend(_record_of(item) for item in page.items)
        return KeyedPage(end, tuple(records), era)

    async def read(self, topic: str, *, start: int, wait_s: float) -> KeyedPage:
        """Return the records from offset ``start`` on."""
        reply = await self._call(
            'GET',
            READ_PATH,
            topic,
            timeout_s=wait_s + READ_SLACK_S,
            query={'from': str(start), 'waitMs': str(int(wait_s * _MS_PER_S))},
        )
        if reply.status == GONE:
            raise OutdatedReadError
        self._check(reply, READ_PATH)
        try:
            records = tuple(_records_in(reply.body, start))
        except IncompleteBodyError as error:
            raise self._failure(READ_PATH, str(error)) from error
        return KeyedPage(start + len(records), records, _era(reply))

    async def append(
        self,
        topic: str,
        records: tuple[tuple[str, bytes], ...],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> Appended:
        """Append records and return the new end of the topic."""
        query: dict[str, str] = {}
        if at is not None:
            query['at'] = str(at)
        if producer is not None:
            query['producer'] = producer.name
            query['epoch'] = str(producer.epoch)
            query['sequence'] = str(producer.sequence)
        body = frame_records(records)
        reply = await self._call(
            'POST', APPEND_PATH, topic, body=body, query=query
        )
        if reply.status == PRECONDITION_FAILED:
            raise ConflictError
        if reply.status == CONFLICT:
            self._raise_rejection(reply)
        self._check(reply, APPEND_PATH)
        appended = self._decode(_APPENDED_DECODER, reply, APPEND_PATH)
        return Appended(appended.end, _era(reply))

    async def _newest_page(
        self, topic: str, after: str | None
    ) -> tuple[_Newest, int]:
        query = {} if after is None else {'after': after}
        reply = await self._call('GET', NEWEST_PATH, topic, query=query)
        self._check(reply, NEWEST_PATH)
        page = self._decode(_NEWEST_DECODER, reply, NEWEST_PATH)
        return page, _era(reply)

    async def _call(
        self,
        method: str,
        path: str,
        topic: str,
        *,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        query: dict[str, str] | None = None,
    ) -> Reply:
        params = {
            'topic': f'{KEYED_PREFIX}{topic}',
            'part': PARTITION,
            **(query or {}),
        }
        return await call(
            self._session,
            method,
            f'http://{self._address}{path}',
            context=self._origin(path),
            timeout_s=timeout_s,
            params=params,
            data=body,
        )

    def _decode(
        self, decoder: msgspec.json.Decoder[_Body], reply: Reply, path: str
    ) -> _Body:
        try:
            return decode_bytes(decoder.decode, reply.body)
        except UnreadableError as error:
            raise self._failure(path, str(error)) from error

    def _check(self, reply: Reply, path: str) -> None:
        if reply.status != OK:
            raise self._failure(path, f'HTTP status {reply.status}')

    def _raise_rejection(self, reply: Reply) -> NoReturn:
        rejected = self._decode(_REJECTED_DECODER, reply, APPEND_PATH)
        if rejected.reason == 'fenced':
            raise FencedError
        if rejected.reason == 'seq':
            raise SequenceError
        raise self._failure(APPEND_PATH, rejected.reason)

    def _failure(self, path: str, text: str) -> FailureError:
        return failure_error(Code.LOG, step=path, peer=self._address, text=text)

    def _origin(self, path: str) -> FailureContext:
        return FailureContext(Code.LOG, path, self._address)


def new_store_session(*, connect_timeout_s: float) -> aiohttp.ClientSession:
    """Return a session for store calls; requires a running event loop."""
    return aiohttp.ClientSession(
        connector=new_connector(
            limit=0,
            keepalive_timeout=POOL_IDLE_S,
            socket_factory=new_keepalive_socket,
        ),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_s
        ),
        trust_env=False,
    )


def _era(reply: Reply) -> int:
    """Return the store's era; a store that is never restored has none."""
    text = reply.headers.get(ERA, '')
    return int(text) if text.isdecimal() else 0


def _records_in(body: bytes, start: int) -> Iterator[KeyedRecord]:
    if len(body) < PAGE_HEAD.size:
        raise IncompleteBodyError('the body ends inside the head of a page')
    framed = split_records(body[PAGE_HEAD.size :])
    for offset, (key, value) in enumerate(framed, start):
        yield KeyedRecord(key, value, offset)


def _repeats(page: _Newest, records: list[KeyedRecord]) -> bool:
    first = page.items[0].key if page.items else None
    return any(record.key == first for record in records)


def _record_of(item: _Item) -> KeyedRecord:
    return KeyedRecord(item.key, item.value, item.offset)
