"""Tests of targets that send endless answers."""

import asyncio

import testtools

from tests.builders.direct import (
    MODEL_HEADERS,
    endless,
    event_bytes,
    run_with_fleet,
)
from tests.builders.logs import captured_lines

HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: s.1\r\n'
# Large parts reach the bound in few turns of the loop.
PART = b'x' * 100_000
STREAM = HEAD + b'Content-Type: text/event-stream\r\n'


class EndlessAnswerTest(testtools.TestCase):
    """The answer is lost at once, and the target's connection is closed."""

    def _answer(self, start, part, path='/once/a', **headers):
        async def scenario(fleet):
            target = fleet.llm if headers else fleet.app
            target.answers = [endless(start, part)]
            answer = await fleet.raw_answer(path, **headers)
            async with asyncio.timeout(10):
                await target.cancelled.wait()
            return answer

        return run_with_fleet(scenario)

    def _assert_lost(self, start, part):
        answer = self._answer(start, part)
        self.assertEqual(b'502', answer.head.split()[1], answer.head)

    def test_body_that_ends_with_its_connection(self):
        self._assert_lost(HEAD + b'\r\n', PART)

    def test_body_in_chunks(self):
        head = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        self._assert_lost(head, b'186a0\r\n' + PART + b'\r\n')

    def test_status_line(self):
        self._assert_lost(b'HTTP/1.1 200 ', b'O' * 1000)

    def test_header_field(self):
        self._assert_lost(HEAD + b'X-Field: ', b'x' * 1000)

    def test_header_fields(self):
        self._assert_lost(HEAD, b'X-Field: x\r\n' * 50)

    def test_bytes_that_are_no_answer(self):
        self._assert_lost(b'', b'\x00\xff' * 500)

    def test_event_of_a_stream(self):
        with captured_lines() as lines:
            answer = self._answer(
                STREAM + b'\r\n' + event_bytes(0, 2),
                b'data: ' + PART,
                '/single/a',
                **MODEL_HEADERS,
            )
        self.assertIn(b'id: 2', answer.body)
        self.assertFalse(answer.looks_complete)
        self.assertLess(len(answer.body), 1000)
        ended = [line for line in lines if line['event'] == 'attempt ended']
        self.assertIn('exceeds', ended[0]['detail'])
