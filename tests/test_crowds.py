"""Crowds of callers that nobody controls, before a real process.

The crowds and the bounds are fixed; nothing here depends on the speed of the
machine.
"""

import asyncio

from tests.builders.crowd_case import CrowdCase
from tests.builders.programs import built_programs
from tests.soak.crowds import (
    BODY_BYTES,
    READY_PATH,
    Crowd,
    chunked,
    head,
    many_fields,
    play,
    sized,
)

ROUTE = b'/read/crowd/a'
NO_ROUTE = b'/none/a'
# All but the last byte of a body of legal size.
NEARLY = BODY_BYTES - 1


class CrowdTest(CrowdCase):
    """The process lives within its limits, and serves an ordinary caller."""

    def _play(self, crowd, **options):
        built_programs(self)
        folder = self.new_folder()
        verdict = asyncio.run(play(crowd, folder=folder, **options))
        self.check(crowd.place, verdict)

    def test_bodies_that_stop_just_short_of_their_end(self):
        for path in (ROUTE, NO_ROUTE):
            self._play(Crowd(60, sized(path, BODY_BYTES, NEARLY)))

    def test_bodies_in_chunks_that_stop_just_short_of_their_end(self):
        self._play(Crowd(60, chunked(ROUTE, 8192, NEARLY)))

    def test_bodies_in_tiny_chunks(self):
        self._play(Crowd(40, chunked(ROUTE, 1, 40_000), b'1\r\nx\r\n', 0.01))

    def test_bodies_and_more_after_their_end(self):
        whole = sized(ROUTE, BODY_BYTES, BODY_BYTES)
        self._play(Crowd(60, whole, b'x' * 65_536, reads=True))

    def test_bodies_far_over_the_limit(self):
        start = head(ROUTE, b'Content-Length: 999999999')
        self._play(Crowd(60, start, b'x' * 65_536))

    def test_endless_chunks(self):
        start = head(ROUTE, b'Transfer-Encoding: chunked')
        part = b'10000\r\n' + b'x' * 65_536 + b'\r\n'
        self._play(Crowd(60, start, part))

    def test_bytes_after_a_request_to_upgrade_the_connection(self):
        fields = (b'Connection: Upgrade', b'Upgrade: websocket')
        for path in (ROUTE, NO_ROUTE):
            request = head(path, *fields, b'Content-Length: 0')
            self._play(Crowd(60, request, b'x' * 65_536))

    def test_bytes_after_a_request_to_upgrade_at_the_ready_address(self):
        fields = (b'Connection: Upgrade', b'Upgrade: websocket')
        request = head(READY_PATH, *fields, method=b'GET')
        self._play(Crowd(60, request, b'x' * 65_536, place='ready'))

    def test_bodies_that_wait_for_leave_and_stop_short_of_their_end(self):
        fields = (b'Content-Length: %d' % BODY_BYTES, b'Expect: 100-continue')
        self._play(Crowd(60, head(ROUTE, *fields) + b'x' * NEARLY))

    def test_endless_trailers(self):
        start = head(ROUTE, b'Transfer-Encoding: chunked') + b'0\r\n'
        self._play(Crowd(60, start, b'a: b\r\n' * 1000))

    def test_very_many_short_fields(self):
        for is_whole in (True, False):
            request = many_fields(ROUTE, 2000, is_whole=is_whole)
            self._play(Crowd(80, request, reads=is_whole))

    def test_endless_short_fields(self):
        self._play(Crowd(80, head(ROUTE)[:-2], b'a:\r\n' * 1000))

    def test_requests_ahead_whose_answers_are_not_read(self):
        request = head(ROUTE, b'Content-Length: 0')
        self._play(Crowd(40, request * 2000, request * 200, 0.01))

    def test_callers_that_do_nothing(self):
        self._play(Crowd(500, b''))

    def test_heads_that_come_slowly(self):
        self._play(Crowd(500, head(ROUTE)[:40], b'x', 1.0))

    def test_bodies_that_come_slowly(self):
        self._play(Crowd(500, sized(ROUTE, BODY_BYTES, 65_536), b'x', 1.0))

    def test_callers_that_do_nothing_at_the_ready_address(self):
        self._play(Crowd(500, b'', place='ready'))

    def test_bodies_at_the_ready_address(self):
        request = sized(READY_PATH, BODY_BYTES, NEARLY)
        self._play(Crowd(60, request, place='ready'))

    def test_requests_ahead_at_the_ready_address(self):
        request = head(READY_PATH, method=b'GET')
        self._play(Crowd(40, request * 3000, request * 300, place='ready'))

    def test_bodies_at_the_metrics_address(self):
        request = sized(b'/metrics', BODY_BYTES, NEARLY)
        self._play(Crowd(60, request, place='metrics'))

    def test_metrics_that_are_not_read(self):
        request = head(b'/metrics', method=b'GET')
        self._play(Crowd(40, request * 200, request * 20, place='metrics'))
