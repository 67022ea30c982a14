"""Plays a soak: starts the programs, traffic and troubles, and judges."""

import asyncio
import contextlib
import time
from collections import Counter
from typing import NamedTuple

import client
import fleet as fleets

from tests.builders.retry_judge import RetryLimit, repeats_of, worst_window
from tests.soak.callers import Caller, End, Kind
from tests.soak.closing_callers import at_work_too_long
from tests.soak.crashes import ALLOWED_SENDS, late_sends
from tests.soak.crashing_parts import SoundShare, sound_share
from tests.soak.limits import (
    Used,
    handed_too_much_time,
    ran_too_often,
    sent_in_pauses,
    tokens_used,
)
from tests.soak.links import Links
from tests.soak.machines import limit_each_start
from tests.soak.stalls import Stall, StallWatch
from tests.soak.standins import FaultyTarget, SilentStore
from tests.soak.troubles import PLANNED, TROUBLES, source_of

# The routers' shares of the retry budget count from a window after their start.
SETTLE_S = 12.0
# A router is bound by time limits again this long after a disruption, in s.
CONTACT_S = 3.0
# A process may close a connection on which a request is under way, in s.
LOSS_SLACK_S = 0.2
KEY = 'key'
MODEL, APP = 'dues-llm', 'billing-app'
KINDS = (
    Kind('post', APP, 'POST', '/post/', 0.6),
    Kind('read', APP, 'GET', '/read/', 0.6, is_idempotent=True),
    Kind('draft', MODEL, 'POST', '/draft/', 6.0, True, (900, 60)),
)
LIMIT = RetryLimit(0.2, 52, 10)


class Plan(NamedTuple):
    """What is played; ``rate`` is in requests a second, of all callers."""

    seed: int
    troubles: tuple[str, ...]
    routers: int = 4
    gateways: int = 2
    targets: int = 4
    length_s: float = 40.0
    rate: float = 60.0
    callers: int = 6
    prepaid: int = 1_000_000_000
    attempts: int = 2
    limits: dict | None = None
    memory_mb: int | None = None


class Disruption(NamedTuple):
    """What was done to a router; times are monotonic, in seconds."""

    router: str
    kind: str
    began_at: float
    ended_at: float


class Verdict(NamedTuple):
    """What callers and targets saw.

    ``used_by_service`` is the part of the retry limit that was used in the
    worst window, ``lost`` has the requests that a router in touch passed on
    and whose connection it closed without an answer, ``overdue`` those that
    ended without a byte at their callers' time limit. ``stalls`` has the times
    in which the callers themselves stood still.
    """

    used_by_service: dict[str, float]
    requests: int
    ends: Counter
    reasons: Counter
    lost: list
    overdue: list
    ended_by_themselves: list[str]
    late_crashing: dict[str, int]
    limits: Used
    sound: SoundShare
    stalls: list[Stall]

    @property
    def not_refused(self):
        """Return the requests that went on to reach the targets they crash."""
        return {
            path: sends
            for path, sends in self.late_crashing.items()
            if sends > ALLOWED_SENDS
        }

    def __str__(self):
        """Return the verdict on one line."""
        used = {name: round(x, 3) for name, x in self.used_by_service.items()}
        return (
            f'used {used} of {self.requests} requests; '
            f'{dict(self.ends)}; {dict(self.reasons)}; lost {len(self.lost)}; '
            f'overdue {len(self.overdue)}; ended {self.ended_by_themselves}; '
            f'crashing not refused {self.not_refused} '
            f'of {len(self.late_crashing)}; {self.limits}; {self.sound}; '
            f'stalls {self.stalls}'
        )


class Soak:
    """The running programs, with what was done to them."""

    def __init__(self, record, plan):
        """Initialise; nothing runs yet."""
        self.plan = plan
        self.record = record
        self.fleet = fleets.Fleet(
            record,
            routers=plan.routers,
            gateways=plan.gateways,
            limits=plan.limits,
        )
        self.store = self.fleet.store = SilentStore(record)
        self.key = KEY
        self.left = []
        self.routers = self.fleet.routers
        self.targets = [
            FaultyTarget(
                self.fleet,
                f'{service}-{number}',
                service,
                is_model=service == MODEL,
            )
            for service in (MODEL, APP)
            for number in range(plan.targets)
        ]
        self.links = Links(self)
        self.disruptions = []
        self.sent_beside = []
        self.prepaid = plan.prepaid
        self.disordered = []
        self.sound_prompts = []
        self.stall_watch = StallWatch()
        self._version = 0

    @property
    def model_targets(self):
        """Return the targets that answer with streams."""
        return [each for each in self.targets if each.service == MODEL]

    @property
    def kinds(self):
        """Return all kinds of requests."""
        return KINDS

    @property
    def model_kinds(self):
        """Return the kinds of requests that targets of models answer."""
        return [kind for kind in KINDS if kind.service == MODEL]

    @contextlib.contextmanager
    def disrupted(self, routers, kind):
        """Note a disruption of routers, from its begin to its end."""
        began_at = time.monotonic()
        try:
            yield
        finally:
            self.disruptions.extend(
                Disruption(router.name, kind, began_at, time.monotonic())
                for router in routers
            )

    def write_configuration(self, change=None):
        """Write the next version of the configuration.

        :param change: called with its document; changes nothing by default
        """
        self._version += 1
        document = _configuration(
            self._version, prepaid=self.prepaid, attempts=self.plan.attempts
        )
        if change is not None:
            change(document)
        self.store.put('op', 'config', document)


def _configuration(version, *, prepaid, attempts):
    routes = [
        client.route(
            kind.prefix,
            _route_type(kind),
            kind.service,
            timeoutMs=int(kind.limit_s * 1000),
            sloMs=int(kind.limit_s * 200),
            resumable=kind.tokens is not None,
            maxAttempts=attempts,
        )
        for kind in KINDS
    ]
    # A version that is changed leaves the others as they are.
    services = [dict(client.MODEL_SERVICE), dict(client.APP_SERVICE)]
    return client.configuration(
        version,
        services=services,
        routes=routes,
        tenants=[{'name': 't', 'apiKeys': [KEY], 'prepaid': prepaid}],
    )


def _route_type(kind):
    if kind.tokens is not None:
        return 'streaming'
    return 'idempotent' if kind.is_idempotent else 'non_idempotent'


async def play(record, plan):
    """Play a plan; return the verdict."""
    soak = Soak(record, plan)
    await soak.store.start()
    soak.write_configuration()
    try:
        for target in soak.targets:
            await target.start()
        if any(name.startswith('links') for name in plan.troubles):
            await soak.links.lay()
        for process in soak.fleet.processes:
            limit_each_start(process, plan)
            await process.start()
        for router in soak.routers:
            await router.ready()
        await asyncio.sleep(SETTLE_S)
        async with soak.stall_watch:
            return _judge(soak, await _play_traffic(soak))
    finally:
        await soak.fleet.close()
        soak.links.close()
        for target in soak.targets:
            await target.close()


async def _play_traffic(soak):
    plan = soak.plan
    pause_s = plan.routers * plan.callers / plan.rate
    callers = [
        Caller(
            router,
            number=number,
            key=KEY,
            kinds=KINDS,
            pause_s=pause_s,
            seed=f'{plan.seed}/{router.name}/{number}',
        )
        for router in soak.links.fronts() or soak.routers
        for number in range(plan.callers)
    ]
    troubles = [
        asyncio.create_task(TROUBLES[name](soak, source_of(plan.seed, name)))
        for name in plan.troubles
    ]
    try:
        await run_callers(callers, plan.length_s, soak.stall_watch)
    finally:
        for trouble in troubles:
            trouble.cancel()
        for trouble in troubles:
            with contextlib.suppress(asyncio.CancelledError):
                await trouble
    soak.disordered = [name for each in callers for name in each.disordered]
    own = [sent for caller in callers for sent in caller.sent]
    return own + soak.sent_beside


async def run_callers(callers, length_s, stall_watch):
    """Let callers send for a time, and make up once for what they stood still.

    They make up for as long as that time at most.
    """
    for _ in range(2):
        stalled_s = stall_watch.stalled_s
        until = time.monotonic() + length_s
        await asyncio.gather(*(caller.run(until) for caller in callers))
        length_s = min(length_s, stall_watch.stalled_s - stalled_s)
        if not length_s:
            return


def _judge(soak, sent):
    arrived = {name for each in soak.targets for _, name in each.arrivals}
    own = {each.id for each in sent}
    broken = soak.links.broken().union(
        *(target.broken_off for target in soak.targets)
    )
    ends = [
        process.name
        for process in soak.fleet.processes
        if process.child.returncode not in (None, 0, -9)
    ]
    return Verdict(
        {
            service: _used(soak, service, sent, own).used
            for service in (MODEL, APP)
        },
        len(sent),
        Counter(each.end.value for each in sent),
        Counter(
            f'{each.status} {each.reason}'
            for each in sent
            if each.status != 200
        ),
        [
            each
            for each in sent
            if each.end is End.CUT
            and each.id not in broken
            and (each.id in arrived or _is_late(each))
            and _is_in_touch(soak, each)
        ],
        [
            each
            for each in sent
            if each.end is End.OVERDUE and _is_in_touch(soak, each)
        ],
        ends,
        late_sends(
            [
                arrival
                for target in soak.targets
                for arrival in target.crashing_arrivals
            ],
            contact_s=CONTACT_S,
        ),
        _used_limits(soak, sent),
        sound_share(soak, contact_s=CONTACT_S),
        soak.stall_watch.stalls,
    )


def _used_limits(soak, sent):
    """Return how far the other limits were used."""
    sent_by_request = {each.id: each for each in sent}
    in_touch = {each.id: each for each in sent if _is_in_touch(soak, each)}
    receipts = [each for target in soak.targets for each in target.receipts]
    pauses = [each for target in soak.targets for each in target.pauses]
    runs = [
        (run.id, target.name, run.events)
        for target in soak.targets
        for run in target.runs
    ]
    late, left = at_work_too_long(soak)
    prompt_tokens = KINDS[-1].tokens[0]
    too_late, repeats = handed_too_much_time(receipts, in_touch)

    def is_excused(router, began_at, ended_at):
        return any(
            each.router == router
            and each.began_at < ended_at
            and began_at < each.ended_at
            for each in soak.disruptions
        )

    broken_pauses = sent_in_pauses(
        receipts, pauses, sent_by_request, is_excused=is_excused
    )
    for pause in broken_pauses:
        soak.record('pause not kept', **pause._asdict())
    return Used(
        targets=len(
            ran_too_often(
                (run[:2] for run in runs if run[0] in sent_by_request),
                soak.plan.attempts,
            )
        ),
        time=len(too_late),
        repeats=len(repeats),
        pauses=len(broken_pauses),
        order=len(soak.disordered),
        at_work=len(late),
        left=left,
        prepaid=round(
            tokens_used(
                ((run[0], run[2]) for run in runs),
                set().union(*(target.begun for target in soak.targets)),
                prompt_tokens,
            )
            / soak.prepaid,
            3,
        ),
    )


def _used(soak, service, sent, own):
    arrivals = [
        arrival
        for target in soak.targets
        if target.service == service
        for arrival in target.arrivals
        if arrival[1] in own
    ]
    times = [each.sent_at for each in sent if each.kind.service == service]
    return worst_window(repeats_of(arrivals), times, LIMIT)


def _is_late(sent):
    """Return whether a process has had the time to read a whole request."""
    return sent.ended_at - sent.sent_at > LOSS_SLACK_S


def _is_in_touch(soak, sent):
    """Return whether a router ran without a kill or freeze around a request."""
    return not any(
        each.router == sent.router
        and each.kind != PLANNED
        and each.began_at < sent.ended_at
        and sent.sent_at < each.ended_at + CONTACT_S
        for each in soak.disruptions
    )
