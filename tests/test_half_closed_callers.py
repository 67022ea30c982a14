"""Tests of callers that close their sending side after a request.

To the router that looks at first as if they had closed the connection.
"""

import asyncio
import socket
import time
from types import SimpleNamespace

import testtools
from aiohttp import web

from dandelioncleat.adapters.connection_bound import ConnectionBound
from dandelioncleat.platform.caller_presence import (
    FIRST_PAUSES_S,
    CallerPresence,
)
from dandelioncleat.platform.caller_server import new_caller_server
from dandelioncleat.platform.callers import DEFAULT_LIMITS
from tests.builders.direct import (
    MODEL_HEADERS,
    configuration,
    event_bytes,
    events,
    head_only,
    never_answered,
    request_head,
    run_with_fleet,
    text_answer,
)
from tests.builders.raw_answers import read_answer, read_answers

# Nothing may be at work any more this long after a caller has left, in s.
LEFT_LIMIT_S = 0.5
STREAM_FIELDS = ''.join(f'{k}: {v}\r\n' for k, v in MODEL_HEADERS.items())


def request(path, *, name='r-1', version='1.1', fields='', body=b'{}'):
    """Return a whole request as it is sent."""
    head = request_head(path, length=len(body))
    head = head.replace(b'r-1', name.encode())
    head = head.replace(b'HTTP/1.1', f'HTTP/{version}'.encode())
    return head[:-2] + fields.encode() + b'\r\n' + body


def answered_after(event, answer):
    """Return an answer that waits for an event."""

    async def wait(received):
        await event.wait()
        return await answer(received)

    return wait


async def half_closed(fleet, data):
    """Send bytes and close the sending side; return the streams."""
    reader, writer = await fleet.connect()
    writer.write(data)
    writer.write_eof()
    return reader, writer


async def seconds_at_work(fleet, target, data, *, until):
    """Return how long a target works after its caller has left whole.

    :param until: text of the answer after which the caller leaves, in bytes
    """
    _, writer = await _begun(fleet, target, data, until=until)
    writer.close()
    left_at = time.monotonic()
    async with asyncio.timeout(5):
        await target.cancelled.wait()
    return time.monotonic() - left_at


async def _begun(fleet, target, data, *, until):
    reader, writer = await fleet.connect()
    writer.write(data)
    await fleet.wait_until(lambda: target.requests)
    if until:
        await reader.readuntil(until)
    return reader, writer


class AnsweredTest(testtools.TestCase):
    """Requests that came whole are answered, then the connection ends."""

    def _answers(self, data, *scripts, pause_s=0.3, document=None):
        """Return the answers to what a half-closed caller has sent."""

        async def scenario(fleet):
            goes_on = asyncio.Event()
            fleet.app.answers = [
                answered_after(goes_on, script) for script in scripts
            ]
            reader, writer = await half_closed(fleet, data)
            loop = asyncio.get_running_loop()
            loop.call_later(pause_s, goes_on.set)
            async with asyncio.timeout(10):
                answers = await read_answers(reader)
            writer.close()
            return answers, fleet.app.requests

        return run_with_fleet(scenario, document=document or configuration())

    def test_request_is_dropped_as_its_caller_closes_its_sending_side(self):
        for path in ('/safe/a', '/once/a'):
            answers, _ = self._answers(request(path), text_answer('paid'))
            self.assertEqual(
                [(200, b'paid')], [(each.status, each.body) for each in answers]
            )
            self.assertEqual('close', answers[0].headers['connection'])

    def test_caller_that_waits_for_long_gets_few_interim_answers(self):
        data = request('/once/a')
        answers, _ = self._answers(data, text_answer('paid'), pause_s=1.6)
        self.assertEqual(b'paid', answers[0].body)
        self.assertLess(answers[0].interims, 8)

    def test_requests_sent_ahead_are_dropped(self):
        names = ('r-1', 'r-2', 'r-3')
        data = b''.join(request('/safe/a', name=name) for name in names)
        answers, _ = self._answers(data, *map(text_answer, names))
        self.assertEqual(
            [name.encode() for name in names],
            [each.body for each in answers],
        )

    def test_request_is_run_whose_body_is_incomplete(self):
        answers, received = self._answers(request('/safe/a')[:-1])
        self.assertEqual(([], []), (answers, received))

    def test_request_behind_a_whole_one_is_run_incomplete(self):
        part = request('/safe/b', name='r-2')
        for size in (30, len(part) - 1):
            answers, received = self._answers(
                request('/safe/a') + part[:size], text_answer('whole')
            )
            self.assertEqual([b'whole'], [each.body for each in answers])
            self.assertEqual(1, len(received))

    def test_refusal_is_dropped(self):
        answers, _ = self._answers(request('/unknown/a'))
        self.assertEqual([404], [each.status for each in answers])

    def test_connection_that_waits_for_a_request_is_kept(self):
        async def scenario(fleet):
            reader, writer = await fleet.connect()
            writer.write(request('/safe/a'))
            answer = await read_answer(reader)
            writer.write_eof()
            async with asyncio.timeout(1):
                rest = await reader.read()
            writer.close()
            return answer.status, rest

        outcome = run_with_fleet(scenario)
        self.assertEqual((200, b''), outcome)

    def test_planned_stop_waits_longer_for_it(self):
        async def scenario(fleet):
            goes_on = asyncio.Event()
            fleet.app.answers = [answered_after(goes_on, text_answer('paid'))]
            reader, writer = await half_closed(fleet, request('/once/a'))
            await fleet.wait_until(lambda: fleet.app.requests)
            stop = asyncio.create_task(fleet.router.stop(limit_s=4))
            asyncio.get_running_loop().call_later(0.3, goes_on.set)
            answers = await read_answers(reader)
            answered_at = time.monotonic()
            lost = await stop
            writer.close()
            return answers[0].body, lost, time.monotonic() - answered_at

        body, lost, stop_s = run_with_fleet(scenario)
        self.assertEqual((b'paid', ''), (body, lost))
        self.assertLess(stop_s, 1)


class SlowReaderTest(testtools.TestCase):
    """Bytes that wait in the connection's buffer tell, too."""

    def _is_unproven(self, size):
        """Return whether a caller may have left beside an unsent answer.

        :param size: bytes of the answer that the kernel did not take yet
        """

        async def scenario():
            ended = asyncio.Event()
            presence = CallerPresence(
                transport=lambda: SimpleNamespace(
                    get_write_buffer_size=lambda: size
                ),
                output=lambda: None,
                on_unproven=ended.set,
            )
            presence.begin()
            try:
                async with asyncio.timeout(2 * sum(FIRST_PAUSES_S)):
                    await ended.wait()
            except TimeoutError:
                pass
            presence.stop()
            return ended.is_set()

        return asyncio.run(scenario())

    def test_answer_is_cut_that_its_caller_reads_slowly(self):
        self.assertEqual(
            (False, True), (self._is_unproven(1), self._is_unproven(0))
        )


class StreamTest(testtools.TestCase):
    """What is written to see whether a caller is there changes no stream."""

    def _stream(self, answer, pause_s):
        async def scenario(fleet):
            goes_on = asyncio.Event()
            fleet.llm.answers = [answer(goes_on)]
            data = request('/single/a', fields=STREAM_FIELDS)
            reader, writer = await half_closed(fleet, data)
            asyncio.get_running_loop().call_later(pause_s, goes_on.set)
            async with asyncio.timeout(10):
                answers = await read_answers(reader)
            writer.close()
            return [each.body for each in answers]

        return run_with_fleet(scenario)

    def test_stream_is_changed_before_its_head(self):
        bodies = self._stream(
            lambda goes_on: answered_after(goes_on, events(0, 5)), 0.6
        )
        self.assertEqual([event_bytes(0, 5)], bodies)

    def test_stream_is_changed_between_its_events(self):
        bodies = self._stream(lambda goes_on: events(0, 5, until=goes_on), 0.9)
        self.assertEqual([event_bytes(0, 5)], bodies)


class LeftTest(testtools.TestCase):
    """The run of a caller that has closed its connection ends at once."""

    def _at_work_s(self, data, *answers, target='app', until=b''):
        async def scenario(fleet):
            chosen = getattr(fleet, target)
            chosen.answers = list(answers)
            return await seconds_at_work(fleet, chosen, data, until=until)

        return run_with_fleet(scenario)

    def test_target_works_on_before_its_answer(self):
        for path in ('/safe/a', '/once/a'):
            worked_s = self._at_work_s(request(path), never_answered())
            self.assertLess(worked_s, LEFT_LIMIT_S)

    def test_target_works_on_before_the_events_of_a_stream(self):
        data = request('/single/a', fields=STREAM_FIELDS)
        worked_s = self._at_work_s(
            data, head_only(), target='llm', until=b'\r\n\r\n'
        )
        self.assertLess(worked_s, LEFT_LIMIT_S)

    def test_target_works_on_after_the_first_event_of_a_stream(self):
        data = request('/single/a', fields=STREAM_FIELDS)
        worked_s = self._at_work_s(
            data,
            events(0, 0, until=asyncio.Event()),
            target='llm',
            until=b'data: x\n\n',
        )
        self.assertLess(worked_s, LEFT_LIMIT_S)

    def test_target_works_on_for_a_caller_that_leaves_later(self):
        async def scenario(fleet):
            fleet.app.answers = [never_answered()]
            reader, writer = await half_closed(fleet, request('/safe/a'))
            for _ in range(3):
                await reader.readuntil(b'\r\n\r\n')
            writer.close()
            left_at = time.monotonic()
            async with asyncio.timeout(5):
                await fleet.app.cancelled.wait()
            return time.monotonic() - left_at

        # One pause between two probes may have passed before.
        self.assertLess(run_with_fleet(scenario), 2 * LEFT_LIMIT_S)


class OldVersionTest(testtools.TestCase):
    """Nothing can be written to a caller that does not know HTTP/1.1."""

    def _answered(self, path):
        async def scenario(fleet):
            goes_on = asyncio.Event()
            fleet.app.answers = [answered_after(goes_on, text_answer('paid'))]
            data = request(path, version='1.0')
            reader, writer = await half_closed(fleet, data)
            closed_at = time.monotonic()
            asyncio.get_running_loop().call_later(1, goes_on.set)
            async with asyncio.timeout(5):
                answer = await read_answer(reader)
            writer.close()
            return answer, time.monotonic() - closed_at

        return run_with_fleet(scenario)

    def test_idempotent_request_is_dropped_without_an_answer(self):
        answer, waited_s = self._answered('/safe/a')
        self.assertEqual((502, 0), (answer.status, answer.interims))
        self.assertLess(waited_s, LEFT_LIMIT_S)

    def test_request_that_runs_once_is_dropped_without_an_answer(self):
        answer, _ = self._answered('/once/a')
        self.assertEqual((200, b'paid'), (answer.status, answer.body))

    def test_request_behind_a_dropped_one_is_refused_unsent(self):
        async def scenario(fleet):
            goes_on = asyncio.Event()
            fleet.app.answers = [
                answered_after(goes_on, text_answer('late')),
                text_answer('paid'),
            ]
            first = request('/safe/a', version='1.0')
            first = first.replace(
                b'1.0\r\n', b'1.0\r\nConnection: keep-alive\r\n'
            )
            data = first + request('/safe/b', name='r-2')
            reader, writer = await half_closed(fleet, data)
            async with asyncio.timeout(5):
                answers = [await read_answer(reader) for _ in range(2)]
            writer.close()
            return [each.status for each in answers]

        self.assertEqual([502, 200], run_with_fleet(scenario))


class UnprobedStreamTest(testtools.TestCase):
    """Nothing can be written inside a stream that ends with its connection."""

    def test_target_works_on_for_a_caller_that_has_left(self):
        async def scenario(fleet):
            fleet.llm.answers = [_begun_without_a_length]
            return await seconds_at_work(
                fleet,
                fleet.llm,
                request('/single/a', fields=STREAM_FIELDS),
                until=b'data: x',
            )

        self.assertLess(run_with_fleet(scenario), LEFT_LIMIT_S)


async def _begun_without_a_length(received):
    name = received.headers['Request-Id']
    received.transport.write(
        b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        b'Server-Stamp: s\r\nRequest-Id: %s\r\n\r\n' % name.encode()
    )
    received.transport.write(event_bytes(0, 0))
    await asyncio.Event().wait()


class BoundTest(testtools.TestCase):
    """The bound on connections holds for those that owe an answer."""

    def test_connection_gives_way_to_another_before_its_answer(self):
        outcome = asyncio.run(_answered_beside_another())
        # The other one is closed, and none stays open.
        self.assertEqual(([200], b'', 0), outcome)


async def _answered_beside_another():
    goes_on = asyncio.Event()

    async def handle(received):
        await received.read()
        await goes_on.wait()
        return web.Response(text='ok')

    bound = ConnectionBound('callers', most=1)
    server = new_caller_server(
        SimpleNamespace(handle=handle), DEFAULT_LIMITS, bound=bound
    )
    reader, writer = await _accepted(server)
    writer.write(request('/a'))
    writer.write_eof()
    await _until(lambda: server.requests_count)
    other, other_writer = await _accepted(server)
    async with asyncio.timeout(5):
        rest = await other.read()
        goes_on.set()
        answers = await read_answers(reader)
    await _until(lambda: not len(bound))
    for each in (writer, other_writer):
        each.close()
    await server.shutdown(0)
    return [each.status for each in answers], rest, len(bound)


async def _accepted(server):
    """Return the caller's streams of a connection to a server."""
    own, other = socket.socketpair()
    loop = asyncio.get_running_loop()
    await loop.connect_accepted_socket(server, own)
    return await asyncio.open_connection(sock=other)


async def _until(condition):
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
