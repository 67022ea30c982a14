"""Tests of requests that are given up before their first output."""

import asyncio

import testtools

from dandelioncleat.adapters.abandoned_answer import READ_S
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.platform.targets import HttpTargets
from dandelioncleat.ports.answer_watch import AnswerWatch
from dandelioncleat.ports.direct_target import TargetRequest
from tests.builders.direct import MODEL_HEADERS, configuration, run_with_fleet

# The least time of a planned stop that leaves some for open requests, in s.
STOP_LIMIT_S = 1.5
HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
EVENT = b'9\r\nid: 0\n\n\r\n'
REFUSAL = b'HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n'
PAUSE = (
    b'HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nretry-after: 2.5\r\n'
    b'Request-Id: r-1\r\nContent-Length: 0\r\n\r\n'
)
REQUEST = DirectRequest(
    id='r-1',
    host='api.example',
    method='POST',
    path='/stream/a',
    headers=(),
    body=b'{}',
    wait_s=4.0,
    is_forwarded=False,
    prompt=None,
    key=None,
)


class AbandonedRunTest(testtools.TestCase):
    """What a target writes and closes tells whether its run has begun."""

    def setUp(self):
        super().setUp()
        self.notices = []

    def _abandon(self, *, before=b'', after=b'', closes=True):
        """Give a request up; return whether its run may have begun, and when.

        :param before: bytes of the answer before the request is given up
        :param after: bytes that the target writes once the sender has closed
        :param closes: whether the target then closes the connection
        """

        async def serve(reader, writer):
            await reader.readuntil(b'{}')
            writer.write(before)
            arrived.set()
            await reader.read()
            writer.write(after)
            if closes:
                writer.close()

        async def scenario():
            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            targets = HttpTargets()
            run = AnswerWatch(self.notices.append)
            call = asyncio.create_task(_send(targets, port, run))
            await arrived.wait()
            # What was written before has been read by then.
            await asyncio.sleep(0.02)
            call.cancel()
            await asyncio.wait([call])
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            async with asyncio.timeout(5):
                await run.wait()
            await targets.close()
            server.close()
            return run.may_have_begun, loop.time() - started_at

        arrived = asyncio.Event()
        return asyncio.run(scenario())

    def test_a_target_that_closes_has_dropped_the_request(self):
        for before in (b'', HEAD, HEAD[:30]):
            has_begun, passed_s = self._abandon(before=before)
            self.assertFalse(has_begun, before)
            self.assertLess(passed_s, READ_S)

    def test_output_on_its_way_shows_that_the_run_has_begun(self):
        for before in (b'', HEAD[:30], HEAD):
            rest = HEAD[len(before) :] + EVENT
            self.assertTrue(self._abandon(before=before, after=rest)[0])

    def test_output_that_nobody_took_shows_that_the_run_has_begun(self):
        self.assertTrue(self._abandon(before=HEAD + EVENT)[0])

    def test_a_refusal_on_its_way_is_no_output(self):
        self.assertFalse(self._abandon(after=REFUSAL)[0])

    def test_a_refusal_on_its_way_asks_for_its_pause(self):
        for before in (b'', PAUSE[:20], PAUSE):
            self.notices = []
            self._abandon(before=before, after=PAUSE[len(before) :])
            self.assertEqual([2.5], [each.pause_s for each in self.notices])

    def test_a_target_that_goes_on_may_have_begun(self):
        has_begun, passed_s = self._abandon(closes=False)
        self.assertTrue(has_begun)
        self.assertLess(passed_s, 0.5)


class AbandonedPromptTest(testtools.TestCase):
    """Prepaid tokens cover runs that go on without their callers."""

    def test_a_target_that_goes_on_costs_the_prompt(self):
        async def scenario(fleet):
            fleet.llm.answers = [_go_on]
            leaving = asyncio.create_task(
                fleet.begin('/stream/a', **MODEL_HEADERS)
            )
            await fleet.wait_until(lambda: fleet.llm.requests)
            leaving.cancel()
            headers = {**MODEL_HEADERS, 'Token-Count': '950,50'}
            return (await fleet.call('/stream/a', **headers))[0]

        document = configuration(prepaid=1000)
        self.assertEqual(402, run_with_fleet(scenario, document=document))


class PlannedStopTest(testtools.TestCase):
    """A request that a stop ends is answered before its use is known."""

    def test_stop_ends_without_an_answer(self):
        async def scenario(fleet):
            fleet.llm.answers = [_go_on]
            answer = asyncio.create_task(
                fleet.call('/stream/a', **MODEL_HEADERS)
            )
            await fleet.wait_until(lambda: fleet.llm.requests)
            await fleet.router.stop(limit_s=STOP_LIMIT_S)
            await fleet.router.close()
            return (await answer)[0]

        document = configuration(prepaid=1000)
        self.assertEqual(502, run_with_fleet(scenario, document=document))


class _Deaf(asyncio.Protocol):
    def eof_received(self):
        return True


async def _go_on(request):
    request.transport.set_protocol(_Deaf())
    await asyncio.Event().wait()


async def _send(targets, port, run):
    order = TargetRequest(
        request=REQUEST,
        target=TargetEntry('i', 's', f'127.0.0.1:{port}', 'z', 8, False, 1),
        organisation=None,
        remaining_s=4.0,
        urgency=None,
        resume_after=None,
        is_fresh=False,
        answer_watch=run,
    )
    async with targets.send(order):
        await asyncio.Event().wait()
