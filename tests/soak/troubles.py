"""What is done to the processes, the store and the targets of a soak.

Each trouble goes on until it is cancelled. All draws come from one seed.
"""

import asyncio
import random
import signal
from functools import partial

from tests.soak import signals, slowness, versions
from tests.soak.closing_callers import (
    close_sending_sides,
    leave,
    send_ahead,
)
from tests.soak.crashes import QUICK_CRASHES, SLOW_CRASHES, ask_again
from tests.soak.crashing_parts import PartCrash, PartEnd, crash_under_parts
from tests.soak.crowds import come_and_go
from tests.soak.late_crashes import (
    CALLERS_LEAVE,
    CALLERS_LEAVE_ONCE,
    TIME_IS_OVER,
    TIME_IS_OVER_ONCE,
    crash_later,
    crash_parts_later,
    crash_some_later,
    leave_sound,
)
from tests.soak.leavers import (
    leave_and_come_back,
    leave_targets_that_drop,
    leave_targets_that_go_on,
)
from tests.soak.links import (
    harm_store,
    harm_targets,
    slow_callers,
)
from tests.soak.machines import kill_all, share_processor, stop_gateways
from tests.soak.pauses import pause_beside_leavers, pause_without_ids
from tests.soak.standins import Mode

PLANNED_PAUSES_S = (0.2, 2)
# A planned stop does not excuse a router.
PLANNED = 'stop'
# Each raise adds this part of what was prepaid at first.
RAISE_DIVISOR = 8
FAILING_MODES = (
    Mode.ERROR,
    Mode.NOT_RUN,
    Mode.RESET,
    Mode.CUT,
    Mode.LATE,
    Mode.SOUND,
)


async def fail_in_turn(soak, source):
    """Let each target fail in another way, for some seconds each."""
    while True:
        for target in soak.targets:
            target.mode = source.choice(FAILING_MODES)
        await asyncio.sleep(source.uniform(1, 3))


async def ask_for_pauses(soak, source):
    """Let single targets ask for pauses, or fail, for some seconds each."""
    while True:
        for target in soak.targets:
            target.mode = source.choice((Mode.PAUSED, Mode.ERROR, Mode.SOUND))
        await asyncio.sleep(source.uniform(0.2, 3))


async def fail_always(soak, source):
    """Let all targets fail, in ways that routers retry."""
    while True:
        for target in soak.targets:
            target.mode = source.choice((Mode.ERROR, Mode.NOT_RUN))
        await asyncio.sleep(source.uniform(1, 3))


async def stand_still(soak, source):
    """Let targets stand still for some seconds, most at the same time."""
    while True:
        await asyncio.sleep(source.uniform(2, 6))
        chosen = source.sample(
            soak.targets, source.randint(1, len(soak.targets))
        )
        for target in chosen:
            target.mode = Mode.STILL
        await asyncio.sleep(source.uniform(1, 6))
        for target in chosen:
            target.mode = Mode.SOUND


async def reject_beside_still(soak, source):
    """Let most targets stand still at once while the others reject."""
    while True:
        chosen = set(
            source.sample(soak.targets, max(1, len(soak.targets) * 5 // 8))
        )
        for target in soak.targets:
            target.mode = Mode.STILL if target in chosen else Mode.NOT_RUN
        await asyncio.sleep(source.uniform(4, 8))
        for target in chosen:
            target.mode = Mode.NOT_RUN
        await asyncio.sleep(source.uniform(1, 6))


async def crash_quickly(soak, source):
    """Crash targets under some requests; they are back at once."""
    await _crash(soak, source, QUICK_CRASHES)


async def crash_slowly(soak, source):
    """Crash targets under some requests; something else may listen there."""
    await _crash(soak, source, SLOW_CRASHES)


async def _crash(soak, source, crashes):
    crash = source.choice(crashes)
    for target in soak.targets:
        target.crash = crash
    await ask_again(soak, source)


async def kill_routers(soak, source):
    """Kill all routers but one, and start them again at once."""
    while True:
        await asyncio.sleep(source.uniform(1.5, 5))
        chosen = source.sample(soak.routers, max(1, len(soak.routers) - 1))
        with soak.disrupted(chosen, 'kill'):
            for router in chosen:
                router.send(signal.SIGKILL)
            for router in chosen:
                await router.child.wait()
            await start_again(chosen)


async def kill_one(soak, source):
    """Kill one router, and start it again at once."""
    while True:
        await asyncio.sleep(source.uniform(1.5, 5))
        router = source.choice(soak.routers)
        with soak.disrupted([router], 'kill'):
            await router.kill()
            await start_again([router])


async def stop_routers(soak, source):
    """Stop one router after the other as planned, and start it again."""
    while True:
        await asyncio.sleep(source.uniform(*PLANNED_PAUSES_S))
        router = source.choice(soak.routers)
        with soak.disrupted([router], PLANNED):
            await router.stop()
            await start_again([router])


async def freeze_routers(soak, source):
    """Let single routers stand still for some seconds."""
    while True:
        await asyncio.sleep(source.uniform(1, 5))
        router = source.choice(soak.routers)
        with soak.disrupted([router], 'freeze'):
            router.send(signal.SIGSTOP)
            await asyncio.sleep(source.uniform(0.5, 4))
            router.send(signal.SIGCONT)


async def silence_store(soak, source):
    """Let the store answer nothing for some seconds."""
    while True:
        await asyncio.sleep(source.uniform(4, 8))
        soak.store.fall_silent()
        soak.record('store falls silent')
        await asyncio.sleep(source.uniform(1, 5))
        soak.store.answer_again()
        soak.record('store answers again')


async def change_configuration(soak, source):
    """Write a new version about each second."""
    while True:
        await asyncio.sleep(source.uniform(0.5, 1.5))
        soak.write_configuration()


async def raise_prepaid(soak, source):
    """Write versions in which a little more is prepaid."""
    while True:
        await asyncio.sleep(source.uniform(1, 3))
        soak.prepaid += soak.plan.prepaid // RAISE_DIVISOR
        soak.write_configuration()


async def reload_routers(soak, source):
    """Let routers read their settings again."""
    while True:
        await asyncio.sleep(source.uniform(0.5, 2))
        router = source.choice(soak.routers)
        if router.child.returncode is None:
            router.send(signal.SIGHUP)


TROUBLES = {
    'fail': fail_in_turn,
    'reject': fail_always,
    'pause': ask_for_pauses,
    'pause-without-ids': pause_without_ids,
    'pause-leave': pause_beside_leavers,
    'still': stand_still,
    'reject-beside-still': reject_beside_still,
    'crash-quickly': crash_quickly,
    'crash-slowly': crash_slowly,
    'crash-left': partial(crash_later, late=CALLERS_LEAVE),
    'crash-left-once': partial(crash_later, late=CALLERS_LEAVE_ONCE),
    'crash-left-some': crash_some_later,
    'crash-left-part': crash_parts_later,
    **{
        f'part-{end.value}': partial(crash_under_parts, crash=PartCrash(end))
        for end in PartEnd
    },
    **{
        f'part-{end.value}-reset': partial(
            crash_under_parts, crash=PartCrash(end, is_reset=True)
        )
        for end in PartEnd
    },
    'parts-nothing': partial(
        crash_under_parts, crash=PartCrash(PartEnd.NOTHING, bad_parts=2)
    ),
    'parts-between': partial(
        crash_under_parts, crash=PartCrash(PartEnd.BETWEEN, bad_parts=2)
    ),
    'leave-sound': leave_sound,
    'crash-over': partial(crash_later, late=TIME_IS_OVER),
    'crash-over-once': partial(crash_later, late=TIME_IS_OVER_ONCE),
    'leave-dropping': leave_targets_that_drop,
    'leave-and-come-back': leave_and_come_back,
    'leave-going-on': leave_targets_that_go_on,
    'kill': kill_routers,
    'kill-one': kill_one,
    'stop': stop_routers,
    'freeze': freeze_routers,
    'silence': silence_store,
    'configuration': change_configuration,
    'raise-prepaid': raise_prepaid,
    'reload': reload_routers,
    'signals': signals.stop_repeatedly,
    'signals-to-all': signals.stop_all_repeatedly,
    'signals-at-start': signals.stop_at_start,
    'half-close': close_sending_sides,
    'ahead': send_ahead,
    'leave': leave,
    'crowds': come_and_go,
    'processor': share_processor,
    'kill-all': kill_all,
    'gateways': stop_gateways,
    'links-targets': harm_targets,
    'links-store': harm_store,
    'links-callers': slow_callers,
    'slow': slowness.be_slow,
    'versions': versions.take_away,
}


async def start_again(routers):
    """Start routers whose processes have ended, and wait for them."""
    for router in routers:
        await router.start()
    for router in routers:
        await router.ready()


def source_of(seed, name):
    """Return the random numbers of one trouble."""
    return random.Random(f'{seed}/{name}')
