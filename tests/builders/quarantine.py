"""Builders of quarantines, of crashes, and of what the store keeps of them."""

import asyncio

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.crash_quarantine import CrashQuarantine
from dandelioncleat.app.direct.lost_runs import WatchedRun
from dandelioncleat.app.direct.shared_crash_records import CRASHES_TOPIC
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.ports.direct_target import TargetStatus
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


def abandon(
    router,
    number,
    entry,
    *,
    is_leaving=False,
    prompt=None,
    watch=None,
    **options,
):
    """Let the caller of a run leave while its target goes on with it.

    :param is_leaving: whether the target's end is planned
    :param watch: tells whether the target closes the connection
    """
    given_up = request(number, **options)._replace(prompt=prompt)
    run_now = router.watch(given_up, is_after_loss=False)
    router.note_abandoned(
        run_now, entry, leaves=lambda: is_leaving, watch=watch
    )


class FakeTargets:
    """Targets at whose addresses the same is found.

    Nothing listens at them by default.
    """

    def __init__(self, status=TargetStatus.REFUSED):
        """Set what is at the addresses of the targets."""
        self.found = status
        self.probes = 0

    async def status(self, entry, path):
        """Return what is at the target's address."""
        self.probes += 1
        return self.found


class FakeList:
    """A list in which targets may have started again."""

    def __init__(self):
        """Start without a target."""
        self.started_at_by_target = {}
        self.crashed_starts = set()

    def started_at(self, target):
        """Return the newest start of a target."""
        return self.started_at_by_target.get(target)

    def note_crash(self, start):
        """Keep that a start has crashed."""
        self.crashed_starts.add(start)

    def health_path(self, service):
        """Return where targets tell that they are healthy."""
        return '/health'


def new_quarantine(store, targets, *, host, clock=None, count=1, listed=None):
    """Return the quarantine of a router.

    :param count: number of routers, of the hosts ``h0``, ``h1`` and so on
    """
    return CrashQuarantine(
        store.client(),
        targets,
        host=host,
        clock=clock or HostClock(),
        cores_by_host=lambda: {f'h{n}': 1.0 for n in range(count)},
        listed=listed or FakeList(),
    )


class QuarantineFleet:
    """The quarantines of some routers that share a store."""

    def __init__(self, count, targets):
        """Start the routers."""
        self.store = MemoryKeyedStore()
        self.targets = targets
        self.listed = FakeList()
        self.routers = [
            new_quarantine(
                self.store,
                targets,
                host=f'h{n}',
                count=count,
                listed=self.listed,
            )
            for n in range(count)
        ]
        self._tasks = [
            asyncio.ensure_future(router.run()) for router in self.routers
        ]

    async def crash(self, times, body=b'{}', *, lives=False, **options):
        """Let a request lose answers, each time at another router.

        :param lives: whether the target goes on to write its entry
        """
        for number in range(times):
            router = self.routers[number % len(self.routers)]
            lost = run_of(number, body=body)
            router.note_lost(lost, target(number), **options)
            await asyncio.sleep(1)
            if lives:
                router.note_entry(target(number))
                await asyncio.sleep(0.1)

    async def crash_and_restart(self, times, *, after_s=0.02, **options):
        """Let a request crash targets that are listed again soon."""
        for number in range(times):
            router = self.routers[number % len(self.routers)]
            router.note_lost(run_of(number), target(2 * number), **options)
            await asyncio.sleep(after_s)
            self.list_start(2 * number + 1)
            await asyncio.sleep(1)

    def list_start(self, started_at):
        """Let all routers read a later start of the target."""
        self.listed.started_at_by_target['i'] = started_at
        for each in self.routers:
            each.note_entry(target(started_at))

    async def records(self):
        """Return how many crash records the store has."""
        return len((await self.store.newest(CRASHES_TOPIC)).records)

    def refusing(self, body=b'{}'):
        """Return how many routers refuse the request."""
        again = request(99, body=body)
        return sum(each.find(again) is not None for each in self.routers)

    async def end(self):
        """Stop the routers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def run_with_quarantines(scenario, *, status=TargetStatus.REFUSED, count=3):
    """Run a scenario with some routers and return its result.

    :param status: what is at the targets' addresses after a loss
    """

    async def play():
        fleet = QuarantineFleet(count, FakeTargets(status))
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
