"""Builders of storms of crashes, in virtual time and without sockets."""

import asyncio
import random
from collections import defaultdict
from typing import NamedTuple

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import (
    DirectRequest,
    ModelPrompt,
    PromptPart,
)
from dandelioncleat.ports.direct_target import TargetStatus
from dandelioncleat.standin.keyed_store import MemoryKeyedStore
from tests.builders.quarantine import new_quarantine

# A target that has crashed starts again after this time.
RESTART_S = 3.0
ATTEMPTS = 2
BAD_PART = 'bad'
# The users count what is sent later than the contact time after this crash.
COUNTED_CRASHES = 5
CONTACT_S = 3
# A target that crashes after a whole answer does so this much later.
WHOLE_LEAD_S = 0.02


class StormShape(NamedTuple):
    """The load of a storm; rates are in requests a second.

    ``first_parts`` begin all prompts, ``documents`` follow each of them.
    ``crash_share`` of the targets crash at ``crash_at`` for another cause.
    ``is_first_bad`` makes the bad part the first one of its prompts.
    ``is_silent`` lets no byte of an answer with the bad part leave its target.
    ``is_whole`` lets the whole answer leave it before it crashes.
    ``bad_parts`` are behind the same first part.
    """

    routers: int = 4
    targets: int = 9
    sound_rate: float = 30
    bad_rate: float = 3
    first_parts: int = 3
    documents: int = 12
    longest_wait_s: float = 1.0
    crash_at: tuple[float, ...] = ()
    crash_share: float = 1
    is_first_bad: bool = False
    is_silent: bool = False
    is_whole: bool = False
    bad_parts: int = 1
    duration_s: float = 20


class StormReport(NamedTuple):
    """What happened.

    ``late`` counts the sends of the worst bad part that the users' bound
    counts, ``refused`` sound requests, ``sound`` all of them.
    """

    crashes: int
    late: int
    refused: int
    sound: int


class _Start:
    """One start of a target with its open runs."""

    def __init__(self, number):
        self.entry = TargetEntry(
            f'i-{number}', 's', '10.0.0.1:80', 'z', 8, False, number
        )
        self.crashed = asyncio.Event()


class CrashStorm:
    """Plays prompts at targets that crash under one part."""

    def __init__(self, shape, seed):
        """Start routers and targets; needs a running event loop."""
        self._shape = shape
        self._source = random.Random(seed)
        self._started = 0
        self._starts = [self._new_start() for _ in range(shape.targets)]
        self._crashes_at = defaultdict(list)
        self._bad_sends_at = defaultdict(list)
        self._refused = 0
        self._sound = 0
        store = MemoryKeyedStore()
        self._routers = [
            new_quarantine(store, self, host=f'h{n}', count=shape.routers)
            for n in range(shape.routers)
        ]

    async def status(self, entry, path):
        """Return whether a start has crashed."""
        if any(start.entry == entry for start in self._starts):
            return TargetStatus.ANSWERED
        return TargetStatus.REFUSED

    async def play(self):
        """Play the storm and return what happened."""
        running = [
            asyncio.ensure_future(router.run()) for router in self._routers
        ]
        await asyncio.sleep(1)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send(self._shape.sound_rate, bad=False))
            if self._shape.bad_rate:
                group.create_task(self._send(self._shape.bad_rate, bad=True))
            for at in self._shape.crash_at:
                group.create_task(self._crash_some(at))
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        return self._report()

    def _report(self):
        late = max(map(self._late_sends, self._bad_sends_at), default=0)
        crashes = sum(map(len, self._crashes_at.values()))
        return StormReport(crashes, late, self._refused, self._sound)

    def _late_sends(self, part):
        crashes_at = self._crashes_at[part]
        if len(crashes_at) < COUNTED_CRASHES:
            return 0
        bound = crashes_at[COUNTED_CRASHES - 1] + CONTACT_S
        return sum(at > bound for at in self._bad_sends_at[part])

    def _new_start(self):
        self._started += 1
        return _Start(self._started)

    async def _send(self, rate, *, bad):
        end = _now() + self._shape.duration_s
        number = 0
        async with asyncio.TaskGroup() as group:
            while _now() < end:
                await asyncio.sleep(self._source.expovariate(rate))
                number += 1
                group.create_task(self._serve(self._request(number, bad=bad)))

    def _request(self, number, *, bad):
        source, shape = self._source, self._shape
        first = source.randrange(1 if bad else shape.first_parts)
        # Few documents get most of the prompts.
        document = int(shape.documents * source.random() ** 2)
        bad_part = f'{BAD_PART}{number % shape.bad_parts}'
        second = bad_part if bad else f'd{first}-{document}'
        own = f'{"b" if bad else "s"}{number}'
        parts = (f'f{first}', second, own)
        if bad and shape.is_first_bad:
            parts = (bad_part, f'd{first}-{document}', own)
        prompt = ModelPrompt(
            'm', 100, 50, tuple(PromptPart(each, 30) for each in parts)
        )
        return DirectRequest(
            own, 'POST', 'h', f'/{own}', (), b'', key='k', prompt=prompt
        )

    async def _serve(self, request):
        router = self._source.choice(self._routers)
        bad_part = _bad_part(request)
        is_bad = bad_part is not None
        self._sound += not is_bad
        for attempt in range(ATTEMPTS):
            if router.find(request) is not None:
                self._refused += not is_bad and not attempt
                return
            if not self._starts:
                return
            run_of = router.watch(request, is_after_loss=attempt > 0)
            start = self._source.choice(self._starts)
            if is_bad:
                self._bad_sends_at[bad_part].append(_now())
            has_begun = await self._wait(start)
            if has_begun and not start.crashed.is_set():
                if await self._answer(start, bad_part):
                    router.note_delivered(run_of, start.entry)
                    return
                has_begun = not (is_bad and self._shape.is_silent)
            router.note_lost(run_of, start.entry, has_begun=has_begun)

    async def _wait(self, start):
        """Wait for the first token; return whether it came."""
        wait_s = self._source.uniform(0.05, self._shape.longest_wait_s)
        return not await _is_set_within(start.crashed, wait_s)

    async def _answer(self, start, bad_part):
        """Return whether an answer was whole."""
        if bad_part is not None:
            await _is_set_within(start.crashed, 0.08)
            if self._shape.is_whole and not start.crashed.is_set():
                loop = asyncio.get_running_loop()
                loop.call_later(
                    WHOLE_LEAD_S, self._crash_under, start, bad_part
                )
                return True
            self._crash_under(start, bad_part)
            return False
        answer_s = self._source.uniform(0.3, 3)
        return not await _is_set_within(start.crashed, answer_s)

    def _crash_under(self, start, bad_part):
        if not start.crashed.is_set():
            self._crashes_at[bad_part].append(_now())
            self._crash(start)

    async def _crash_some(self, at):
        await asyncio.sleep(at)
        count = round(self._shape.crash_share * len(self._starts))
        for start in self._source.sample(self._starts, count):
            self._crash(start)

    def _crash(self, start):
        if start.crashed.is_set():
            return
        start.crashed.set()
        self._starts.remove(start)
        asyncio.get_running_loop().call_later(
            RESTART_S, lambda: self._starts.append(self._new_start())
        )


def _bad_part(request):
    """Return the part of a prompt that crashes targets, if there is one."""
    names = (part.id for part in request.prompt.parts)
    return next((each for each in names if each.startswith(BAD_PART)), None)


def play_storm(seed, **shape):
    """Play a storm and return what happened."""

    async def play():
        return await CrashStorm(StormShape(**shape), seed).play()

    return run(play())


async def _is_set_within(event, limit_s):
    try:
        async with asyncio.timeout(limit_s):
            await event.wait()
    except TimeoutError:
        return False
    return True


def _now():
    return asyncio.get_running_loop().time()
