"""Tests of the bound on open connections, and on queued log lines."""

import asyncio
import contextlib
import io
import os
import socket
import threading
from types import SimpleNamespace

import testtools
from aiohttp import web

from dandelioncleat.adapters.connection_bound import ConnectionBound
from dandelioncleat.adapters.listening import new_listener, start_server
from dandelioncleat.adapters.log_writer import (
    MAX_QUEUED_CHARACTERS,
    LogWriter,
)
from dandelioncleat.daemons.direct_settings import parse_direct_settings
from dandelioncleat.platform.caller_server import new_caller_server
from dandelioncleat.platform.callers import DEFAULT_LIMITS
from tests.builders.decisions import SETTINGS


class Connection:
    """A connection that waits for a request, or has one under way."""

    def __init__(
        self, *, is_waiting=True, has_unsent=False, has_requests_ahead=False
    ):
        """Initialise as open."""
        self.has_requests_ahead = has_requests_ahead
        self.is_waiting = is_waiting
        self.has_unsent = has_unsent
        self.is_open = True

    def abort(self):
        """Close it."""
        self.is_open = False


class ConnectionBoundTest(testtools.TestCase):
    """Idle connections would take the descriptors that others need."""

    def _open(self, bound, connections):
        for each in connections:
            bound.add(each)
        return [each.is_open for each in connections]

    def test_the_one_that_waits_longest_gives_way(self):
        bound = ConnectionBound('callers', most=2)
        connections = [Connection() for _ in range(3)]
        self.assertEqual([False, True, True], self._open(bound, connections))
        self.assertEqual((2, 1), (len(bound), bound.closed))

    def test_a_request_under_way_is_not_cut_off(self):
        bound = ConnectionBound('callers', most=2)
        connections = [
            Connection(is_waiting=False),
            Connection(),
            Connection(),
        ]
        self.assertEqual([True, False, True], self._open(bound, connections))

    def test_one_whose_answer_is_not_sent_yet_gives_way_after_others(self):
        bound = ConnectionBound('callers', most=2)
        connections = [Connection(has_unsent=True)]
        connections += [Connection() for _ in range(2)]
        self.assertEqual([True, False, True], self._open(bound, connections))

    def test_one_whose_answer_is_not_read_gives_way_if_it_must(self):
        bound = ConnectionBound('callers', most=2)
        connections = [Connection(has_unsent=True) for _ in range(2)]
        connections.append(Connection())
        self.assertEqual([False, True, True], self._open(bound, connections))

    def test_one_with_requests_ahead_gives_way_if_all_others_are_in_use(self):
        bound = ConnectionBound('callers', most=2)
        connections = [
            Connection(is_waiting=False),
            Connection(is_waiting=False, has_requests_ahead=True),
            Connection(),
        ]
        self.assertEqual([True, False, True], self._open(bound, connections))

    def test_a_new_one_is_closed_if_all_others_are_in_use(self):
        bound = ConnectionBound('callers', most=1)
        connections = [Connection(is_waiting=False), Connection()]
        self.assertEqual([True, False], self._open(bound, connections))

    def test_one_that_was_just_answered_waits_anew(self):
        bound = ConnectionBound('callers', most=2)
        first, second, third = (Connection() for _ in range(3))
        bound.add(first)
        bound.add(second)
        bound.note_answered(first)
        bound.add(third)
        self.assertEqual([True, False], [first.is_open, second.is_open])

    def test_a_closed_one_is_forgotten(self):
        bound = ConnectionBound('callers', most=1)
        first = Connection()
        bound.add(first)
        bound.remove(first)
        bound.note_answered(first)
        self.assertEqual([True], self._open(bound, [Connection()]))


class WaitingConnection(asyncio.Protocol):
    """A connection that never sends a request."""

    is_waiting = True
    has_unsent = False

    def __init__(self, bound):
        """Initialise with the bound on open connections."""
        self._bound = bound

    def connection_made(self, transport):
        """Take its place among the open connections."""
        self._transport = transport
        self._bound.add(self)

    def abort(self):
        """Close it at once."""
        self._transport.abort()

    def connection_lost(self, exc):
        """Give up its place."""
        self._bound.remove(self)


class AcceptingTest(testtools.TestCase):
    """Connections that came together were all accepted at once."""

    CROWD = 400
    MOST = 10
    # A batch of 16 in each of the turns from accepting to closing.
    MOST_DESCRIPTORS = MOST + 5 * 16

    def _crowd(self, address):
        crowd = [socket.create_connection(address) for _ in range(self.CROWD)]
        for caller in crowd:
            self.addCleanup(caller.close)

    def test_connections_that_wait_together_take_few_descriptors(self):
        listener = new_listener('127.0.0.1:0')
        self._crowd(listener.getsockname())
        peak = asyncio.run(self._peak_descriptors(listener))
        self.assertLessEqual(peak, self.MOST_DESCRIPTORS)

    async def _peak_descriptors(self, listener):
        """Serve the crowd; return the most descriptors that it took."""
        bound = ConnectionBound('callers', most=self.MOST)
        before = len(os.listdir('/proc/self/fd'))
        server = await start_server(lambda: WaitingConnection(bound), listener)
        peak = 0
        while bound.closed < self.CROWD - self.MOST:
            await asyncio.sleep(0)
            peak = max(peak, len(os.listdir('/proc/self/fd')) - before)
        server.close()
        return peak


class UnreadAnswerTest(testtools.TestCase):
    """An answer waits in the process for a caller that reads late."""

    BUFFER_BYTES = 32_768
    PIECE = b'x' * 8192
    CROWD = 8

    def test_crowd_does_not_cut_off_an_answer_that_is_not_read_yet(self):
        answer = asyncio.run(self._received())
        self.assertEqual(b'0\r\n\r\n', answer[-5:])

    async def _received(self):
        """Return what a caller gets that reads after a crowd has come."""
        listener = new_listener('127.0.0.1:0')
        callers = new_caller_server(
            SimpleNamespace(handle=self._answer),
            DEFAULT_LIMITS,
            bound=ConnectionBound('callers', most=self.CROWD // 2),
        )
        server = await start_server(lambda: callers(), listener)
        address = listener.getsockname()
        self.is_answered = asyncio.Event()
        streams = [await self._call(address)]
        await self.is_answered.wait()
        for _ in range(self.CROWD):
            streams.append(await asyncio.open_connection(*address))
        answer = await self._read(streams[0][0])
        for _, writer in streams:
            writer.close()
        server.close()
        await callers.shutdown(0.1)
        return answer

    async def _answer(self, request):
        """Answer with more than the buffers of the connection hold."""
        response = web.StreamResponse()
        await response.prepare(request)
        while not request.transport.get_write_buffer_size():
            await response.write(self.PIECE)
        await response.write_eof()
        asyncio.get_running_loop().call_soon(self.is_answered.set)
        return response

    async def _call(self, address):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
        reader, writer = await asyncio.open_connection(
            sock=sock, limit=self.BUFFER_BYTES
        )
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        return reader, writer

    async def _read(self, reader):
        answer = b''
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(self.BUFFER_BYTES):
                answer += data
                if answer.endswith(b'0\r\n\r\n'):
                    break
        return answer


class SettingsTest(testtools.TestCase):
    """The bounds follow from the limits of the host."""

    def _settings(self, text=''):
        return parse_direct_settings(text.encode() + SETTINGS)

    def test_connections_of_callers_leave_descriptors_and_memory(self):
        for text, most in (
            ('max_fds = 1640\nmemory_mb = 552', 720),
            ('max_fds = 8192\nmemory_mb = 136', 544),
        ):
            settings = self._settings(text).unwrap()
            self.assertEqual(most, settings.caller_connections)

    def test_cores_that_a_narrow_link_cannot_feed_do_not_count(self):
        for text, cores in (
            ('cores = 0.5\nlink_mbps = 6', 0.2),
            ('cores = 0.7\nprocessors = 3\nlink_mbps = 200', 2.1),
            ('cores = 0.8', 0.8),
        ):
            settings = self._settings(text).unwrap()
            self.assertAlmostEqual(cores, settings.usable_cores)

    def test_limits_that_a_host_cannot_have_are_refused(self):
        for text in ('max_fds = 200', 'link_mbps = 0', 'processors = -1'):
            self.assertIn(text.split()[0], self._settings(text).failure(), text)


class LogWriterTest(testtools.TestCase):
    """A reader that has stopped lets lines wait in memory."""

    def test_long_lines_are_dropped_before_they_fill_the_memory(self):
        stopped = threading.Event()

        class StoppedStream(io.StringIO):
            def write(self, text):
                stopped.wait()
                return len(text)

        writer = LogWriter(StoppedStream())
        line = 'x' * 100_000
        for _ in range(100):
            writer.write(line)
        kept = 100 - writer.dropped
        stopped.set()
        writer.close(limit_s=5)
        # The thread may have taken one batch.
        self.assertTrue(0 < kept * 100_000 <= 2 * MAX_QUEUED_CHARACTERS)
