"""Tests of request bodies with an encoding of their own."""

import gzip
import zlib

import testtools

from tests.builders.direct import request_head, run_with_fleet

TEXT = b'{"amount": 12}' * 50


class EncodedBodyTest(testtools.TestCase):
    """A target gets the bytes that the caller has sent.

    They were decompressed under the same Content-Encoding.
    """

    def _received(self, *bodies, encoding):
        """Return the bodies and the encodings that the target got."""

        async def scenario(fleet):
            for body in bodies:
                await fleet.call(
                    '/once/a', body=body, **{'Content-Encoding': encoding}
                )
            encodings = {
                each.headers['Content-Encoding'] for each in fleet.app.requests
            }
            return fleet.app.bodies, encodings

        return run_with_fleet(scenario)

    def test_bodies_that_are_compressed(self):
        for encoding, body in (
            ('gzip', gzip.compress(TEXT)),
            ('deflate', zlib.compress(TEXT)),
        ):
            received = self._received(body, encoding=encoding)
            self.assertEqual(([body], {encoding}), received)

    def test_bodies_that_are_not_what_they_say(self):
        received = self._received(TEXT, b'', encoding='gzip')
        self.assertEqual(([TEXT, b''], {'gzip'}), received)

    def test_body_in_chunks(self):
        body = gzip.compress(TEXT)

        async def scenario(fleet):
            head = request_head('/once/a', length=0).replace(
                b'Content-Length: 0',
                b'Content-Encoding: gzip\r\nTransfer-Encoding: chunked',
            )
            chunk = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
            await fleet.send_raw(head + chunk)
            return fleet.app.bodies

        self.assertEqual([body], run_with_fleet(scenario))
