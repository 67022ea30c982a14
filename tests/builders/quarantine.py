"""Builders of quarantines, of crashes, and of what the store keeps of them."""

import asyncio

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.crash_quarantine import (
    CrashQuarantine,
    WatchedRun,
)
from dandelioncleat.app.direct.shared_crash_records import CRASHES_TOPIC
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.standin.keyed_store import MemoryKeyedStore
from tests.builders.wallets import HostClock


def request(number, path='/safe/a', body=b'{}'):
    """Return a caller's attempt; repeats differ in their id only."""
    return DirectRequest(
        f'r-{number}', 'POST', 'api.example', path, (), body, key='k'
    )


def run_of(number, **options):
    """Return a run of a caller's attempt."""
    return WatchedRun(request(number, **options))


def target(started_at):
    """Return the entry of one start of a target."""
    return TargetEntry('i', 's', '10.0.0.1:80', 'z', 8, False, started_at)


class FakeTargets:
    """Targets of which all refuse connections, or none does."""

    def __init__(self, *, have_crashed=True):
        """Set whether the targets have crashed."""
        self.have_crashed = have_crashed
        self.probes = 0

    async def refuses_connections(self, entry):
        """Return whether the targets have crashed."""
        self.probes += 1
        return self.have_crashed


def new_quarantine(store, targets, *, host, clock=None, count=1):
    """Return the quarantine of a router.

    :param count: number of routers, of the hosts ``h0``, ``h1`` and so on
    """
    return CrashQuarantine(
        store.client(),
        targets,
        host=host,
        clock=clock or HostClock(),
        cores_by_host=lambda: {f'h{n}': 1.0 for n in range(count)},
    )


class QuarantineFleet:
    """The quarantines of some routers that share a store."""

    def __init__(self, count, targets):
        """Start the routers."""
        self.store = MemoryKeyedStore()
        self.targets = targets
        self.routers = [
            new_quarantine(self.store, targets, host=f'h{n}', count=count)
            for n in range(count)
        ]
        self._tasks = [
            asyncio.ensure_future(router.run()) for router in self.routers
        ]

    async def crash(self, times, body=b'{}'):
        """Let a request crash targets, each time at another router."""
        for number in range(times):
            router = self.routers[number % len(self.routers)]
            router.note_lost(run_of(number, body=body), target(number))
            await asyncio.sleep(1)

    def refusing(self, body=b'{}'):
        """Return how many routers refuse the request."""
        again = request(99, body=body)
        return sum(each.find(again) is not None for each in self.routers)

    async def end(self):
        """Stop the routers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def run_with_quarantines(scenario, *, have_crashed=True, count=3):
    """Run a scenario with some routers and return its result."""

    async def play():
        fleet = QuarantineFleet(count, FakeTargets(have_crashed=have_crashed))
        await asyncio.sleep(1)
        try:
            return await scenario(fleet)
        finally:
            await fleet.end()

    return run(play())


async def list_start(fleet, started_at, listed=None):
    """List one start of a target in place of the one before.

    :param listed: the target, the one of the service ``app`` by default
    """
    listed = listed or fleet.app
    await fleet.put('servers', listed.name, None)
    await fleet.wait_until(
        lambda: not fleet.router.target_count(listed.service)
    )
    # The same start again has written one more entry.
    entry = {**listed.entry(), 'born': started_at, 'sequence': 2}
    await fleet.put('servers', listed.name, entry)
    await fleet.wait_until(lambda: fleet.router.target_count(listed.service))


async def wait_for_crash(fleet, target, started_at):
    """Wait until the store has a record of the crash of one start."""
    start = f'{target.name}/{started_at}'.encode()
    async with asyncio.timeout(20):
        while not await _is_recorded(fleet, start):  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def _is_recorded(fleet, start):
    page = await fleet.store.newest(CRASHES_TOPIC)
    return any(start in record.value for record in page.records)
