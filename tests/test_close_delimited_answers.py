"""Tests of answers that end with their connection (RFC 9112, 6.3)."""

import testtools
from structlog.testing import capture_logs

from tests.builders.direct import (
    MODEL_HEADERS,
    close_delimited,
    event_bytes,
    events,
    run_with_fleet,
)

INSIDE_EVENT = event_bytes(0, 2) + b'id: 3\nda'


class LogTest(testtools.TestCase):
    """The line of a request tells how its answer was framed and ended."""

    def _line(self, answer):
        async def scenario(fleet):
            fleet.llm.answers = [answer]
            await fleet.raw_answer('/single/a', **MODEL_HEADERS)

        with capture_logs() as lines:
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
