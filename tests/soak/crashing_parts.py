"""Prompts with a part that crashes each target that answers them.

Sound prompts share the caller, the first part and often the second one with
them. What a target has written when it ends differs from form to form.
"""

import asyncio
import time
from enum import StrEnum
from typing import NamedTuple

import client

from tests.soak.crashes import (
    COUNTED_PART_CRASHES,
    CRASHING_PART,
    Crash,
    Remainder,
    crash_times,
    next_name,
)

# The bound on sound prompts begins so many contact times after the last crash
# that is counted.
CONTACT_TIMES = 2
# So many sound prompts have to come in trouble and outside, to be compared.
MIN_COMPARED = 20
MIN_SHARE = 0.5
CALM_S = 5.0
ABSENCE_S = (1.5, 3.0)
# Time from the arrival of a prompt to the first byte of its answer.
READING_S = 0.1
FIRST_PARTS = 3
DOCUMENTS = 12
SOUND_PER_S = 40
BAD_PER_S = 3
LIMIT_S = 5.0
EVENT = b'id: 0\ndata: tttttttttttttttttttt\n\n'


class PartEnd(StrEnum):
    """What a target has written of an answer when it crashes under a part."""

    NOTHING = 'nothing'
    HEAD_PART = 'head-part'
    HEAD = 'head'
    INSIDE = 'inside'
    """A part of an event."""
    BETWEEN = 'between'
    """A whole event, without the end of the answer."""
    CLOSED = 'closed'
    """A whole event of an answer that ends with its connection."""
    WHOLE = 'whole'
    """The whole answer, of one event; it crashes a moment later."""


class PartCrash(NamedTuple):
    """How targets crash; ``bad_parts`` come behind the same first part.

    ``is_reset`` says whether the connections of a target that crashes are
    reset, which discards what their callers have not read.
    """

    end: PartEnd
    is_reset: bool = False
    bad_parts: int = 1


class SoundPrompt(NamedTuple):
    """A sound prompt that was sent at a monotonic time, in seconds."""

    id: str
    sent_at: float
    reason: str | None


class SoundShare(NamedTuple):
    """How many of the sound prompts began to run, in trouble and outside."""

    begun_beside: int
    beside: int
    begun_outside: int
    outside: int
    refused: int

    @property
    def is_broken(self):
        """Return whether sound prompts paid for what shares a part."""
        if min(self.beside, self.outside) < MIN_COMPARED:
            return False
        usual = self.begun_outside / self.outside
        return self.begun_beside / self.beside < MIN_SHARE * usual


def part_answer(request, end):
    """Return the bytes of an answer that a target writes before it ends."""
    if end is PartEnd.NOTHING:
        return b''
    name = request.headers.get('Request-Id', '')
    lines = [
        'HTTP/1.1 200 OK',
        'Content-Type: text/event-stream',
        f'Request-Id: {name}',
        f'Server-Stamp: stamp.{name}',
    ]
    if end is not PartEnd.CLOSED:
        lines.append('Transfer-Encoding: chunked')
    head = '\r\n'.join((*lines, '', '')).encode()
    match end:
        case PartEnd.HEAD_PART:
            return head[: len(head) // 2]
        case PartEnd.HEAD:
            return head
        case PartEnd.INSIDE:
            return head + _chunk(EVENT[:9])
        case PartEnd.CLOSED:
            return head + EVENT
        case PartEnd.WHOLE:
            return head + _chunk(EVENT) + b'0\r\n\r\n'
    return head + _chunk(EVENT)


def _chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


async def crash_under_parts(soak, source, crash):
    """Send sound prompts, and after a while those that crash targets."""
    for target in soak.model_targets:
        target.part_crash = crash
        target.work_s = READING_S
        target.crash = Crash(Remainder.NOTHING, source.uniform(*ABSENCE_S))
    async with asyncio.TaskGroup() as group:
        group.create_task(_send_sound(soak, source, group))
        await asyncio.sleep(CALM_S)
        for number in range(crash.bad_parts):
            part = f'{CRASHING_PART}{number}'
            group.create_task(_send_bad(soak, source, part, group))


async def _send_sound(soak, source, group):
    while True:
        await asyncio.sleep(source.expovariate(SOUND_PER_S))
        first = source.randrange(FIRST_PARTS)
        document = int(DOCUMENTS * source.random() ** 2)
        group.create_task(_send_one(soak, source, first, f'd{document}'))


async def _send_bad(soak, source, part, group):
    while True:
        await asyncio.sleep(source.expovariate(BAD_PER_S))
        group.create_task(_send_one(soak, source, 0, part))


async def _send_one(soak, source, first, second):
    name = next_name()
    sent_at = time.monotonic()
    reply = await client.send(
        soak.record,
        source.choice(soak.routers).front,
        f'/draft/{name}',
        soak.key,
        limit_s=LIMIT_S,
        headers={
            'Model': 'm',
            'Token-Count': '900,300',
            'Prompt-Prefix': f'f{first}:450,{second}:300,{name}:150',
        },
        name=name,
    )
    if first == 0 and not second.startswith(CRASHING_PART):
        reason = reply.headers.get('dandelioncleat-refusal')
        soak.sound_prompts.append(SoundPrompt(name, sent_at, reason))


def sound_share(soak, *, contact_s):
    """Return which of the sound prompts with the same first part began."""
    arrivals = [
        arrival
        for target in soak.model_targets
        for arrival in target.crashing_arrivals
    ]
    crashes = crash_times(arrivals)
    if not crashes:
        return SoundShare(0, 0, 0, 0, 0)
    counted = crashes[:COUNTED_PART_CRASHES][-1]
    bound = counted + CONTACT_TIMES * contact_s
    begun = {run.id for target in soak.model_targets for run in target.runs}
    beside = [each for each in soak.sound_prompts if each.sent_at > bound]
    calm_until = min(each.at for each in arrivals)
    outside = [each for each in soak.sound_prompts if each.sent_at < calm_until]
    return SoundShare(
        sum(each.id in begun for each in beside),
        len(beside),
        sum(each.id in begun for each in outside),
        len(outside),
        sum(each.reason == 'crashes_targets' for each in soak.sound_prompts),
    )
