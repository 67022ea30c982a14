"""Tests of the direct router with its store and targets on loopback."""

import asyncio
from types import SimpleNamespace

import testtools
from aiohttp import web

from dandelioncleat.platform.caller_server import (
    new_caller_server,
    stop_reading,
)
from dandelioncleat.platform.callers import DEFAULT_LIMITS
from dandelioncleat.platform.names import CACHE_EVENTS_PATH
from tests.builders.direct import (
    MODEL_HEADERS,
    aborted,
    configuration,
    cut_then_resumed,
    events,
    head_only,
    never_answered,
    not_run,
    request_head,
    route,
    run_with_fleet,
    text_answer,
)


class ServingTest(testtools.TestCase):
    """Requests reach targets, and their answers reach callers."""

    def test_request_reaches_target_and_its_answer_is_relayed(self):
        async def scenario(fleet):
            fleet.app.answers = [text_answer('paid', 201)]
            answer = await fleet.call('/once/a?b=1', body=b'{"x": 1}')
            return answer, fleet.app

        (status, headers, body), target = run_with_fleet(scenario)
        self.assertEqual((201, b'paid'), (status, body))
        self.assertEqual('s.1', headers['Server-Stamp'])
        request = target.requests[0]
        self.assertEqual('/once/a?b=1', request.path_qs)
        self.assertEqual([b'{"x": 1}'], target.bodies)
        self.assertEqual('o', request.headers['Tenant'])
        self.assertEqual('i-app', request.headers['Expect-Instance'])
        self.assertLessEqual(int(request.headers['Deadline-Ms']), 4000)
        self.assertNotIn('Authorization', request.headers)

    def test_reserved_headers_of_caller_are_dropped(self):
        async def scenario(fleet):
            await fleet.call(
                '/safe/a',
                Tenant='other',
                Hold='h',
                **{'Kv-From': '1', 'Request-Priority': '0', 'X-Own': 'kept'},
            )
            return fleet.app.requests[0].headers

        headers = run_with_fleet(scenario)
        self.assertEqual(['o'], headers.getall('Tenant'))
        self.assertEqual('kept', headers['X-Own'])
        for name in ('Hold', 'Kv-From', 'Request-Priority'):
            self.assertNotIn(name, headers)

    def _urgency(self, priority):
        document = configuration()
        document['tenants'][0]['priority'] = priority

        async def scenario(fleet):
            fleet.llm.answers = [events(0, 1)]
            await fleet.call('/stream/a', **MODEL_HEADERS)
            return int(fleet.llm.requests[0].headers['Request-Priority'])

        return run_with_fleet(scenario, document=document)

    def test_priority_of_organisation_overrides_that_of_route(self):
        by_route = self._urgency(None)
        self.assertLess(by_route, self._urgency(2))
        self.assertEqual(by_route, self._urgency(0))

    def test_stream_is_relayed_completely(self):
        async def scenario(fleet):
            fleet.llm.answers = [events(0, 3)]
            return await fleet.call('/stream/a', **MODEL_HEADERS)

        status, _, body = run_with_fleet(scenario)
        self.assertEqual(200, status)
        self.assertEqual(4, body.count(b'id: '))


class HeaderBytesTest(testtools.TestCase):
    """Header bytes reach the target as they came, or not at all."""

    def _sent(self, header):
        """Send a header; return the status and the header at the target.

        The status of a sound request after it comes last.
        """

        async def scenario(fleet):
            answer = await fleet.send_raw(
                b'POST /safe/a HTTP/1.1\r\nHost: api.example\r\n'
                b'Request-Id: r-1\r\nAuthorization: Bearer k-1\r\n'
                b'X-Odd: ' + header + b'\r\nContent-Length: 2\r\n'
                b'Connection: close\r\n\r\n{}'
            )
            sent = None
            if fleet.app.requests:
                sent = dict(fleet.app.requests[0].raw_headers)[b'X-Odd']
            sound = await fleet.call('/safe/a')
            return answer.split()[1], sent, sound[0]

        return run_with_fleet(scenario)

    def test_header_that_is_not_utf8_is_refused_and_not_sent_on_changed(self):
        self.assertEqual((b'400', None, 200), self._sent(b'\xff\xc3\xb6'))

    def test_header_in_utf8(self):
        sent = b'\xc3\xb6'
        self.assertEqual((b'200', sent, 200), self._sent(sent))


class PresumedUseTest(testtools.TestCase):
    """Tokens that a killed process may have used are not reported as spent."""

    def test_refusal_of_a_balance_that_is_not_known_is_not_that_it_is_spent(
        self,
    ):
        async def scenario(fleet):
            fleet.llm.answers = [never_answered()]
            waiting = asyncio.ensure_future(
                fleet.call('/stream/a', **MODEL_HEADERS)
            )
            await fleet.wait_until(lambda: fleet.llm.requests)
            await fleet.replace_router('h1')
            await asyncio.gather(waiting, return_exceptions=True)
            large = {**MODEL_HEADERS, 'Token-Count': '700,50'}
            too_large = {**MODEL_HEADERS, 'Token-Count': '801,0'}
            status, headers, _ = await fleet.call('/stream/a', **large)
            spent = await fleet.call('/stream/a', **too_large)
            return status, headers['Retry-After'], spent[0]

        document = configuration(prepaid=800)
        status, retry_after, spent = run_with_fleet(scenario, document=document)
        self.assertEqual(503, status)
        self.assertGreater(float(retry_after), 1)
        self.assertEqual(402, spent)


class GatewayAccessTest(testtools.TestCase):
    """A router that can't reach the store uses a gateway."""

    def test_request_without_direct_store_access_is_served(self):
        async def scenario(fleet):
            fleet.llm.answers = [events(0, 3)]
            return await fleet.call('/stream/a', **MODEL_HEADERS)

        status, _, body = run_with_fleet(scenario, is_cut=True)
        self.assertEqual(200, status)
        self.assertEqual(4, body.count(b'id: '))

    def test_a_new_version_is_in_force(self):
        async def scenario(fleet):
            await fleet.put('op', 'config', configuration(version=2))
            await fleet.wait_until(lambda: fleet.router.version == 2)
            return (await fleet.call('/safe/a'))[0]

        self.assertEqual(200, run_with_fleet(scenario, is_cut=True))


class RefusalTest(testtools.TestCase):
    """Requests that can't be served are refused at once."""

    def test_cache_event_polls_do_not_count_as_requests(self):
        async def scenario(fleet):
            fleet.llm.answers = [events(0, 1)]
            url = f'http://{fleet.llm.address}{CACHE_EVENTS_PATH}'
            async with fleet.session.get(url) as response:
                await response.read()
            return len(fleet.llm.requests), len(fleet.llm.answers)

        self.assertEqual((0, 1), run_with_fleet(scenario))

    def _status(self, path, **headers):
        async def scenario(fleet):
            answer = await fleet.call(path, **headers)
            requests = len(fleet.app.requests) + len(fleet.llm.requests)
            return answer[0], requests

        return run_with_fleet(scenario)

    def test_unknown_route_is_refused(self):
        self.assertEqual((404, 0), self._status('/none/a'))

    def test_unknown_key_is_refused(self):
        answer = self._status('/safe/a', Authorization='Bearer no')
        self.assertEqual((401, 0), answer)

    def test_missing_request_id_is_refused(self):
        answer = self._status('/safe/a', **{'Request-Id': None})
        self.assertEqual((400, 0), answer)

    def test_token_count_that_is_no_number_is_refused(self):
        headers = {**MODEL_HEADERS, 'Token-Count': 'many,1'}
        self.assertEqual((400, 0), self._status('/stream/a', **headers))

    def test_request_beyond_the_budget_is_refused(self):
        headers = {**MODEL_HEADERS, 'Token-Count': '100000,1'}
        self.assertEqual((402, 0), self._status('/stream/a', **headers))

    def test_body_that_is_too_large_is_refused(self):
        async def scenario(fleet):
            answer = await fleet.call('/once/a', body=b'x' * 1001)
            return answer[0], len(fleet.app.requests)

        self.assertEqual((413, 0), run_with_fleet(scenario))

    def test_chunked_body_that_is_too_large_is_refused(self):
        async def parts():
            for _ in range(3):
                yield b'x' * 500

        async def scenario(fleet):
            answer = await fleet.call('/once/a', body=parts())
            return answer[0], len(fleet.app.requests)

        self.assertEqual((413, 0), run_with_fleet(scenario))

    def test_contradictory_framing_is_refused(self):
        async def scenario(fleet):
            answer = await fleet.send_raw(
                b'POST /once/a HTTP/1.1\r\nHost: api.example\r\n'
                b'Request-Id: r\r\nAuthorization: Bearer k-1\r\n'
                b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'0\r\n\r\nPOST /once/b HTTP/1.1\r\n\r\n'
            )
            return answer, len(fleet.app.requests)

        answer, requests = run_with_fleet(scenario)
        self.assertEqual(b'400', answer.split()[1])
        self.assertEqual(0, requests)

    def test_incomplete_head_is_closed_after_the_time_limit(self):
        async def scenario(fleet):
            answer = await fleet.send_raw(b'POST /safe/a HTTP/1.1\r\nHost: api')
            return answer, (await fleet.call('/safe/a'))[0]

        document = configuration(headerMs=50)
        self.assertEqual(
            (b'', 200), run_with_fleet(scenario, document=document)
        )

    def test_body_slower_than_the_head_limit_is_served(self):
        async def scenario(fleet):
            async def slow_body():
                yield b'{'
                await asyncio.sleep(0.2)
                yield b'}'

            return (await fleet.call('/safe/a', body=slow_body()))[0]

        document = configuration(headerMs=50)
        self.assertEqual(200, run_with_fleet(scenario, document=document))

    def test_request_before_any_configuration_is_refused(self):
        async def scenario(fleet):
            return await fleet.call('/safe/a')

        status, headers, _ = run_with_fleet(scenario, document=None)
        self.assertEqual(503, status)
        self.assertGreater(float(headers['Retry-After']), 0)

    def test_request_without_a_target_with_room_is_refused(self):
        async def scenario(fleet):
            fleet.app.answers = [not_run(), not_run()]
            return await fleet.call('/once/a')

        status, headers, _ = run_with_fleet(scenario)
        self.assertEqual(503, status)
        self.assertIn('Retry-After', headers)


class LostAnswerTest(testtools.TestCase):
    """Requests are retried only where the route allows it."""

    def test_a_call_that_runs_once_is_not_sent_again(self):
        async def scenario(fleet):
            fleet.app.answers = [aborted()]
            answer = await fleet.call('/once/a')
            return answer[0], len(fleet.app.requests)

        self.assertEqual((502, 1), run_with_fleet(scenario))

    def test_stream_that_may_not_resume_is_not_sent_again(self):
        async def scenario(fleet):
            fleet.llm.answers = [aborted()]
            fleet.llm2.answers = [aborted()]
            answer = await fleet.call('/single/a', **MODEL_HEADERS)
            sent = len(fleet.llm.requests) + len(fleet.llm2.requests)
            return answer[0], sent

        self.assertEqual((502, 1), run_with_fleet(scenario))

    def test_an_answer_of_another_request_is_not_delivered(self):
        async def scenario(fleet):
            fleet.app.answers = [
                text_answer('other', **{'Request-Id': 'r-0'}),
            ]
            return await fleet.call('/once/a')

        status, _, body = run_with_fleet(scenario)
        self.assertEqual(502, status)
        self.assertNotIn(b'other', body)

    def test_a_stream_resumes_after_its_last_whole_event(self):
        async def scenario(fleet):
            await fleet.list_second_engine()
            for target in (fleet.llm, fleet.llm2):
                target.answers = [cut_then_resumed(2, 5)]
            answer = await fleet.call('/stream/a', **MODEL_HEADERS)
            requests = fleet.llm.requests + fleet.llm2.requests
            resumed = [
                request.headers['Last-Event-Id']
                for request in requests
                if 'Last-Event-Id' in request.headers
            ]
            return answer, resumed

        (status, _, body), resumed = run_with_fleet(scenario)
        self.assertEqual(200, status)
        found = [line for line in body.split(b'\n') if line[:3] == b'id:']
        self.assertEqual([b'id: %d' % n for n in range(6)], found)
        self.assertEqual(['2'], resumed)

    def test_stream_that_breaks_off_fails_at_the_caller(self):
        async def scenario(fleet):
            fleet.llm.answers = [events(0, 2, cut=True)]
            try:
                return await fleet.call('/single/a', **MODEL_HEADERS)
            except Exception as error:
                return type(error).__name__

        self.assertEqual('ClientPayloadError', run_with_fleet(scenario))

    def test_request_past_the_timeout_of_its_route_ends(self):
        document = configuration(
            routes=[route('/safe/', 'idempotent', 'app', timeoutMs=300)]
        )

        async def scenario(fleet):
            fleet.app.answers = [never_answered()]
            answer = await fleet.call('/safe/a')
            await fleet.app.cancelled.wait()
            return answer[0]

        self.assertEqual(504, run_with_fleet(scenario, document=document))


class CallerDisconnectTest(testtools.TestCase):
    """A caller's disconnect cancels its run."""

    def test_target_of_a_disconnected_caller_is_cancelled(self):
        async def scenario(fleet):
            fleet.llm.answers = [events(0, 1, until=asyncio.Event())]
            call = asyncio.ensure_future(
                fleet.call('/stream/a', **MODEL_HEADERS)
            )
            await fleet.wait_until(lambda: fleet.llm.requests)
            call.cancel()
            async with asyncio.timeout(5):
                await fleet.llm.cancelled.wait()
            return True

        self.assertTrue(run_with_fleet(scenario))

    def _status_after_disconnect(self, answer, has_begun, reads_event=False):
        """Abandon a request of 150 tokens, then request the whole budget."""

        async def scenario(fleet):
            fleet.llm.answers = [answer, events(0, 1)]
            leaving = asyncio.ensure_future(
                fleet.begin('/stream/a', **MODEL_HEADERS)
            )
            await fleet.wait_until(lambda: fleet.llm.requests)
            if has_begun:
                response = await leaving
                if reads_event:
                    await response.content.readany()
                response.close()
            else:
                leaving.cancel()
            async with asyncio.timeout(5):
                await fleet.llm.cancelled.wait()
            headers = {**MODEL_HEADERS, 'Token-Count': '950,50'}
            return (await fleet.call('/stream/a', **headers))[0]

        return run_with_fleet(scenario, document=configuration(prepaid=1000))

    def test_disconnect_before_the_answer_costs_nothing(self):
        self.assertEqual(
            200, self._status_after_disconnect(never_answered(), False)
        )

    def test_disconnect_before_the_first_event_costs_nothing(self):
        self.assertEqual(200, self._status_after_disconnect(head_only(), True))

    def test_disconnect_after_an_event_costs_the_prompt(self):
        answer = events(0, 1, until=asyncio.Event())
        status = self._status_after_disconnect(answer, True, reads_event=True)
        self.assertEqual(402, status)


class PlannedStopTest(testtools.TestCase):
    """A planned stop completes answers and returns unused tokens."""

    def test_an_open_stream_is_finished(self):
        async def scenario(fleet):
            go_on = asyncio.Event()
            fleet.llm.answers = [events(0, 3, until=go_on)]
            call = asyncio.ensure_future(
                fleet.call('/stream/a', **MODEL_HEADERS)
            )
            await fleet.wait_until(lambda: fleet.llm.requests)
            stop = asyncio.ensure_future(fleet.router.stop(limit_s=5))
            await fleet.wait_until(lambda: not fleet.router.is_ready)
            go_on.set()
            answer = await call
            return answer[0], answer[2].count(b'id: '), await stop

        self.assertEqual((200, 4, ''), run_with_fleet(scenario))

    def test_a_late_request_is_refused_if_it_might_not_end(self):
        async def scenario(fleet):
            go_on = asyncio.Event()
            fleet.llm.answers = [events(0, 3, until=go_on)]
            first = asyncio.ensure_future(
                fleet.call('/stream/a', **MODEL_HEADERS)
            )
            await fleet.wait_until(lambda: fleet.llm.requests)
            stop = asyncio.ensure_future(
                fleet.router.stop(limit_s=5, accept_s=-1)
            )
            await fleet.wait_until(lambda: not fleet.router.is_ready)
            late = await fleet.call('/stream/b', **MODEL_HEADERS)
            short = await fleet.call('/safe/b', **{'Deadline-Ms': '900'})
            go_on.set()
            await asyncio.gather(first, stop)
            return late[0], short[0], len(fleet.llm.requests)

        self.assertEqual((503, 200, 1), run_with_fleet(scenario))

    def test_a_late_stream_that_may_outlast_the_stop_is_not_begun(self):
        # Its first event is due in time, but its caller waits longer.
        document = configuration(
            routes=[
                route('/stream/', 'streaming', 'llm', timeoutMs=500),
                route('/safe/', 'idempotent', 'app'),
            ]
        )

        async def scenario(fleet):
            go_on = asyncio.Event()
            fleet.app.answers = [_answered_after(go_on)]
            first = asyncio.ensure_future(fleet.call('/safe/a'))
            await fleet.wait_until(lambda: fleet.app.requests)
            stop = asyncio.ensure_future(
                fleet.router.stop(limit_s=5, accept_s=-1)
            )
            await fleet.wait_until(lambda: not fleet.router.is_ready)
            fleet.llm.answers = [events(0, 1)]
            late = await fleet.call('/stream/a', **MODEL_HEADERS)
            go_on.set()
            await asyncio.gather(first, stop)
            return late[0], len(fleet.llm.requests)

        self.assertEqual((503, 0), run_with_fleet(scenario, document=document))

    def test_request_whose_body_is_still_arriving_is_answered(self):
        async def scenario(fleet):
            fleet.app.answers = [text_answer('ok')]
            reader, writer = await fleet.connect()
            writer.write(request_head('/once/a', length=2) + b'{')
            await fleet.wait_until(lambda: fleet.router.callers.taken.ids)
            stop = asyncio.ensure_future(fleet.router.stop(limit_s=5))
            await fleet.wait_until(lambda: not fleet.router.is_ready)
            await asyncio.sleep(0.3)
            is_over = stop.done()
            writer.write(b'}')
            line = await reader.readline()
            await stop
            writer.close()
            return is_over, line.split()[1]

        self.assertEqual((False, b'200'), run_with_fleet(scenario))

    def test_nothing_begins_once_the_requests_are_finished(self):
        async def scenario(fleet):
            await fleet.router.stop(limit_s=5)
            answer = await fleet.call('/safe/a', **{'Deadline-Ms': '900'})
            return answer[0], len(fleet.app.requests)

        self.assertEqual((503, 0), run_with_fleet(scenario))

    def test_a_request_after_the_last_read_is_not_taken(self):
        async def scenario():
            taken = []

            async def handle(request):
                taken.append(request.path)
                return web.Response(text='ok')

            handler = SimpleNamespace(handle=handle)
            server = new_caller_server(handler, DEFAULT_LIMITS)
            listener = await asyncio.get_running_loop().create_server(
                server, '127.0.0.1', 0
            )
            address = listener.sockets[0].getsockname()
            old = await asyncio.open_connection(*address)
            await _ask(old, '/before')
            stop_reading(server)
            old[1].write(b'GET /late HTTP/1.1\r\nHost: h\r\n\r\n')
            await old[1].drain()
            # The answer on a newer connection proves that the loop has run.
            new = await asyncio.open_connection(*address)
            await _ask(new, '/newer')
            listener.close()
            await server.shutdown(0.05)
            for _, writer in (old, new):
                writer.close()
            return taken

        self.assertEqual(['/before', '/newer'], asyncio.run(scenario()))

    def test_idle_connection_does_not_delay_the_stop(self):
        async def scenario(fleet):
            await fleet.call('/safe/a')
            lost = await fleet.router.stop(limit_s=5)
            async with asyncio.timeout(10):
                await fleet.router.close()
            return lost

        self.assertEqual('', run_with_fleet(scenario))

    def test_stream_that_outlasts_the_stop_is_reported(self):
        async def scenario(fleet):
            fleet.llm.answers = [events(0, 1, until=asyncio.Event())]
            call = asyncio.ensure_future(
                fleet.call('/stream/a', **MODEL_HEADERS)
            )
            await fleet.wait_until(lambda: fleet.llm.requests)
            lost = await fleet.router.stop(limit_s=1.3)
            await fleet.router.close()
            await asyncio.gather(call, return_exceptions=True)
            return lost

        self.assertIn('r-1', run_with_fleet(scenario))

    def test_call_that_outlasts_the_stop_is_answered_that_it_may_have_run(self):
        async def scenario(fleet):
            fleet.app.answers = [never_answered()]
            call = asyncio.ensure_future(fleet.call('/once/a'))
            await fleet.wait_until(lambda: fleet.app.requests)
            lost = await fleet.router.stop(limit_s=1.3)
            await fleet.router.close()
            await fleet.app.cancelled.wait()
            return lost, (await call)[0]

        lost, status = run_with_fleet(scenario)
        self.assertIn('r-1', lost)
        self.assertEqual(502, status)

    def test_forced_stop_answers_a_call_that_may_have_run(self):
        async def scenario(fleet):
            fleet.app.answers = [never_answered()]
            call = asyncio.ensure_future(fleet.call('/once/a'))
            await fleet.wait_until(lambda: fleet.app.requests)
            await fleet.router.close()
            return (await call)[0]

        self.assertEqual(502, run_with_fleet(scenario))

    def test_stop_returns_tokens_to_the_budget(self):
        async def scenario(fleet):
            await fleet.call('/stream/a', **MODEL_HEADERS)
            await fleet.router.stop(limit_s=5)
            return await fleet.store.newest('ceilings')

        records = run_with_fleet(scenario).records
        self.assertEqual(
            ['/h1', 'o/h1'], sorted(record.key for record in records)
        )


def _answered_after(event):
    async def answer(request):
        await event.wait()
        return await text_answer('ok')(request)

    return answer


async def _ask(connection, path):
    """Send a request and read its short answer."""
    reader, writer = connection
    writer.write(f'GET {path} HTTP/1.1\r\nHost: h\r\n\r\n'.encode())
    async with asyncio.timeout(10):
        await reader.readuntil(b'ok')


class ConfigurationTest(testtools.TestCase):
    """New requests use the newest configuration; older ones are ignored."""

    def test_a_new_version_is_in_force(self):
        async def scenario(fleet):
            before = await fleet.call('/new/a')
            routes = [route('/new/', 'idempotent', 'app')]
            await fleet.put('op', 'config', configuration(5, routes=routes))
            await fleet.wait_until(lambda: fleet.router.version == 5)
            await fleet.put('op', 'config', configuration(4))
            await fleet.put('op', 'other', {'version': 9})
            after = await fleet.call('/new/a')
            return before[0], after[0]

        self.assertEqual((404, 200), run_with_fleet(scenario))

    def test_a_record_that_cannot_be_read_changes_nothing(self):
        async def scenario(fleet):
            await fleet.store.append('op', (('config', b'\xff{'),))
            await fleet.store.append(
                'servers', (('i-odd', b'[1'), ('i-none', b'{}'))
            )
            await fleet.put('op', 'config', configuration(2))
            await fleet.wait_until(lambda: fleet.router.version == 2)
            return (await fleet.call('/safe/a'))[0]

        self.assertEqual(200, run_with_fleet(scenario))

    def test_a_draining_target_gets_no_new_work(self):
        async def scenario(fleet):
            await fleet.put('servers', 'i-app', fleet.app.entry('draining'))
            await fleet.wait_until(lambda: not fleet.router.target_count('app'))
            answer = await fleet.call('/safe/a')
            return answer[0], len(fleet.app.requests)

        self.assertEqual((503, 0), run_with_fleet(scenario))
