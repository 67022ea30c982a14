"""Tests of targets that write an earlier answer once more."""

import asyncio

import testtools

from dandelioncleat.adapters.client_session import new_client_session
from tests.builders.direct import run_with_fleet

REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n%s'
    b'Content-Length: 4\r\n\r\nfull'
)
SUCCESS = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s.1\r\n'
    b'Content-Length: 2\r\n\r\nok'
)


class RawTarget:
    """A target on loopback that writes bytes chosen by the test.

    ``answers`` has the bytes for each request; ``%s`` stands for its id.
    """

    def __init__(self, fleet, answers):
        """Take the place of the fleet's plain target."""
        self.ids = []
        self.connections = 0
        self._fleet = fleet
        self._answers = list(answers)

    async def list(self):
        """Listen, and wait until the router knows the target alone."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = server.sockets[0].getsockname()
        entry = {**self._fleet.app.entry(), 'address': f'{ip}:{port}'}
        entry['born'] = 2
        await self._fleet.put('servers', self._fleet.app.name, None)
        router = self._fleet.router
        await self._fleet.wait_until(lambda: not router.target_count('app'))
        await self._fleet.put('servers', 'i-raw', entry)
        await self._fleet.wait_until(lambda: router.target_count('app'))
        return server

    async def _serve(self, reader, writer):
        self.connections += 1
        while head := await _read_head(reader):
            name = head.partition(b'Request-Id: ')[2].partition(b'\r')[0]
            self.ids.append(name)
            answer = self._answers.pop(0)
            writer.write(answer % name if b'%s' in answer else answer)
        writer.close()


async def _read_head(reader):
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return b''
    return head


def _play(answers, scenario):
    async def play(fleet):
        target = RawTarget(fleet, answers)
        server = await target.list()
        try:
            return await scenario(fleet, target)
        finally:
            server.close()

    return run_with_fleet(play)


class RefusalWrittenOnceMoreTest(testtools.TestCase):
    """A caller is told "not run" only for its own request."""

    def test_refusal_without_an_id_is_taken_for_the_next_request(self):
        async def scenario(fleet, target):
            await fleet.call('/safe/a')
            status, _, _ = await fleet.call('/safe/a', **{'Request-Id': 'r-2'})
            return status, target.connections

        # The second answer is the refusal of an earlier request.
        answers = [SUCCESS, REFUSAL % b'', SUCCESS]
        status, connections = _play(answers, scenario)
        self.assertEqual((502, 1), (status, connections))

    def test_refusal_without_an_id_on_a_new_connection_is_believed(self):
        async def scenario(fleet, target):
            status, _, _ = await fleet.call('/once/a')
            return status

        self.assertEqual(503, _play([REFUSAL % b''] * 3, scenario))

    def test_refusal_is_taken_for_the_same_request_that_is_sent_again(self):
        async def scenario(fleet, target):
            await fleet.call('/safe/a')
            status, _, _ = await fleet.call('/safe/a', **{'Request-Id': 'r-2'})
            return status, target.ids, target.connections

        own = REFUSAL % b'Request-Id: r-2\r\n'
        answers = [SUCCESS, own, SUCCESS]
        status, ids, connections = _play(answers, scenario)
        self.assertEqual((200, [b'r-1', b'r-2', b'r-2']), (status, ids))
        self.assertEqual(2, connections)


class UnexpectedBytesTest(testtools.TestCase):
    """Bytes on an idle connection are no answer to the next request."""

    def _statuses(self, stray):
        """Return how two requests end, with bytes between them."""

        async def scenario():
            closed = asyncio.Event()
            writers = []

            async def serve(reader, writer):
                writers.append(writer)
                while await _read_get(reader):
                    writer.write(SUCCESS % b'r')
                closed.set()
                writer.close()

            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            url = f'http://127.0.0.1:{port}/'
            statuses = []
            async with new_client_session() as session:
                for number in range(2):
                    async with session.get(url) as response:
                        await response.read()
                        statuses.append(response.status)
                    if not number:
                        writers[0].write(stray)
                        async with asyncio.timeout(5):
                            await closed.wait()
            server.close()
            return statuses, len(writers)

        return asyncio.run(scenario())

    def test_whole_and_partial_answers_on_an_idle_connection(self):
        for stray in (REFUSAL % b'', b'HTTP/1.1 503 Ser', b'x'):
            statuses, connections = self._statuses(stray)
            self.assertEqual(([200, 200], 2), (statuses, connections))


async def _read_get(reader):
    try:
        return await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return b''
