"""Tests of the HTTP adapters against the stand-ins over loopback."""

import asyncio
from contextlib import AsyncExitStack

import testtools

from dandelioncleat.adapters.client_session import new_client_session
from dandelioncleat.adapters.http_host_list import HttpHostList
from dandelioncleat.adapters.http_log import HttpLog
from dandelioncleat.adapters.http_model_target import HttpModelTarget
from dandelioncleat.adapters.http_plain_target import HttpPlainTarget
from dandelioncleat.adapters.run_text import parse_run, run_text
from dandelioncleat.core.failure import Code, FailureError
from dandelioncleat.standin.engine import Engine, EngineSettings
from dandelioncleat.standin.engine_http import new_engine_application
from dandelioncleat.standin.host_list import MemoryHostList
from dandelioncleat.standin.log import MemoryLog, Retention
from dandelioncleat.standin.platform_http import (
    Platform,
    new_platform_application,
)
from dandelioncleat.standin.server import start_server
from dandelioncleat.standin.service import PlainService, ServiceSettings
from dandelioncleat.standin.service_http import new_service_application
from dandelioncleat.standin.weight_store import WeightStore
from tests.builders.direct import Target, close_delimited, endless
from tests.builders.standins import (
    answer_of,
    completion_body,
    model_call,
    new_run,
    plain_call,
)

UNUSED_URL = 'http://127.0.0.1:1'


def run(scenario):
    """Run ``scenario(session, stack)`` with a client session."""

    async def with_session():
        async with AsyncExitStack() as stack:
            session = await stack.enter_async_context(new_client_session())
            return await scenario(session, stack)

    return asyncio.run(with_session())


async def serve(stack, application, crashable=None):
    server = await start_server(application, crashable=crashable)
    stack.push_async_callback(server.stop)
    return server.url


async def serve_platform(stack, **options):
    platform = Platform(
        MemoryLog(**options),
        MemoryHostList(),
        WeightStore(bytes_s=1e9, sizes_by_name={'w': 1000}),
    )
    url = await serve(stack, new_platform_application(platform))
    return platform, url


async def serve_engine(stack, **changes):
    settings = EngineSettings(
        decode_tokens_s=20000, prefill_tokens_s=100000, restart_s=0.05
    )
    engine = Engine(settings._replace(**changes))
    return engine, await serve(stack, new_engine_application(engine), engine)


async def serve_service(stack, **changes):
    service = PlainService(ServiceSettings(service_ms=1)._replace(**changes))
    url = await serve(stack, new_service_application(service), service)
    return service, url


async def failure_of(awaitable):
    try:
        await awaitable
    except FailureError as error:
        return error.failure
    raise AssertionError('no failure was raised')


class HttpLogTest(testtools.TestCase):
    """The log adapter reads and appends, and maps every failure."""

    def test_appends_and_reads_by_long_poll(self):
        async def scenario(session, stack):
            _, url = await serve_platform(stack)
            log = HttpLog(session, url)
            reader = asyncio.create_task(log.read('a/b', start=0, wait_s=30))
            offset = await log.append('a/b', b'\x00\xff')
            return offset, await reader

        offset, page = run(scenario)
        self.assertEqual(0, offset)
        self.assertEqual((0, 1), (page.oldest, page.end))
        self.assertEqual(b'\x00\xff', page.entries[0].data)

    def test_a_read_before_the_oldest_entry_returns_no_entries(self):
        async def scenario(session, stack):
            _, url = await serve_platform(stack, retention=Retention(1))
            log = HttpLog(session, url)
            await log.append('s', b'1')
            await log.append('s', b'2')
            return await log.read('s', start=0)

        self.assertEqual((1, 2, ()), tuple(run(scenario)))

    def test_failures_have_code_step_and_peer(self):
        async def scenario(session, stack):
            platform, url = await serve_platform(stack)
            log = HttpLog(session, url, timeout_s=0.1)
            platform.log.lost_answer_share = 1
            lost = await failure_of(log.append('s', b'x'))
            platform.log.slow_s = 5
            slow = await failure_of(log.read('s', start=0))
            platform.log.outage = True
            out = await failure_of(log.read('s', start=0))
            away = await failure_of(
                HttpLog(session, UNUSED_URL).append('s', b'x')
            )
            return url, platform, (lost, slow, out, away)

        url, platform, failures = run(scenario)
        self.assertEqual([Code.LOG] * 4, [each.code for each in failures])
        self.assertEqual(
            ['append', 'read', 'read', 'connect'],
            [each.step for each in failures],
        )
        self.assertEqual(
            [url, url, url, UNUSED_URL], [f.peer for f in failures]
        )
        self.assertEqual(1, platform.log.appends)


class HttpHostListTest(testtools.TestCase):
    """The host list adapter reads hosts and maps failures."""

    def test_reads_hosts_and_fails_in_an_outage(self):
        async def scenario(session, stack):
            platform, url = await serve_platform(stack)
            hosts = HttpHostList(session, url)
            await session.put(url + '/hosts/h1', json={'data_centre': 'd'})
            await session.put(
                url + '/hosts/h2', json={'data_centre': 'd', 'leaving': True}
            )
            listed = await hosts.hosts()
            await session.put(url + '/faults', json={'host_list_outage': True})
            return listed, await failure_of(hosts.hosts())

        listed, failure = run(scenario)
        self.assertEqual((('h1', 'd', False), ('h2', 'd', True)), listed)
        self.assertEqual((Code.UNREACHABLE, 'hosts'), failure[:2])


class HttpModelTargetTest(testtools.TestCase):
    """The engine adapter streams, counts and maps failures."""

    def test_streams_completions_and_chats(self):
        async def scenario(session, stack):
            engine, url = await serve_engine(stack)
            target = HttpModelTarget(session, url)
            chat = model_call(
                'k2',
                path='/v1/chat/completions',
                body=b'{"messages":[{"role":"user","content":"hello"}]}',
            )
            answers = [
                await answer_of(target, model_call()),
                await answer_of(target, chat),
            ]
            return engine.runs, answers, await target.count_tokens(chat)

        runs, answers, count = run(scenario)
        for ran, (text, tokens, end) in zip(runs, answers, strict=True):
            self.assertEqual(ran.output_tokens, tokens)
            self.assertEqual(tokens, len(text.split()))
            self.assertEqual(ran.prompt_tokens, end.prompt_tokens)
            self.assertEqual((200, 'stop'), (end.status, end.reason))
        self.assertEqual(runs[1].prompt_tokens, count)

    def test_the_token_cap_and_the_run_id_reach_the_engine(self):
        async def scenario(session, stack):
            engine, url = await serve_engine(stack)
            target = HttpModelTarget(session, url)
            call = model_call('a/ü!b', cap=2)
            return engine.runs, await answer_of(target, call)

        runs, (_, tokens, end) = run(scenario)
        self.assertEqual((2, 'length'), (tokens, end.reason))
        self.assertEqual(new_run('a/ü!b'), runs[0].run)

    def test_cancel_ends_the_stream_with_the_final_counts(self):
        async def scenario(session, stack):
            engine, url = await serve_engine(stack, decode_tokens_s=500)
            target = HttpModelTarget(session, url)
            call = model_call(cap=5000, stated={'output_tokens': 5000})
            events = target.run(call)
            await anext(events)
            await target.cancel(call.run)
            rest = [event async for event in events]
            return engine.runs[0], rest[-1]

        ran, end = run(scenario)
        self.assertEqual('cancelled', end.reason)
        self.assertEqual(ran.output_tokens, end.output_tokens)

    def test_load_cache_events_and_fence(self):
        async def scenario(session, stack):
            _, url = await serve_engine(stack, checks_fencing=True)
            target = HttpModelTarget(session, url)
            checks = await target.fence(5)
            await answer_of(
                target, model_call('k', 'x' * 300, stated={}, fence=5)
            )
            old = await failure_of(answer_of(target, model_call(fence=4)))
            return (
                checks,
                old,
                await target.load(),
                await target.cache_events(0),
            )

        checks, old, load, events = run(scenario)
        self.assertTrue(checks)
        self.assertEqual(Code.FENCED, old.code)
        self.assertEqual((8, 0), (load.slots, load.running))
        self.assertEqual((1, 1), (events.end, len(events.stored)))

    def test_a_crash_breaks_streams_and_closes_the_port(self):
        async def scenario(session, stack):
            engine, url = await serve_engine(stack, restart_s=0.3)
            target = HttpModelTarget(session, url)
            poison = model_call('bad', stated={'poison': True})
            broken = await failure_of(answer_of(target, poison))
            refused = await failure_of(answer_of(target, model_call('k2')))
            await asyncio.sleep(engine.down_s + 0.1)
            return broken, refused, await answer_of(target, model_call('k3'))

        broken, refused, (_, tokens, _) = run(scenario)
        self.assertEqual((Code.TARGET, 'read'), broken[:2])
        self.assertEqual((Code.TARGET, 'connect'), refused[:2])
        self.assertEqual(5, tokens)

    def test_invalid_bodies_are_rejected(self):
        async def scenario(session, stack):
            _, url = await serve_engine(stack)
            target = HttpModelTarget(session, url)
            broken = model_call(body=b'{"prompt": 1}')
            not_json = model_call(body=b'\xff')
            return [
                (await answer_of(target, each))[2].status
                for each in (broken, not_json)
            ]

        self.assertEqual([400, 400], run(scenario))

    def test_engine_answers_without_stream_with_one_document(self):
        async def scenario(session, stack):
            _, url = await serve_engine(stack)
            async with session.post(
                url + '/v1/completions',
                data=completion_body(output_tokens=3),
            ) as response:
                return await response.json()

        whole = run(scenario)
        self.assertEqual(3, whole['usage']['completion_tokens'])
        self.assertEqual('stop', whole['choices'][0]['finish_reason'])


class HttpPlainTargetTest(testtools.TestCase):
    """The service adapter forwards calls and maps failures."""

    def test_forwards_a_call(self):
        async def scenario(session, stack):
            service, url = await serve_service(stack)
            target = HttpPlainTarget(session, url)
            answer = await answer_of(target, plain_call(body=b'42'))
            return service.runs, answer, await target.load()

        runs, (text, _, end), load = run(scenario)
        self.assertEqual((201, 1), (end.status, len(runs)))
        self.assertIn('"echo":"42"', text)
        self.assertEqual(16, load.slots)

    def test_an_answer_without_end_is_a_failure(self):
        async def scenario(session, stack):
            service = Target('i', 'app')
            await service.start()
            stack.callback(service.close)
            head = b'HTTP/1.1 200 OK\r\n\r\n'
            service.answers = [endless(head, b'x' * 100_000)]
            target = HttpPlainTarget(session, f'http://{service.address}')
            async with asyncio.timeout(10):
                return await failure_of(answer_of(target, plain_call()))

        self.assertEqual((Code.TARGET, 'read'), run(scenario)[:2])

    def test_a_reset_answer_without_length_is_a_failure(self):
        async def scenario(session, stack):
            service = Target('i', 'app')
            await service.start()
            stack.callback(service.close)
            service.answers = [close_delimited(b'half', reset=True)]
            target = HttpPlainTarget(session, f'http://{service.address}')
            return await failure_of(answer_of(target, plain_call()))

        self.assertEqual((Code.TARGET, 'read'), run(scenario)[:2])

    def test_an_outdated_fencing_number_and_a_crash_are_failures(self):
        async def scenario(session, stack):
            _, url = await serve_service(stack, checks_fencing=True)
            target = HttpPlainTarget(session, url)
            await target.fence(3)
            old = await failure_of(answer_of(target, plain_call(fence=2)))
            bad = plain_call(body=b'{"standin":{"poison":true}}', fence=3)
            crashed = await failure_of(answer_of(target, bad))
            return old, crashed

        old, crashed = run(scenario)
        self.assertEqual(Code.FENCED, old.code)
        self.assertEqual((Code.TARGET, 'read'), crashed[:2])


class RunTextTest(testtools.TestCase):
    """Run ids round-trip through text."""

    def test_run_ids_round_trip(self):
        run_id = new_run('a/b!c d%é', organisation='o&1')
        self.assertEqual(run_id, parse_run(run_text(run_id)))
        self.assertTrue(run_text(run_id).isascii())
