"""Peers that live but read late: callers, targets and other routers."""

import asyncio
import contextlib
import socket

import testtools

from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.core.failure import FailureError
from dandelioncleat.platform.targets import HttpTargets
from dandelioncleat.ports.direct_target import TargetRequest
from tests.builders import direct
from tests.builders.direct import KEY, listener, run_with_fleet, text_answer

# Longer than an unresponsive host is given, and shorter than a caller waits.
PAUSE_S = 3.2
LIMIT_S = 6
# More than the buffers of a connection hold.
LONG = 2_000_000
BUFFER_BYTES = 32_768
REQUEST = (
    b'POST /safe/a HTTP/1.1\r\nHost: api.example\r\n'
    b'Request-Id: r-1\r\nAuthorization: Bearer %s\r\n'
    b'Content-Length: 2\r\nConnection: close\r\n\r\n{}' % KEY.encode()
)


class CallerTest(testtools.TestCase):
    """An answer waits for its caller."""

    def test_caller_that_reads_late_gets_its_whole_answer(self):
        async def scenario(fleet):
            fleet.app.answers = [text_answer('x' * LONG)]
            reader, writer = await _connect(fleet)
            writer.write(REQUEST)
            answer = await reader.read(BUFFER_BYTES)
            await asyncio.sleep(PAUSE_S)
            with contextlib.suppress(OSError):
                while data := await reader.read(BUFFER_BYTES):
                    answer += data
            writer.close()
            return len(_body(answer))

        self.assertEqual(LONG, run_with_fleet(scenario))


class StopTest(testtools.TestCase):
    """A planned stop waits for an answer that has not left the process."""

    # More than the small buffers of the connection hold, and less than what
    # the process keeps of an answer without waiting for its caller.
    LENGTH = 150_000
    SEND_BUFFER_BYTES = 4096
    PAUSE_S = 0.5

    def test_answer_that_is_read_during_a_stop_is_whole(self):
        self.patch(direct, 'listener', self._listener)

        async def scenario(fleet):
            fleet.app.answers = [text_answer('x' * self.LENGTH)]
            reader, writer = await _connect(fleet)
            writer.write(REQUEST)
            await asyncio.sleep(self.PAUSE_S)
            stopping = asyncio.create_task(fleet.router.stop(limit_s=5))
            await asyncio.sleep(self.PAUSE_S)
            is_waiting = not stopping.done()
            answer = await reader.read()
            writer.close()
            return is_waiting, len(_body(answer)), await stopping

        self.assertEqual((True, self.LENGTH, ''), run_with_fleet(scenario))

    def _listener(self):
        sock = listener()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, self.SEND_BUFFER_BYTES
        )
        return sock


class TargetTest(testtools.TestCase):
    """A request waits for its target, or for another router."""

    def _is_answered(self, send):
        async def scenario():
            server = await asyncio.start_server(
                _read_late, '127.0.0.1', 0, limit=BUFFER_BYTES
            )
            ip, port = server.sockets[0].getsockname()
            targets = HttpTargets()
            try:
                async with send(targets, f'{ip}:{port}') as answer:
                    return answer.has_run
            except FailureError:
                return False
            finally:
                await targets.close()
                server.close()

        return asyncio.run(scenario())

    def test_target_that_reads_a_long_body_late(self):
        self.assertTrue(self._is_answered(_send_to_target))

    def test_router_that_reads_a_long_body_late(self):
        self.assertTrue(self._is_answered(_forward))


class GivenUpTest(testtools.TestCase):
    """A long body that was given up does not arrive whole any more."""

    def test_target_reads_a_request_that_was_given_up(self):
        async def scenario():
            arrived = asyncio.Event()
            ended = asyncio.Event()
            bodies = []

            async def read_late(reader, writer):
                await reader.readuntil(b'\r\n\r\n')
                arrived.set()
                await ended.wait()
                with contextlib.suppress(OSError):
                    while data := await reader.read(BUFFER_BYTES):
                        bodies.append(data)
                writer.close()
                done.set()

            done = asyncio.Event()
            server = await asyncio.start_server(
                read_late, '127.0.0.1', 0, limit=BUFFER_BYTES
            )
            ip, port = server.sockets[0].getsockname()
            targets = HttpTargets()
            sending = asyncio.create_task(
                _enter(_send_to_target(targets, f'{ip}:{port}'))
            )
            await arrived.wait()
            sending.cancel()
            await asyncio.wait([sending])
            ended.set()
            async with asyncio.timeout(LIMIT_S):
                await done.wait()
            await targets.close()
            server.close()
            return sum(map(len, bodies))

        self.assertLess(asyncio.run(scenario()), LONG)


async def _enter(sending):
    async with sending:
        """Wait for the head of the answer only."""


def _send_to_target(targets, address):
    target = TargetEntry('i', 's', address, 'z', 8, False, 1)
    order = TargetRequest(
        request=_long_request(),
        target=target,
        organisation=None,
        remaining_s=LIMIT_S,
        urgency=None,
        resume_after=None,
        is_fresh=False,
    )
    return targets.send(order)


def _forward(targets, address):
    return targets.forward(_long_request(), address, remaining_s=LIMIT_S)


def _long_request():
    headers = (('Request-Id', 'r-1'),)
    return DirectRequest('r-1', 'POST', 'h', '/a', headers, b'x' * LONG)


async def _read_late(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    await asyncio.sleep(PAUSE_S)
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        await reader.readexactly(LONG)
        writer.write(
            b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 0\r\n\r\n'
        )
    writer.close()


def _body(answer):
    return answer.partition(b'\r\n\r\n')[2]


async def _connect(fleet):
    """Open a connection to the router whose buffers hold little."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, fleet.callers_address)
    return await asyncio.open_connection(sock=sock, limit=BUFFER_BYTES)
