"""The platform's store as an HTTP application, for tests and trials."""

import struct
from base64 import b64encode
from collections.abc import Iterator

import msgspec
from aiohttp import web

from dandelioncleat.core.failure import FailureError
from dandelioncleat.platform.names import (
    APPEND_PATH,
    KEYED_PREFIX,
    NEWEST_PATH,
    READ_PATH,
)
from dandelioncleat.ports.store import (
    ConflictError,
    FencedError,
    KeyedRecord,
    OutdatedReadError,
    Producer,
)
from dandelioncleat.standin.keyed_store import MemoryKeyedStore

PAGE_ITEMS = 500
UNAVAILABLE = 503
CONFLICT = 409
GONE = 410
MOVED_ON = 412
_LENGTH = struct.Struct('>I')
_PAGE_HEAD = struct.Struct('>QQ')
_MS = 1000

STORE = web.AppKey('store', MemoryKeyedStore)


def new_store_application(store: MemoryKeyedStore) -> web.Application:
    """Return the application that serves a store."""
    application = web.Application()
    application[STORE] = store
    application.router.add_post(APPEND_PATH, _append)
    application.router.add_get(READ_PATH, _read)
    application.router.add_get(NEWEST_PATH, _newest)
    return application


async def _append(request: web.Request) -> web.Response:
    query = request.query
    records = tuple(_records(await request.read()))
    try:
        end = await request.app[STORE].append(
            _topic(request),
            records,
            at=int(query['at']) if 'at' in query else None,
            producer=_producer(request),
        )
    except ConflictError:
        return _answer({}, MOVED_ON)
    except FencedError:
        return _answer({'reason': 'fenced'}, CONFLICT)
    except FailureError:
        return _answer({}, UNAVAILABLE)
    return _answer({'offset': end - len(records), 'end': end})


async def _read(request: web.Request) -> web.Response:
    query = request.query
    try:
        page = await request.app[STORE].read(
            _topic(request),
            start=int(query['from']),
            wait_s=int(query.get('waitMs', 0)) / _MS,
        )
    except OutdatedReadError:
        return _answer({}, GONE)
    except FailureError:
        return _answer({}, UNAVAILABLE)
    parts = [_PAGE_HEAD.pack(page.end, 0)]
    parts.extend(_framed(record) for record in page.records)
    return web.Response(body=b''.join(parts))


async def _newest(request: web.Request) -> web.Response:
    try:
        page = await request.app[STORE].newest(_topic(request))
    except FailureError:
        return _answer({}, UNAVAILABLE)
    after = request.query.get('after', '')
    rest = sorted(
        (record for record in page.records if record.key > after),
        key=lambda record: record.key,
    )
    items = [
        {
            'key': record.key,
            'value': b64encode(record.value).decode(),
            'offset': record.offset,
        }
        for record in rest[:PAGE_ITEMS]
    ]
    has_more = len(rest) > PAGE_ITEMS
    return _answer({'items': items, 'hasMore': has_more, 'end': page.end})


def _topic(request: web.Request) -> str:
    return request.query['topic'].removeprefix(KEYED_PREFIX)


def _producer(request: web.Request) -> Producer | None:
    query = request.query
    if 'producer' not in query:
        return None
    return Producer(
        query['producer'], int(query['epoch']), int(query['sequence'])
    )


def _records(body: bytes) -> Iterator[tuple[str, bytes]]:
    at = 0
    while at < len(body):
        size = _LENGTH.unpack_from(body, at)[0]
        at += _LENGTH.size
        content = body[at : at + size]
        key_end = 1 + content[0]
        yield content[1:key_end].decode(), content[key_end:]
        at += size


def _framed(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return _LENGTH.pack(len(content)) + content


def _answer(document: dict[str, object], status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(document),
        status=status,
        content_type='application/json',
    )
