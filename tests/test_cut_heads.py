"""Tests of answers whose connection ends inside their head."""

import asyncio

import testtools

from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.core.failure import FailureError
from dandelioncleat.platform.store import PlatformStore, new_store_session
from dandelioncleat.platform.targets import HttpTargets
from dandelioncleat.ports.direct_target import TargetRequest

REQUEST = DirectRequest('r-1', 'POST', 'h', '/a', (('Request-Id', 'r-1'),), b'')
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
FRAMINGS = (b'Content-Length: 2\r\n', b'Transfer-Encoding: chunked\r\n', b'')


def head(framing):
    """Return the head of an answer, up to its empty line."""
    return (
        b'HTTP/1.1 200 OK\r\n'
        b'Request-Id: r-1\r\n'
        b'Server-Stamp: s.1\r\n'
        b'Content-Type: text/event-stream\r\n' + framing + b'\r\n'
    )


class _CutServer:
    """Answers each connection with some bytes, then closes it."""

    def __init__(self):
        self.answer = b''
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = self._server.sockets[0].getsockname()
        return self, f'{ip}:{port}'

    async def __aexit__(self, *_error):
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.answer)
        writer.close()


class CutHeadTest(testtools.TestCase):
    """No part of a head is taken for an answer.

    The library keeps what it has of a head when the connection ends.
    """

    def _passed_on(self, send, *, start=b''):
        """Return the number of cut heads that were passed on as answers."""

        async def scenario():
            passed_on = 0
            async with _CutServer() as (server, address):
                for framing in FRAMINGS:
                    whole = start + head(framing)
                    for end in range(1, len(whole)):
                        server.answer = whole[:end]
                        passed_on += await send(address)
            return passed_on

        return asyncio.run(scenario())

    def test_whole_head_of_a_target(self):
        async def scenario():
            async with _CutServer() as (server, address):
                server.answer = head(FRAMINGS[0])
                return await _send_to_target(address)

        self.assertTrue(asyncio.run(scenario()))

    def test_head_of_a_target(self):
        self.assertEqual(0, self._passed_on(_send_to_target))

    def test_head_of_a_target_after_an_interim_answer(self):
        self.assertEqual(0, self._passed_on(_send_to_target, start=INTERIM))

    def test_head_of_another_router(self):
        self.assertEqual(0, self._passed_on(_forward))

    def test_head_of_the_store(self):
        self.assertEqual(0, self._passed_on(_call_store))


async def _send_to_target(address):
    target = TargetEntry('i', 's', address, 'z', 8, False, 1)
    order = TargetRequest(
        request=REQUEST,
        target=target,
        organisation=None,
        remaining_s=5,
        urgency=None,
        resume_after=None,
        is_fresh=False,
    )
    targets = HttpTargets()
    return await _is_answered(targets, targets.send(order))


async def _forward(address):
    targets = HttpTargets()
    answer = targets.forward(REQUEST, address, remaining_s=5)
    return await _is_answered(targets, answer)


async def _is_answered(targets, answering):
    try:
        async with answering:
            return True
    except FailureError:
        return False
    finally:
        await targets.close()


async def _call_store(address):
    session = new_store_session(connect_timeout_s=1)
    try:
        await PlatformStore(session, address).read('t', start=0, wait_s=0)
    except FailureError:
        return False
    else:
        return True
    finally:
        await session.close()
