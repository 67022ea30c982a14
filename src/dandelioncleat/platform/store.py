"""The platform's store as the port of keyed topics."""

from base64 import b64decode
from collections.abc import Iterator
from typing import NoReturn

import aiohttp
import msgspec

from dandelioncleat.adapters._http_call import FailureContext, Reply, call
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.platform.framing import (
    PAGE_HEAD,
    frame_records,
    split_records,
)
from dandelioncleat.platform.names import (
    APPEND_PATH,
    KEYED_PREFIX,
    NEWEST_PATH,
    READ_PATH,
)
from dandelioncleat.platform.sockets import new_watched_socket
from dandelioncleat.ports.store import (
    ConflictError,
    FencedError,
    KeyedPage,
    OutdatedReadError,
    Producer,
)

CALL_TIMEOUT_S = 1.0
READ_SLACK_S = 1.0
PART = '0'
OK = 200
FENCED = 409
GONE = 410
MOVED_ON = 412

_MS = 1000


class _Item(msgspec.Struct):
    """A record of a key; ``value`` is in base64."""

    key: str
    offset: int
    value: str = ''


class _Newest(msgspec.Struct, rename='camel'):
    items: list[_Item]
    has_more: bool
    end: int


class _Appended(msgspec.Struct):
    end: int


class _Rejected(msgspec.Struct):
    """``reason`` is ``fenced`` where a higher epoch has written."""

    reason: str = ''


_NEWEST_DECODER = msgspec.json.Decoder(_Newest)
_APPENDED_DECODER = msgspec.json.Decoder(_Appended)
_REJECTED_DECODER = msgspec.json.Decoder(_Rejected)


class PlatformStore:
    """Implements the ``KeyedStore`` port."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Take the session and the address ``ip:port`` of the store."""
        self._session = session
        self._address = address

    async def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        page = await self._newest_page(topic, None)
        records = [_record_of(item) for item in page.items]
        end = page.end
        while page.has_more:
            page = await self._newest_page(topic, records[-1].key)
            records.extend(_record_of(item) for item in page.items)
        return KeyedPage(end, tuple(records))

    async def read(self, topic: str, *, start: int, wait_s: float) -> KeyedPage:
        """Return the records from ``start`` on."""
        reply = await self._call(
            'GET',
            READ_PATH,
            topic,
            timeout_s=wait_s + READ_SLACK_S,
            query={'from': str(start), 'waitMs': str(int(wait_s * _MS))},
        )
        if reply.status == GONE:
            raise OutdatedReadError
        self._check(reply, READ_PATH)
        records = tuple(_split(reply.body, start))
        return KeyedPage(start + len(records), records)

    async def append(
        self,
        topic: str,
        records: tuple[tuple[str, bytes], ...],
        *,
        at: int | None = None,
        producer: Producer | None = None,
    ) -> int:
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
        if reply.status == MOVED_ON:
            raise ConflictError
        if reply.status == FENCED:
            _reject(reply)
        self._check(reply, APPEND_PATH)
        return _APPENDED_DECODER.decode(reply.body).end

    async def _newest_page(self, topic: str, after: str | None) -> _Newest:
        query = {} if after is None else {'after': after}
        reply = await self._call('GET', NEWEST_PATH, topic, query=query)
        self._check(reply, NEWEST_PATH)
        return _NEWEST_DECODER.decode(reply.body)

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
            'part': PART,
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

    def _check(self, reply: Reply, path: str) -> None:
        if reply.status != OK:
            raise failure_error(
                Code.LOG,
                step=path,
                peer=self._address,
                text=f'HTTP status {reply.status}',
            )

    def _origin(self, path: str) -> FailureContext:
        return FailureContext(Code.LOG, path, self._address)


def new_store_session(*, connect_timeout_s: float) -> aiohttp.ClientSession:
    """Return a session for calls to the store; needs a running event loop."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, socket_factory=new_watched_socket
        ),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_s
        ),
        trust_env=False,
    )


def _reject(reply: Reply) -> NoReturn:
    rejected = _REJECTED_DECODER.decode(reply.body)
    if rejected.reason == 'fenced':
        raise FencedError
    raise failure_error(
        Code.LOG, step=APPEND_PATH, peer='store', text=rejected.reason
    )


def _split(body: bytes, start: int) -> Iterator[KeyedRecord]:
    framed = split_records(body[PAGE_HEAD.size :])
    for offset, (key, value) in enumerate(framed, start):
        yield KeyedRecord(key, value, offset)


def _record_of(item: _Item) -> KeyedRecord:
    return KeyedRecord(item.key, b64decode(item.value), item.offset)
