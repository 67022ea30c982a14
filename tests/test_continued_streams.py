"""Tests of what may follow in a stream that broke off."""

import testtools

from tests.builders.direct import (
    MODEL_HEADERS,
    event_bytes,
    events,
    run_with_fleet,
    text_answer,
    typed_answer,
)

TEXT = 'no stream'


class _Case(testtools.TestCase):
    """Lets a stream break off after three events."""

    def answer_after(self, *followers, first=None):
        """Return the caller's answer, and how many requests targets got.

        :param followers: what the targets answer next, in order
        :param first: the answer that breaks off
        """
        first = first or events(0, 2, cut=True)
        answers = [first, *followers]

        async def scenario(fleet):
            await fleet.list_second_engine()
            fleet.llm.answers = fleet.llm2.answers = answers
            answer = await fleet.raw_answer('/stream/a', **MODEL_HEADERS)
            sent = len(fleet.llm.requests) + len(fleet.llm2.requests)
            return answer, sent

        return run_with_fleet(scenario)


class AnswerInsideStreamTest(_Case):
    """An answer that is no stream never reaches a caller inside one."""

    def _check(self, follower):
        answer, _ = self.answer_after(follower)
        self.assertIn(b'id: 2', answer.body)
        self.assertNotIn(TEXT.encode(), answer.body)
        self.assertNotIn(b'HTTP/1.1', answer.body)
        self.assertFalse(answer.looks_complete, answer)

    def test_text_of_an_error_inside_a_stream(self):
        for status in (400, 404, 409, 410, 429, 500, 503):
            self._check(text_answer(TEXT, status))

    def test_plain_success_inside_a_stream(self):
        self._check(text_answer(TEXT))

    def test_answer_without_a_body_inside_a_stream(self):
        self._check(text_answer('', 204))

    def test_error_of_the_type_of_a_stream_inside_a_stream(self):
        for status in (404, 429):
            headers = {'Content-Type': 'text/event-stream'}
            text = f'data: {TEXT}\n\n'
            self._check(typed_answer(text, status, **headers))

    def test_stream_after_an_error_of_the_type_of_a_stream(self):
        answer, sent = self.answer_after(
            events(3, 5), first=events(0, 2, cut=True, status=404)
        )
        self.assertEqual(1, sent)
        self.assertNotIn(b'id: 3', answer.body)
        self.assertFalse(answer.looks_complete, answer)

    def test_stream_that_continues_is_whole(self):
        answer, _ = self.answer_after(events(3, 5))
        self.assertIn(b'id: 5', answer.body)
        self.assertTrue(answer.looks_complete, answer)


class RepeatedEventsTest(_Case):
    """A stream that starts again is not joined to what was sent."""

    def test_resumed_stream_that_starts_again(self):
        for first in (0, 1, 2):
            answer, _ = self.answer_after(events(first, 5))
            self.assertEqual(1, answer.body.count(b'id: 2\n'), first)
            self.assertFalse(answer.looks_complete, answer)

    def test_stream_that_its_caller_resumes_and_that_starts_again(self):
        async def scenario(fleet):
            fleet.llm.answers = [events(0, 2)]
            await fleet.call('/stream/a', **MODEL_HEADERS)
            fleet.llm.answers = [events(0, 5)] * 2
            return await fleet.raw_answer(
                '/stream/a',
                **MODEL_HEADERS,
                **{
                    'Request-Id': 'r-2',
                    'Resumes': 'r-1',
                    'Last-Event-Id': '2',
                },
            )

        answer = run_with_fleet(scenario)
        self.assertNotIn(event_bytes(0, 0), answer.body)
        self.assertFalse(answer.looks_complete, answer)
