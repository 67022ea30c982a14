"""Random orders of writes and ends of processes, checked at each step."""

import asyncio
import random

import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.standin.keyed_store import MemoryKeyedStore, StoreFaults
from tests.builders.wallets import COPY_AGE_S, end, new_hosts

BUDGET = 'o'
PAID = 60_000
HOSTS = 4
STEPS = 60
STEP_S = 0.1


class BudgetOrderTest(testtools.TestCase):
    """All hosts together may never use more than was paid for."""

    def test_no_order_lets_two_hosts_hold_the_same_tokens(self):
        for seed in range(15):
            self._check(seed, restores=False)

    def test_no_order_with_restores_lets_two_hosts_hold_the_same_tokens(self):
        for seed in range(1000, 1015):
            self._check(seed, restores=True)

    def _check(self, seed, *, restores):
        most, paid = run(_play(seed, restores=restores))
        self.assertLessEqual(most, paid, f'seed {seed}')


async def _play(seed, *, restores):
    """Return the most that the hosts could use, and what was paid for."""
    source = random.Random(seed)
    store = MemoryKeyedStore(random.Random(seed))
    hosts, _ = await new_hosts(HOSTS, {BUDGET: PAID}, store)
    most = 0
    for step in range(STEPS):
        host = source.choice(hosts)
        match source.randrange(9):
            case 0:
                await host.kill()
                await _start_later(host, source)
            case 1 | 2:
                faults = store.faults
                store.faults = StoreFaults(
                    late_share=source.choice((0, 0.5, 1)),
                    late_s=source.uniform(0.2, 5),
                    late_topic='ceilings',
                )
                await host.stop(limit_s=source.uniform(0.05, 1))
                store.faults = faults
                await _start_later(host, source)
                if source.random() < 0.5:
                    # Nobody writes until the late append is executed.
                    most = max(most, await _most_in(hosts, 6))
            case 3 | 4:
                # A late append is repeated first, so it comes twice.
                store.faults = StoreFaults(
                    lost_share=source.random() / 2,
                    late_share=source.random(),
                    late_s=source.uniform(0.2, 5),
                    late_topic=source.choice((None, 'ceilings', 'usage')),
                )
            case 5:
                store.faults = StoreFaults()
            case 6 if restores:
                store.restore(source.uniform(0, COPY_AGE_S - 0.5))
            case _:
                size = source.randrange(200, 12_000)
                await host.spend(BUDGET, size, request=f'{step}', limit_s=0.3)
        most = max(most, await _most_in(hosts, source.random()))
    await end(hosts)
    return most, PAID


async def _most_in(hosts, seconds):
    """Return the most that the hosts could use at any step of a time."""
    most = 0
    for _ in range(int(seconds / STEP_S) + 1):
        most = max(most, sum(each.may_use(BUDGET) for each in hosts))
        await asyncio.sleep(STEP_S)
    return most


async def _start_later(host, source):
    await asyncio.sleep(source.random())
    if source.random() < 0.3:
        host.clock.monotonic_offset = source.uniform(0, 2000)
    host.start()
