"""An in-memory store with the platform's HTTP interface, for tests."""

from base64 import b64encode

import msgspec
from aiohttp import web

from dandelioncleat.core.failure import FailureError
from dandelioncleat.platform.framing import (
    PAGE_HEAD,
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
from dandelioncleat.ports.store import (
    ConflictError,
    FencedError,
    OutdatedReadError,
    Producer,
    SequenceError,
)
from dandelioncleat.standin.keyed_store import MemoryKeyedStore

PAGE_ITEMS = 500
UNAVAILABLE = 503
CONFLICT = 409
GONE = 410
PRECONDITION_FAILED = 412
_MS_PER_S = 1000
_REASONS_BY_ERROR: dict[type[Exception], str] = {
    FencedError: 'fenced',
    SequenceError: 'seq',
}

STORE = web.AppKey('store', MemoryKeyedStore)


def new_store_application(store: MemoryKeyedStore) -> web.Application:
    """Return an application that serves a store over HTTP."""
    application = web.Application()
    application[STORE] = store
    application.router.add_post(APPEND_PATH, _append)
    application.router.add_get(READ_PATH, _read)
    application.router.add_get(NEWEST_PATH, _newest)
    return application


async def _append(request: web.Request) -> web.Response:
    query = request.query
    records = tuple(split_records(await request.read()))
    try:
        appended = await request.app[STORE].append(
            _topic(request),
            records,
            at=int(query['at']) if 'at' in query else None,
            producer=_producer(request),
        )
    except ConflictError:
        return _answer(request, {}, PRECONDITION_FAILED)
    except (FencedError, SequenceError) as error:
        reason = _REASONS_BY_ERROR[type(error)]
        return _answer(request, {'reason': reason}, CONFLICT)
    except FailureError:
        return _answer(request, {}, UNAVAILABLE)
    end = appended.end
    return _answer(request, {'offset': end - len(records), 'end': end})


async def _read(request: web.Request) -> web.Response:
    query = request.query
    try:
        page = await request.app[STORE].read(
            _topic(request),
            start=int(query['from']),
            wait_s=int(query.get('waitMs', 0)) / _MS_PER_S,
        )
    except OutdatedReadError:
        return _answer(request, {}, GONE)
    except FailureError:
        return _answer(request, {}, UNAVAILABLE)
    framed = frame_records(
        (record.key, record.value) for record in page.records
    )
    return web.Response(
        body=PAGE_HEAD.pack(page.end, 0) + framed,
        headers={ERA: str(page.era)},
    )


async def _newest(request: web.Request) -> web.Response:
    try:
        page = await request.app[STORE].newest(_topic(request))
    except FailureError:
        return _answer(request, {}, UNAVAILABLE)
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
    return _answer(
        request, {'items': items, 'hasMore': has_more, 'end': page.end}
    )


def _topic(request: web.Request) -> str:
    return request.query['topic'].removeprefix(KEYED_PREFIX)


def _producer(request: web.Request) -> Producer | None:
    query = request.query
    if 'producer' not in query:
        return None
    return Producer(
        query['producer'], int(query['epoch']), int(query['sequence'])
    )


def _answer(
    request: web.Request, document: dict[str, object], status: int = 200
) -> web.Response:
    return web.Response(
        headers={ERA: str(request.app[STORE].era)},
        body=msgspec.json.encode(document),
        status=status,
        content_type='application/json',
    )
