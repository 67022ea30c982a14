"""Tests of answers that are no answers of HTTP, or that were cut."""

import asyncio

import testtools

from tests.builders.direct import MODEL_HEADERS, run_with_fleet
from tests.builders.raw_targets import (
    BODY,
    SHORT_BODY,
    ScriptedAnswer,
    outcome_of,
)

PART = b'y' * 300_000
# How a head says where the body ends, and the part of a body that follows.
FRAMINGS = {
    'length': (b'Content-Length: 600000\r\n', PART),
    'chunks': (
        b'Transfer-Encoding: chunked\r\n',
        b'%x\r\n%s\r\n' % (len(PART), PART),
    ),
    'none': (b'', PART),
}
NO_STATUSES = (b'000 ?', b'099 ?', b'101 Switching', b'600 ?', b'999 ?')
PLAIN, STREAM = b'text/plain', b'text/event-stream'


def head(framing=b'', *, status=b'200 OK', version=b'1.1', kind=PLAIN):
    """Return the head of an answer."""
    return (
        b'HTTP/' + version + b' ' + status + b'\r\n'
        b'Request-Id: r-1\r\nServer-Stamp: s.1\r\n'
        b'Content-Type: ' + kind + b'\r\n' + framing + b'\r\n'
    )


class CutAnswerTest(testtools.TestCase):
    """A part of an answer is never taken for the whole."""

    def _assert_cut(self, framing, *, body=SHORT_BODY, **options):
        start, part = FRAMINGS[framing]
        for is_forwarded in (False, True):
            for version, kind in (
                (b'1.1', PLAIN),
                (b'1.1', STREAM),
                (b'1.0', PLAIN),
            ):
                data = head(start, version=version, kind=kind) + part
                outcome = asyncio.run(
                    outcome_of(
                        ScriptedAnswer(data, **options),
                        body=body,
                        is_forwarded=is_forwarded,
                    )
                )
                case = (framing, is_forwarded, version, kind)
                self.assertIsNone(outcome, case)

    def test_reset_after_the_request_was_read(self):
        for framing in FRAMINGS:
            self._assert_cut(framing, is_reset=True)

    def test_reset_before_the_request_was_read(self):
        for framing in FRAMINGS:
            self._assert_cut(framing, body=BODY, is_early=True, is_reset=True)

    def test_closed_after_the_request_was_read(self):
        for framing in ('length', 'chunks'):
            self._assert_cut(framing)

    def test_closed_before_the_request_was_read(self):
        # The answer ends in order, and the reset comes with the next piece of
        # the request: without a length the part looked whole.
        for framing in FRAMINGS:
            self._assert_cut(framing, body=BODY, is_early=True)


class WholeAnswerTest(testtools.TestCase):
    """An answer that ends in order after the whole request is whole."""

    def _received(self, data, **options):
        answer = ScriptedAnswer(data, **options)
        return asyncio.run(outcome_of(answer, body=BODY))

    def test_answer_without_a_length(self):
        outcome = self._received(head() + PART)
        self.assertEqual((200, PART), outcome)

    def test_early_answer_of_a_target_that_reads_on(self):
        outcome = self._received(head() + PART, is_early=True, reads_on=True)
        self.assertEqual((200, PART), outcome)

    def test_early_answer_with_a_length(self):
        whole = head(b'Content-Length: 300000\r\n') + PART
        self.assertEqual((200, PART), self._received(whole, is_early=True))


class StatusTest(testtools.TestCase):
    """A number that is no status of HTTP reaches no caller."""

    def test_numbers_that_are_no_status(self):
        for status in NO_STATUSES:
            for framing in (b'Content-Length: 0\r\n', b''):
                for is_forwarded in (False, True):
                    answer = ScriptedAnswer(head(framing, status=status))
                    outcome = asyncio.run(
                        outcome_of(answer, is_forwarded=is_forwarded)
                    )
                    self.assertIsNone(outcome, (status, framing, is_forwarded))

    def test_statuses(self):
        for status in (200, 204, 299, 302, 404, 418, 500, 599):
            data = head(b'Content-Length: 0\r\n', status=b'%d S' % status)
            outcome = asyncio.run(outcome_of(ScriptedAnswer(data)))
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
