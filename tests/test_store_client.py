"""Tests of the client of the platform's store against broken answers."""

import asyncio

import testtools
from aiohttp import web

from dandelioncleat.adapters._http_call import MAX_REPLY_BYTES
from dandelioncleat.core.failure import Code, FailureError
from dandelioncleat.platform.framing import PAGE_HEAD, frame_records
from dandelioncleat.platform.store import PlatformStore, new_store_session
from dandelioncleat.standin.server import start_server

RECORDS = frame_records((('a', b'first'), ('b', b'second')))
PAGE = PAGE_HEAD.pack(2, 0) + RECORDS


async def _call_store(body, call):
    """Call a store that gives the same answer to everything."""

    async def answer(_request):
        return web.Response(body=body)

    application = web.Application()
    application.router.add_route('*', '/{path:.*}', answer)
    server = await start_server(application)
    session = new_store_session(connect_timeout_s=1)
    try:
        address = server.url.removeprefix('http://')
        return await call(PlatformStore(session, address))
    finally:
        await session.close()
        await server.stop()


class IncompleteAnswerTest(testtools.TestCase):
    """An answer that ends early yields no record and no position."""

    def _failure(self, body, call):
        error = self.assertRaises(
            FailureError, asyncio.run, _call_store(body, call)
        )
        self.assertEqual(Code.LOG, error.failure.code)
        return error.failure.text

    def test_whole_page(self):
        page = asyncio.run(_call_store(PAGE, _read))
        self.assertEqual([b'first', b'second'], [r.value for r in page.records])

    def test_page_that_ends_inside_a_record(self):
        for missing in (1, 6, 8, 9, 11, len(PAGE) - 3):
            self.assertIn('ends inside', self._failure(PAGE[:-missing], _read))

    def test_page_without_end(self):
        body = b'x' * (MAX_REPLY_BYTES + 1)
        self.assertIn('exceeds', self._failure(body, _read))

    def test_documents_that_end_early(self):
        self.assertIn('truncated', self._failure(b'{"end": 1', _append))
        self.assertIn('truncated', self._failure(b'{"items": [', _newest))


def _read(store):
    return store.read('t', start=0, wait_s=0)


def _append(store):
    return store.append('t', (('a', b'x'),))


def _newest(store):
    return store.newest('t')
