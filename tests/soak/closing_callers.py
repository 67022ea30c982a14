"""Callers that send ahead, close their sending side, or leave.

What callers that read to the end got is judged like that of all callers. What
targets do for those that have left must end soon.
"""

import asyncio
import time
from typing import NamedTuple

from client import Reply

from tests.builders.raw_answers import read_answer
from tests.soak.callers import Caller, End

WORKERS = 6
MAX_AHEAD = 3
PAUSE_S = 0.1
# Requests and streams of callers that leave would last this long, in s.
LONG_S = 3.0
LONG_TOKENS = '900,4000'
# Targets may be at work for this long after a caller has left, in s.
LEFT_SLACK_S = 0.5


class Left(NamedTuple):
    """A request whose caller left; ``at`` is a monotonic time in seconds."""

    request: str
    router: str
    at: float


class ClosingCaller(Caller):
    """Sends some requests at once on a new connection."""

    def __init__(self, soak, source, *, number):
        """Initialise for one of a soak's routers.

        :param source: random numbers
        """
        super().__init__(
            source.choice(soak.routers),
            number=number,
            key=soak.key,
            kinds=soak.kinds,
            pause_s=0,
            seed=source.random(),
        )
        self._soak = soak

    async def read_all(self, *, closes):
        """Send requests, and read their answers.

        :param closes: whether the sending side is closed before
        """
        count = self._source.randint(1, MAX_AHEAD)
        if not await self._connect():
            return
        kinds = self._source.choices(self._kinds, k=count)
        replies = [Reply(f'{self._source.getrandbits(64):016x}') for _ in kinds]
        reader, writer = self._streams
        for kind, reply in zip(kinds, replies, strict=True):
            work_s = self._source.uniform(0, kind.limit_s / 8)
            writer.write(_working(self._request(kind, reply, None), work_s))
        is_open = not closes or _ends_sending(writer)
        for kind, reply in zip(kinds, replies, strict=True):
            end, is_open = await self._read(reader, kind, reply, is_open)
            ended = self._ended(kind, reply, end, is_first=True)
            self._soak.sent_beside.append(ended)
        self._close()

    async def leave(self):
        """Send a request that lasts long, and close the connection whole."""
        if not await self._connect():
            return
        kind = self._source.choice(self._kinds)
        reply = Reply(f'{self._source.getrandbits(64):016x}')
        data = _working(self._request(kind, reply, None), LONG_S)
        if kind.tokens is not None:
            tokens = '{},{}'.format(*kind.tokens).encode()
            data = self._request(kind, reply, None)
            data = data.replace(tokens, LONG_TOKENS.encode(), 1)
        self._streams[1].write(data)
        await asyncio.sleep(self._source.uniform(0.05, 0.4))
        self._close()
        self._soak.left.append(
            Left(reply.id, self._router.name, time.monotonic())
        )

    async def _read(self, reader, kind, reply, is_open):
        """Read an answer; return how it ended, and whether more may follow."""
        if not is_open:
            return End.CUT, False
        try:
            async with asyncio.timeout(MAX_AHEAD * kind.limit_s):
                answer = await read_answer(reader)
        except TimeoutError:
            return End.OVERDUE, False
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return End.CUT, False
        if answer is None:
            return End.CUT, False
        reply.status, reply.headers, reply.body = answer[:3]
        closes = 'close' in reply.headers.get('connection', '').lower()
        return End.ANSWERED, not closes


def _ends_sending(writer):
    """Close the sending side; return whether the connection is still open.

    A router that stops resets connections that it has not accepted.
    """
    try:
        writer.write_eof()
    except OSError:
        return False
    return True


async def close_sending_sides(soak, source):
    """Let callers close their sending sides after whole requests."""
    await _go_on(soak, source, lambda caller: caller.read_all(closes=True))


async def send_ahead(soak, source):
    """Let callers send requests before the answers to others."""
    await _go_on(soak, source, lambda caller: caller.read_all(closes=False))


async def leave(soak, source):
    """Let callers close their connections while their requests run."""
    await _go_on(soak, source, lambda caller: caller.leave())


async def _go_on(soak, source, call):
    async def work(number):
        while True:
            await asyncio.sleep(source.expovariate(1 / PAUSE_S))
            await call(ClosingCaller(soak, source, number=number))

    async with asyncio.TaskGroup() as group:
        for number in range(WORKERS):
            group.create_task(work(number))


def at_work_too_long(soak):
    """Return the requests whose callers had left, and how many there are."""
    now = time.monotonic()
    ended_by_request = {
        name: at for target in soak.targets for at, name in target.ended
    }
    ran = {run.id for target in soak.targets for run in target.runs}
    left = [
        each
        for each in soak.left
        if each.request in ran and each.at + LEFT_SLACK_S < now
    ]
    late = [
        each
        for each in left
        if ended_by_request.get(each.request, now) > each.at + LEFT_SLACK_S
    ]
    return late, len(left)


def _working(data, work_s):
    """Return a request for which its target works at least so long."""
    return data.replace(b' HTTP/1.1', b'?work=%.2f HTTP/1.1' % work_s, 1)
