"""Tests of answers that are no answers of HTTP, or that were cut."""

import asyncio

import testtools

from tests.builders.direct import MODEL_HEADERS, run_with_fleet
from tests.builders.raw_targets import (
    RawAnswer,
    outcome_of,
)

NO_STATUSES = (b'000 ?', b'099 ?', b'101 Switching', b'600 ?', b'999 ?')
PLAIN, STREAM = b'text/plain', b'text/event-stream'


def head(framing=b'', *, status=b'200 OK', version=b'1.1', kind=PLAIN):
    """Return the head of an answer."""
    return (
        b'HTTP/' + version + b' ' + status + b'\r\n'
        b'Request-Id: r-1\r\nServer-Stamp: s.1\r\n'
        b'Content-Type: ' + kind + b'\r\n' + framing + b'\r\n'
    )


class StatusTest(testtools.TestCase):
    """A number that is no status of HTTP reaches no caller."""

    def test_numbers_that_are_no_status(self):
        for status in NO_STATUSES:
            for framing in (b'Content-Length: 0\r\n', b''):
                for is_forwarded in (False, True):
                    answer = RawAnswer(head(framing, status=status))
                    outcome = asyncio.run(
                        outcome_of(answer, is_forwarded=is_forwarded)
                    )
                    self.assertIsNone(outcome, (status, framing, is_forwarded))

    def test_statuses(self):
        for status in (200, 204, 299, 302, 404, 418, 500, 599):
            data = head(b'Content-Length: 0\r\n', status=b'%d S' % status)
            outcome = asyncio.run(outcome_of(RawAnswer(data)))
            self.assertEqual((status, b''), outcome)

    def test_caller_gets_a_failure(self):
        async def scenario(fleet):
            statuses = []
            for number in (b'000', b'600'):
                for path, headers in (
                    ('/once/a', {}),
                    ('/single/a', MODEL_HEADERS),
                ):
                    target = fleet.llm if headers else fleet.app
                    target.answers = [_written(number)]
                    answer = await fleet.raw_answer(path, **headers)
                    statuses.append(answer.head.split()[1])
            return statuses

        self.assertEqual([b'502'] * 4, run_with_fleet(scenario))


def _written(number):
    """Return an answer with a number in place of a status."""

    async def answer(request):
        data = head(b'Content-Length: 2\r\n', status=number + b' S') + b'ok'
        request.transport.write(data)
        await asyncio.sleep(0.2)
        request.transport.close()

    return answer
