"""Tests of answers that end with their connection (RFC 9112, 6.3)."""

import asyncio
from types import SimpleNamespace

import msgspec
import testtools

from dandelioncleat.app.direct.admission import Admission, admit
from dandelioncleat.app.direct.forwarding import Forwarding
from dandelioncleat.app.direct.process_directory import (
    ProcessEntry,
    ProcessRole,
)
from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.core.direct_request import DirectRequest, ModelPrompt
from dandelioncleat.core.host_holdings import TokenNeed
from dandelioncleat.platform.documents import decode_deployment
from dandelioncleat.platform.targets import HttpTargets
from tests.builders.direct import (
    HOST,
    KEY,
    MODEL_HEADERS,
    RecordedReply,
    Target,
    close_delimited,
    configuration,
    event_bytes,
    events,
    run_with_fleet,
    whole_frame,
)
from tests.builders.killed_router import (
    FIRST_PARTS,
    LAST_PART,
    answer_of_router,
)
from tests.builders.logs import captured_lines
from tests.builders.programs import built_programs
from tests.builders.store_paths import FreshTopic

INSIDE_EVENT = event_bytes(0, 2) + b'id: 3\nda'


class BrokenStreamTest(testtools.TestCase):
    """A stream that ends inside an event has been broken off."""

    def _answer(self, answer, version='1.1'):
        async def scenario(fleet):
            fleet.llm.answers = [answer]
            return await fleet.raw_answer(
                '/single/a', version=version, **MODEL_HEADERS
            )

        return run_with_fleet(scenario)

    def test_stream_closed_inside_an_event_does_not_look_complete(self):
        answer = self._answer(close_delimited(INSIDE_EVENT))
        self.assertIn(b'id: 2', answer.body)
        self.assertFalse(answer.looks_complete, answer)

    def test_chunked_stream_ended_inside_an_event_does_not_look_complete(self):
        answer = self._answer(whole_frame(INSIDE_EVENT))
        self.assertIn(b'id: 2', answer.body)
        self.assertFalse(answer.looks_complete, answer)

    def test_reset_stream_does_not_look_complete(self):
        answer = self._answer(close_delimited(event_bytes(0, 2), reset=True))
        self.assertFalse(answer.looks_complete, answer)

    def test_stream_cut_between_events_is_reset_at_a_caller_without_chunks(
        self,
    ):
        answer = self._answer(events(0, 2, cut=True), version='1.0')
        self.assertFalse(answer.claims_an_end, answer.head)
        self.assertTrue(answer.was_reset, answer)

    def test_stream_closed_inside_an_event_is_resumed(self):
        async def scenario(fleet):
            await fleet.list_second_engine()
            for target in (fleet.llm, fleet.llm2):
                target.answers = [_closed_then_resumed]
            return await fleet.call('/stream/a', **MODEL_HEADERS)

        _, _, body = run_with_fleet(scenario)
        self.assertEqual(event_bytes(0, 5), body)


class KilledRouterTest(testtools.TestCase):
    """The end of a router's process is not the end of an answer.

    The kernel closes the connections of a process that is killed: a caller
    took what it had of an answer without a length for the whole.
    """

    def _answer(self, **options):
        built_programs(self)
        return asyncio.run(answer_of_router(**options))

    def test_part_of_an_answer_does_not_look_complete(self):
        for is_chunked, version in ((False, '1.1'), (True, '1.0')):
            answer = self._answer(
                is_chunked=is_chunked, version=version, is_killed=True
            )
            self.assertTrue(answer.body.startswith(FIRST_PARTS), answer)
            self.assertFalse(answer.claims_an_end, answer.head)
            self.assertTrue(answer.was_reset, answer)

    def test_whole_answer_ends_with_its_connection(self):
        for is_chunked, version in ((False, '1.1'), (True, '1.0')):
            answer = self._answer(
                is_chunked=is_chunked, version=version, is_killed=False
            )
            self.assertEqual(FIRST_PARTS + LAST_PART, answer.body)
            self.assertFalse(answer.was_reset, answer)


class UnknownEndTest(testtools.TestCase):
    """No hop claims that an answer is whole if its target did not."""

    def _answer(self, path, answer, **headers):
        async def scenario(fleet):
            fleet.llm.answers = [answer]
            fleet.app.answers = [answer]
            return await fleet.raw_answer(path, **headers)

        return run_with_fleet(scenario)

    def test_stream_gets_no_last_chunk(self):
        body = event_bytes(0, 2)
        answer = self._answer(
            '/single/a', close_delimited(body), **MODEL_HEADERS
        )
        self.assertFalse(answer.claims_an_end, answer.head)
        self.assertEqual(body, answer.body)

    def test_answer_of_a_call_gets_no_length(self):
        answer = self._answer('/safe/a', close_delimited(b'paid', 'text/plain'))
        self.assertFalse(answer.claims_an_end, answer.head)
        self.assertEqual(b'paid', answer.body)

    def test_chunked_stream_resumed_without_chunks_gets_no_last_chunk(self):
        async def scenario(fleet):
            await fleet.list_second_engine()
            for target in (fleet.llm, fleet.llm2):
                target.answers = [_cut_then_closed]
            return await fleet.raw_answer('/stream/a', **MODEL_HEADERS)

        answer = run_with_fleet(scenario)
        self.assertIn(b'id: 5', answer.body)
        self.assertFalse(answer.looks_complete, answer)


class ForwardedStreamTest(testtools.TestCase):
    """A router keeps what the router that served a stream claimed of it."""

    def _reply(self, answer):
        async def scenario():
            router = Target('h2', 'router')
            await router.start()
            router.answers = [answer]
            reply = RecordedReply()
            try:
                await _forward_to(router.address, reply)
            finally:
                router.close()
            return reply

        return asyncio.run(scenario())

    def test_stream_closed_inside_an_event_is_aborted(self):
        reply = self._reply(close_delimited(INSIDE_EVENT))
        self.assertEqual('aborted', reply.end)

    def test_chunked_stream_ended_inside_an_event_is_aborted(self):
        reply = self._reply(whole_frame(INSIDE_EVENT))
        self.assertEqual('aborted', reply.end)

    def test_framing_is_kept(self):
        reply = self._reply(close_delimited(event_bytes(0, 2)))
        self.assertEqual('finished', reply.end)
        self.assertTrue(reply.head.is_close_delimited)
        reply = self._reply(events(0, 2))
        self.assertEqual('finished', reply.end)
        self.assertFalse(reply.head.is_close_delimited)


async def _forward_to(address, reply):
    """Forward a request to the only router that has tokens."""
    prompt = ModelPrompt('m', 100, 50, ())
    request = DirectRequest(
        'r-1',
        'POST',
        HOST,
        '/single/a',
        (('Request-Id', 'r-1'),),
        b'{}',
        key=KEY,
        prompt=prompt,
    )
    deployment = decode_deployment(msgspec.json.encode(configuration()))
    current = deployment.unwrap()
    context = RunContext(request, admit(request, current).unwrap())
    entry = ProcessEntry(ProcessRole.ROUTER, 'h2', 'z1', address)
    targets = HttpTargets()
    forwarding = Forwarding(
        SimpleNamespace(other_routers_by_host={'h2': entry}),
        admission=Admission(SimpleNamespace(current=current), FreshTopic()),
        wallet=SimpleNamespace(hosts_with_tokens=lambda need: ['h2']),
        targets=targets,
        directory=SimpleNamespace(state=lambda target: None),
    )
    try:
        await forwarding.forward(context, TokenNeed('r-1', 'o', 150), reply)
    finally:
        await targets.close()


class LogTest(testtools.TestCase):
    """The line of a request tells how its answer was framed and ended."""

    def _line(self, answer):
        async def scenario(fleet):
            fleet.llm.answers = [answer]
            await fleet.raw_answer('/single/a', **MODEL_HEADERS)

        with captured_lines() as lines:
            run_with_fleet(scenario)
        return next(line for line in lines if line['event'] == 'request ended')

    def test_chunked_stream(self):
        line = self._line(events(0, 2))
        self.assertEqual(
            (False, 0), (line['close_delimited'], line['unfinished_bytes'])
        )

    def test_stream_closed_inside_an_event(self):
        line = self._line(close_delimited(INSIDE_EVENT))
        self.assertEqual(
            (True, 8), (line['close_delimited'], line['unfinished_bytes'])
        )


async def _closed_then_resumed(request):
    if 'Last-Event-Id' in request.headers:
        return await events(3, 5)(request)
    return await close_delimited(INSIDE_EVENT)(request)


async def _cut_then_closed(request):
    if 'Last-Event-Id' in request.headers:
        return await close_delimited(event_bytes(3, 5))(request)
    return await events(0, 2, cut=True)(request)
