"""Requests that crash targets after their callers have left."""

import asyncio
from typing import NamedTuple

import client

from tests.soak.crashes import (
    CALLER_LIMIT_S,
    CRASHING_PART,
    CRASHING_REQUESTS,
    Crash,
    Remainder,
    next_name,
)

# Seldom enough that such requests rarely interrupt each other's runs.
PAUSE_S = 0.5
# A target that has crashed is back after a time within these, in seconds.
ABSENCE_S = (1.5, 2.0)


class LateCrash(NamedTuple):
    """How a request is sent, and when its target crashes; times in seconds.

    ``patience_s`` is when the caller leaves, ``delay_s`` when the target
    crashes after the request has reached it.
    """

    method: str
    path: str
    patience_s: float
    delay_s: float


CALLERS_LEAVE = LateCrash('GET', '/read/crash-', 0.1, 0.4)
CALLERS_LEAVE_ONCE = LateCrash('POST', '/post/crash-', 0.1, 0.4)
TIME_IS_OVER = LateCrash('GET', '/read/crash-', CALLER_LIMIT_S + 0.1, 1.2)
TIME_IS_OVER_ONCE = LateCrash('POST', '/post/crash-', CALLER_LIMIT_S + 0.1, 1.2)
# The answer to a sound request takes longer than its caller waits.
TOO_QUICK = LateCrash('GET', '', 0.015, 0)
SOUND_PATH = '/read/sound-'
SOUND_REQUESTS = 4


async def crash_later(soak, source, late):
    """Send requests whose targets crash later, again and again."""
    _prepare(soak, source, late.delay_s)
    async with asyncio.TaskGroup() as group:
        for number in range(CRASHING_REQUESTS):
            path = f'{late.path}{number}'
            group.create_task(_ask(soak, source, path, late))


async def crash_some_later(soak, source):
    """Do the same where every second target drops what its sender leaves."""
    for target in soak.targets[::2]:
        target.drops_abandoned = True
    await crash_later(soak, source, CALLERS_LEAVE)


async def leave_sound(soak, source):
    """Send sound requests whose callers all leave before the answer."""
    async with asyncio.TaskGroup() as group:
        for number in range(SOUND_REQUESTS):
            path = f'{SOUND_PATH}{number}'
            group.create_task(_ask(soak, source, path, TOO_QUICK))


async def crash_parts_later(soak, source):
    """Send different prompts with a part that crashes targets later."""
    _prepare(soak, source, CALLERS_LEAVE.delay_s)
    while True:
        name = next_name()
        prompt = {
            'Model': 'm',
            'Token-Count': '900,60',
            'Prompt-Prefix': f'aa:450,{CRASHING_PART}:300,{name}:150',
        }
        late = CALLERS_LEAVE._replace(method='POST')
        await _send(soak, source, f'/draft/{name}', late, **prompt)


async def _ask(soak, source, path, late):
    while True:
        await _send(soak, source, path, late)


def _prepare(soak, source, delay_s):
    for target in soak.targets:
        absence_s = source.uniform(*ABSENCE_S)
        target.crash = Crash(Remainder.NOTHING, absence_s)
        target.crash_delay_s = delay_s


async def _send(soak, source, path, late, **headers):
    await asyncio.sleep(source.expovariate(1 / PAUSE_S))
    await client.send(
        soak.record,
        source.choice(soak.routers).front,
        path,
        soak.key,
        method=late.method,
        body=b'',
        limit_s=late.patience_s,
        headers={'Deadline-Ms': str(int(CALLER_LIMIT_S * 1000)), **headers},
        name=next_name(),
    )
