"""Builders of routers whose targets fail at once, in virtual time."""

import asyncio
import random
from types import SimpleNamespace
from typing import NamedTuple

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.retry_budget import RetryBudget
from dandelioncleat.core.retry_window import RetryLimits
from tests.builders.logs import captured_lines
from tests.builders.retry_judge import excess

LIMITS = RetryLimits(ratio=0.2, slack=52, window_s=10)
# A process hears of another one this long after it was listed.
LISTING_S = 0.3
STEP_S = 0.02
RETRIES_PER_REQUEST = 5


class Router(NamedTuple):
    """A process of a router on a host."""

    host: str
    budget: RetryBudget


class RetryFleet:
    """Routers that may start, be killed and leave while all targets fail.

    A killed router stays listed until the next one of its host starts.
    """

    def __init__(self, *, rate_per_s):
        """Start without routers; each gets ``rate_per_s`` requests."""
        self.requests = []
        self.retries = []
        self._rate_per_s = rate_per_s
        self._routers_by_host = {}
        self._leaving = []
        self._listed = set()

    @property
    def hosts(self):
        """Return the hosts with a router that has not begun to stop."""
        return sorted(self._routers_by_host)

    def start(self, host):
        """Start a router; it and the others list it soon."""
        router = Router(host, RetryBudget(LIMITS))
        self._routers_by_host[host] = router
        _later(self._join, router)

    def kill(self, host):
        """End a router without notice."""
        self._routers_by_host.pop(host)

    def leave(self, host, *, after_s=8):
        """Begin a planned stop; the router serves on for a while."""
        router = self._routers_by_host.pop(host)
        router.budget.leave()
        self._leaving.append(router)
        _later(self._delist, host)
        asyncio.get_running_loop().call_later(
            after_s, self._leaving.remove, router
        )

    async def play(self, duration_s, *, changes=()):
        """Send requests to all routers.

        :param changes: pairs of a time in seconds and what to do then
        """
        start = _now()
        for at, change in changes:
            asyncio.get_running_loop().call_at(start + at, change)
        while _now() < start + duration_s:
            await asyncio.sleep(STEP_S)
            for router in (*self._routers_by_host.values(), *self._leaving):
                self._serve(router)

    def excess(self):
        """Return by how much the worst window passes the fleet's limit."""
        return excess(self.retries, self.requests, LIMITS)

    def _serve(self, router):
        for _ in range(round(self._rate_per_s * STEP_S)):
            self.requests.append(_now())
            context = _request_context()
            router.budget.begin(context)
            for _ in range(RETRIES_PER_REQUEST):
                if router.budget.take(context):
                    context.retry.note_read()
                    self.retries.append(_now())

    def _join(self, router):
        if self._routers_by_host.get(router.host) is not router:
            return
        self._listed.add(router.host)
        router.budget.join()
        self._tell()

    def _delist(self, host):
        if host not in self._routers_by_host:
            self._listed.discard(host)
            self._tell()

    def _tell(self):
        for router in (*self._routers_by_host.values(), *self._leaving):
            router.budget.set_routers(len(self._listed | {router.host}))


def play_retries(scenario, *, rate_per_s=50):
    """Run a scenario with a fleet; return the excess of retries."""

    async def play():
        fleet = RetryFleet(rate_per_s=rate_per_s)
        await scenario(fleet)
        return fleet.excess(), len(fleet.retries)

    with captured_lines():
        return run(play())


async def play_random_changes(fleet, *, seed, duration_s=45):
    """Start, kill and stop routers at random moments."""
    source = random.Random(seed)
    hosts = [f'h{number}' for number in range(5)]
    for host in hosts[: source.randint(1, 4)]:
        fleet.start(host)
    at = 0.0
    changes = []
    while at < duration_s:
        at += source.expovariate(0.5)
        changes.append((at, lambda: _change(fleet, hosts, source)))
    await fleet.play(duration_s, changes=changes)


def _change(fleet, hosts, source):
    host = source.choice(hosts)
    if host not in fleet.hosts:
        fleet.start(host)
    elif source.random() < 0.5:
        fleet.kill(host)
        fleet.start(host)
    else:
        fleet.leave(host)


def _request_context():
    return SimpleNamespace(
        request=SimpleNamespace(id='r'),
        admitted=SimpleNamespace(service=SimpleNamespace(name='s')),
        is_counted=False,
        arrivals=0,
    )


def _later(action, *arguments):
    asyncio.get_running_loop().call_later(LISTING_S, action, *arguments)


def _now():
    return asyncio.get_running_loop().time()
