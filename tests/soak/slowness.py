"""Targets that work for long, and are silent inside of their streams."""

import asyncio
from functools import partial

from aiohttp import web

# Work of a target on a request, in seconds.
WORK_S = (0.05, 0.45)
EVENTS = 8
EVENT_PAUSE_S = 0.1
# A target says nothing for this time inside some of its streams, in seconds.
SILENCE_S = (0.5, 3.0)
SILENT_SHARE = 0.3


async def be_slow(soak, source):
    """Let all targets answer slowly."""
    answer_slowly(soak.targets, source)
    await asyncio.Event().wait()


def answer_slowly(targets, source):
    """Let targets answer after some work, some streams with a silence."""
    for target in targets:
        target.answer = partial(_answer, target, source)


async def _answer(target, source, request, run):
    await asyncio.sleep(source.uniform(*WORK_S))
    if 'Token-Count' not in request.headers:
        run.is_complete = True
        return target._respond(request, 200, b'x' * 800)
    return await _stream(target, source, request, run)


async def _stream(target, source, request, run):
    """Write a stream that is silent for a while at one of its events."""
    first = int(request.headers.get('Last-Event-Id', -1)) + 1
    silent_at = source.randrange(EVENTS)
    silence_s = 0
    if source.random() < SILENT_SHARE:
        silence_s = source.uniform(*SILENCE_S)
    response = web.StreamResponse(
        headers=target._headers(request, {'Content-Type': 'text/event-stream'})
    )
    await response.prepare(request)
    for number in range(first, EVENTS):
        if number == silent_at:
            await asyncio.sleep(silence_s)
        await response.write(b'id: %d\ndata: event\n\n' % number)
        run.events += 1
        await asyncio.sleep(EVENT_PAUSE_S)
    await response.write_eof()
    run.is_complete = True
    return response
