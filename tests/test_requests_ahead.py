"""Tests of requests that are sent before the answer to the one ahead."""

import asyncio

import testtools

from tests.builders.direct import (
    close_delimited,
    configuration,
    event_bytes,
    request_head,
    run_with_fleet,
    text_answer,
)
from tests.builders.raw_answers import read_answer, read_answers

NAMES = ('r-1', 'r-2', 'r-3')
# Time for which the request ahead runs, in seconds.
WAIT_S = 0.6
LONG_BODY = b'{' + b' ' * 1000 + b'}'


def request(name, *, body=b'{}', wait_ms=4000):
    """Return a whole request as it is sent."""
    head = request_head('/safe/a', length=len(body))
    head = head.replace(b'r-1', name.encode())
    return head.replace(b'4000', str(wait_ms).encode()) + body


def answered_after(event, answer):
    """Return an answer that waits for an event."""

    async def wait(received):
        await event.wait()
        return await answer(received)

    return wait


class EndOfConnectionTest(testtools.TestCase):
    """A connection ends after the requests that were read."""

    def test_request_is_dropped_behind_an_answer_in_a_planned_stop(self):
        async def scenario(fleet):
            goes_on = [asyncio.Event() for _ in NAMES]
            fleet.app.answers = [
                answered_after(event, text_answer('paid')) for event in goes_on
            ]
            reader, writer = await fleet.connect()
            writer.write(b''.join(request(name) for name in NAMES))
            await fleet.wait_until(lambda: fleet.app.requests)
            stop = asyncio.create_task(fleet.router.stop(limit_s=4))
            await asyncio.sleep(0)
            # The others are taken after the stop has begun.
            for event in goes_on:
                event.set()
            answers = await read_answers(reader)
            await stop
            writer.close()
            return [each.status for each in answers]

        statuses = run_with_fleet(scenario)
        self.assertEqual(len(NAMES), len(statuses))
        self.assertEqual(set(), set(statuses) - {200, 503})

    def test_answer_without_a_length_gets_an_end_as_requests_wait_behind_it(
        self,
    ):
        """Its target may have broken it off; nothing may say that it is whole.

        The requests behind it are not run.
        """

        async def scenario(fleet):
            goes_on = asyncio.Event()
            fleet.app.answers = [
                answered_after(goes_on, close_delimited(event_bytes(0, 3))),
                text_answer('paid'),
            ]
            reader, writer = await fleet.connect()
            writer.write(request('r-1') + request('r-2'))
            await fleet.wait_until(lambda: fleet.app.requests)
            goes_on.set()
            async with asyncio.timeout(5):
                answer = await reader.read()
            writer.close()
            return answer, len(fleet.app.requests)

        answer, arrivals = run_with_fleet(scenario)
        head, _, body = answer.partition(b'\r\n\r\n')
        self.assertNotIn(b'transfer-encoding', head.lower())
        self.assertNotIn(b'content-length', head.lower())
        self.assertEqual((event_bytes(0, 3), 1), (body, arrivals))

    def test_request_is_dropped_behind_a_refused_body(self):
        async def scenario(fleet):
            reader, writer = await fleet.connect()
            writer.write(request('r-1', body=LONG_BODY) + request('r-2'))
            async with asyncio.timeout(5):
                answers = [await read_answer(reader) for _ in range(2)]
            writer.close()
            return [each.status for each in answers]

        document = configuration(bodyBytes=1000)
        statuses = run_with_fleet(scenario, document=document)
        self.assertEqual([413, 200], statuses)


class TimeLimitTest(testtools.TestCase):
    """The time of a request counts from when it came, not from its turn."""

    def _sent_ahead(self, *, wait_ms):
        """Return the status of a request that waited, and its target's time."""

        async def scenario(fleet):
            goes_on = asyncio.Event()
            fleet.app.answers = [answered_after(goes_on, text_answer('ok'))]
            reader, writer = await fleet.connect()
            writer.write(request('r-1') + request('r-2', wait_ms=wait_ms))
            loop = asyncio.get_running_loop()
            loop.call_later(WAIT_S, goes_on.set)
            async with asyncio.timeout(5):
                answers = [await read_answer(reader) for _ in range(2)]
            writer.close()
            headers = [each.headers for each in fleet.app.requests]
            return answers[1].status, [
                int(each['Deadline-Ms']) for each in headers
            ]

        return run_with_fleet(scenario)

    def test_target_may_work_after_the_caller_has_left(self):
        status, (_, left_ms) = self._sent_ahead(wait_ms=4000)
        self.assertEqual(200, status)
        self.assertLessEqual(left_ms, 4000 - 1000 * WAIT_S)

    def test_target_runs_a_request_whose_caller_has_left(self):
        status, times_ms = self._sent_ahead(wait_ms=300)
        self.assertEqual((504, 1), (status, len(times_ms)))

    def test_pause_between_two_requests_counts(self):
        async def scenario(fleet):
            reader, writer = await fleet.connect()
            first = request('r-1')
            writer.write(first[:-1])
            await asyncio.sleep(WAIT_S)
            writer.write(first[-1:])
            await read_answer(reader)
            await asyncio.sleep(WAIT_S)
            writer.write(request('r-2'))
            await read_answer(reader)
            writer.close()
            return int(fleet.app.requests[1].headers['Deadline-Ms'])

        self.assertGreater(run_with_fleet(scenario), 4000 - 1000 * WAIT_S)
