"""Callers that keep their connections, and note how each request ended."""

import asyncio
import itertools
import random
import re
import time
from enum import StrEnum
from typing import NamedTuple

from client import HOST, Reply, read_answer

_numbers = itertools.count(1)
# Some callers write a request in pieces, with pauses of this mean time.
PIECE_PAUSE_S = 0.02
PIECES = 6
# This caller of each router does not tell its time limit.
SILENT_CALLER = 4
# Time for a caller to go on after its connection could not be opened.
PAUSE_S = 0.1
# Of the streams that broke off, how many are taken up again.
RESUMED_SHARE = 0.8
OK = 200


class Kind(NamedTuple):
    """A kind of request; times are in seconds."""

    name: str
    service: str
    method: str
    prefix: str
    limit_s: float
    is_idempotent: bool = False
    tokens: tuple[int, int] | None = None


class End(StrEnum):
    """How a request ended for its caller."""

    ANSWERED = 'answered'
    CUT = 'cut'
    """The connection was closed before the answer was complete."""
    OVERDUE = 'overdue'
    """The caller left at its own time limit, without a byte."""
    BROKEN = 'broken'
    """The caller left at its own time limit, inside an answer."""
    LEFT = 'left'
    """The caller left before its time limit."""


class Sent(NamedTuple):
    """A request that a caller sent; times are monotonic, in seconds."""

    id: str
    kind: Kind
    router: str
    caller: int
    sent_at: float
    ended_at: float
    end: End
    status: int | None
    reason: str | None
    is_first: bool
    events: int


class Broken(NamedTuple):
    """A stream that broke off after some events."""

    kind: Kind
    id: str
    events: int


class Caller:
    """Sends requests one after the other on a kept connection.

    It takes up most streams that have broken off. ``disordered`` has the ids
    of those that lack a piece, or have one twice.
    """

    def __init__(self, router, *, number, key, kinds, pause_s, seed):
        """Initialise.

        :param router: the process whose address is called
        :param pause_s: mean pause between two requests, in seconds
        """
        self.sent = []
        self.disordered = []
        self._broken = None
        self._router = router
        self._number = number
        self._key = key
        self._kinds = kinds
        self._pause_s = pause_s
        self._source = random.Random(seed)
        self._streams = None
        self._is_first = True

    async def run(self, until):
        """Send requests until a moment of the monotonic clock."""
        while time.monotonic() < until:
            await asyncio.sleep(self._source.expovariate(1 / self._pause_s))
            kind = self._source.choice(self._kinds)
            await self._send(kind)
        self._close()

    async def _send(self, kind):
        if self._streams is None and not await self._connect():
            await asyncio.sleep(PAUSE_S)
            return
        reply = Reply(f'{next(_numbers):016x}')
        is_first, self._is_first = self._is_first, False
        broken, self._broken = self._broken, None
        if broken is not None and self._source.random() < RESUMED_SHARE:
            kind = broken.kind
        else:
            broken = None
        end = await self._exchange(kind, reply, broken)
        if kind.tokens is not None and reply.status == OK:
            self._note_stream(kind, reply, end, broken)
        self.sent.append(self._ended(kind, reply, end, is_first=is_first))

    def _ended(self, kind, reply, end, *, is_first):
        """Return how a request ended."""
        return Sent(
            reply.id,
            kind,
            self._router.name,
            self._number,
            reply.sent_at,
            time.monotonic(),
            end,
            reply.status,
            reply.headers.get('dandelioncleat-refusal'),
            is_first,
            reply.events,
        )

    def _note_stream(self, kind, reply, end, broken):
        first = 0 if broken is None else broken.events
        last = first + reply.events
        if not is_in_order(reply.body, range(first, last)):
            self.disordered.append(reply.id)
        if end is End.CUT and reply.events:
            self._broken = Broken(kind, reply.id, last)

    async def _connect(self):
        try:
            async with asyncio.timeout(1):
                self._streams = await asyncio.open_connection(
                    *self._router.front
                )
        except (OSError, TimeoutError):
            return False
        self._is_first = True
        return True

    async def _exchange(self, kind, reply, broken):
        reader, writer = self._streams
        try:
            async with asyncio.timeout(kind.limit_s):
                await self._write(writer, self._request(kind, reply, broken))
                reply.sent_at = time.monotonic()
                await read_answer(reader, reply)
        except TimeoutError:
            self._close()
            return End.OVERDUE if reply.status is None else End.BROKEN
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self._close()
            return End.CUT
        if 'close' in reply.headers.get('connection', '').lower():
            self._close()
        return End.ANSWERED

    async def _write(self, writer, data):
        """Write a request; every second caller does it in pieces."""
        size = len(data)
        if self._number % 2:
            size = -(-size // PIECES)
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(self._source.expovariate(1 / PIECE_PAUSE_S))
            writer.write(data[start : start + size])

    def _request(self, kind, reply, broken):
        body = b'{}' * 50 if kind.method == 'POST' else b''
        fields = {
            'Host': HOST,
            'Request-Id': reply.id,
            'Authorization': f'Bearer {self._key}',
            'Content-Length': str(len(body)),
        }
        if self._number != SILENT_CALLER:
            fields['Deadline-Ms'] = str(int(kind.limit_s * 1000))
        if kind.tokens is not None:
            prompt, output = kind.tokens
            fields['Model'] = 'm'
            fields['Token-Count'] = f'{prompt},{output}'
            fields['Prompt-Prefix'] = (
                f'aa:{prompt // 2},{reply.id}:{prompt // 2}'
            )
        if broken is not None:
            fields['Last-Event-Id'] = str(broken.events - 1)
            fields['Resumes'] = broken.id
        # A caller reads the same again and again.
        name = f'caller-{self._number}' if kind.method == 'GET' else reply.id
        lines = [f'{kind.method} {kind.prefix}{name} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in fields.items()]
        return '\r\n'.join((*lines, '', '')).encode() + body

    def _close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def is_in_order(body, numbers):
    """Return whether the events of a stream have these numbers."""
    found = re.findall(rb'^id: (\d+)$', body, re.MULTILINE)
    return found[: len(numbers)] == [b'%d' % number for number in numbers]
