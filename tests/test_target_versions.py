"""Tests of streams while targets of several software versions serve."""

import testtools
from structlog.testing import capture_logs

from tests.builders.direct import MODEL_HEADERS, events, run_with_fleet


class LogTest(testtools.TestCase):
    """Lines tell a target's version and which stream an attempt resumes."""

    def test_placement_of_a_resumed_stream(self):
        async def scenario(fleet):
            fleet.llm.answers = [events(0, 2), events(3, 5)]
            await fleet.call('/stream/a', **MODEL_HEADERS)
            resuming = {'Request-Id': 'r-2', 'Resumes': 'r-1'}
            resuming['Last-Event-Id'] = '2'
            await fleet.call('/stream/a', **MODEL_HEADERS, **resuming)

        with capture_logs() as lines:
            run_with_fleet(scenario)
        placed = [line for line in lines if line['event'] == 'request placed']
        self.assertEqual(['v1', 'v1'], [line['software'] for line in placed])
        self.assertEqual(
            [(None, None), ('2', 'r-1')],
            [
                (line['resume_after'], line['resumed_request'])
                for line in placed
            ],
        )
