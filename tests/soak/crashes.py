"""Requests that crash the targets that run them, asked for again and again."""

import asyncio
import itertools
from collections import defaultdict
from enum import StrEnum
from typing import NamedTuple

import client

# The path of a request that crashes its targets begins so.
CRASHING_PATH = '/read/crash-'
CRASHING_PATHS = (CRASHING_PATH, '/post/crash-')
# A part of a prompt that crashes its targets is named so.
CRASHING_PART = 'bad'
CRASHING_REQUESTS = 8
# What reaches targets later than the contact time after the third crash counts.
COUNTED_CRASHES = 3
# For a part of prompts, after the fifth.
COUNTED_PART_CRASHES = 5
ALLOWED_SENDS = 3
CALLER_LIMIT_S = 0.6
CALLER_PAUSE_S = 0.15

_numbers = itertools.count(1)


class Remainder(StrEnum):
    """What is at the address of a target that has crashed."""

    NOTHING = 'nothing'
    CLOSES = 'closes'
    """Something that accepts connections and closes them."""
    MUTE = 'mute'
    """Something that accepts connections and says nothing."""


class Crash(NamedTuple):
    """What a target's crash leaves, and when it is back, in seconds."""

    remainder: Remainder
    absence_s: float


QUICK_CRASHES = (
    Crash(Remainder.NOTHING, 0),
    Crash(Remainder.NOTHING, 0.02),
    Crash(Remainder.NOTHING, 0.05),
)
SLOW_CRASHES = (
    Crash(Remainder.NOTHING, 0.3),
    Crash(Remainder.NOTHING, 1.5),
    Crash(Remainder.CLOSES, 1.5),
    Crash(Remainder.CLOSES, 3),
    Crash(Remainder.MUTE, 1.5),
)


class Arrival(NamedTuple):
    """A crashing request that reached a target, at a monotonic time.

    The target crashed under it after ``delay_s``, if it has.
    """

    at: float
    path: str
    has_crashed: bool
    delay_s: float = 0


class Remnant:
    """Listens at the address of a crashed target."""

    def __init__(self, remainder, address):
        """Initialise; nothing listens yet."""
        self._remainder = remainder
        self._address = address
        self._server = None
        self._writers = []

    async def start(self):
        """Listen, if anything remains."""
        if self._remainder is Remainder.NOTHING:
            return
        ip, port = self._address.split(':')
        self._server = await asyncio.start_server(self._accept, ip, int(port))

    def close(self):
        """Close the socket and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(self, _reader, writer):
        if self._remainder is Remainder.CLOSES:
            writer.close()
        else:
            self._writers.append(writer)


async def ask_again(soak, source):
    """Send the requests that crash targets to any router, again and again."""
    async with asyncio.TaskGroup() as group:
        for number in range(CRASHING_REQUESTS):
            group.create_task(
                _ask(soak, source, f'{CRASHING_PATH}{number}', soak.key)
            )


async def _ask(soak, source, path, key):
    while True:
        await asyncio.sleep(source.expovariate(1 / CALLER_PAUSE_S))
        router = source.choice(soak.routers)
        await client.send(
            soak.record,
            router.front,
            path,
            key,
            method='GET',
            body=b'',
            limit_s=CALLER_LIMIT_S,
            name=next_name(),
        )


def next_name():
    """Return the id of the next crashing request."""
    return f'crash-{next(_numbers)}'


def crashing_name(request):
    """Return what in a request crashes its target, ``None`` if nothing does."""
    if request.path.startswith(CRASHING_PATHS):
        return request.path
    parts = request.headers.get('Prompt-Prefix', '').split(',')
    names = (part.rpartition(':')[0] for part in parts)
    return next((x for x in names if x.startswith(CRASHING_PART)), None)


def late_sends(arrivals, *, contact_s):
    """Return how often each request reached targets that had to be refused.

    :param arrivals: what reached targets, in any order
    :param contact_s: time from the last counted crash, in seconds
    """
    by_path = defaultdict(list)
    for arrival in sorted(arrivals):
        by_path[arrival.path].append(arrival)
    return {
        path: _late_sends(own, contact_s, _counted_crashes(path))
        for path, own in by_path.items()
    }


def _counted_crashes(name):
    if name.startswith(CRASHING_PART):
        return COUNTED_PART_CRASHES
    return COUNTED_CRASHES


def crash_times(arrivals):
    """Return when targets crashed under some arrivals, in order."""
    return sorted(
        each.at + each.delay_s for each in arrivals if each.has_crashed
    )


def _late_sends(arrivals, contact_s, counted):
    crashes = crash_times(arrivals)
    if len(crashes) < counted:
        return 0
    bound = crashes[counted - 1] + contact_s
    return sum(each.at > bound for each in arrivals)
