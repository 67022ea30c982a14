"""Callers that keep their connections, and note how each request ended."""

import asyncio
import itertools
import random
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


class Caller:
    """Sends requests one after the other on a kept connection."""

    def __init__(self, router, *, number, key, kinds, pause_s, seed):
        """Initialise.

        :param router: the process whose address is called
        :param pause_s: mean pause between two requests, in seconds
        """
        self.sent = []
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
        end = await self._exchange(kind, reply)
        self.sent.append(
            Sent(
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
        )

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

    async def _exchange(self, kind, reply):
        reader, writer = self._streams
        try:
            async with asyncio.timeout(kind.limit_s):
                await self._write(writer, self._request(kind, reply))
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

    def _request(self, kind, reply):
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
        # A caller reads the same again and again.
        name = f'caller-{self._number}' if kind.method == 'GET' else reply.id
        lines = [f'{kind.method} {kind.prefix}{name} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in fields.items()]
        return '\r\n'.join((*lines, '', '')).encode() + body

    def _close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
