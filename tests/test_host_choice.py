"""Tests of the few hosts of a large fleet that hold a budget or poll."""

import asyncio
import random

import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.core.host_choice import (
    CHOSEN_HOSTS,
    SMALL_FLEET,
    HostChoice,
    chosen_hosts,
)
from tests.builders.wallets import end, new_hosts, set_fleet

FLEET = {f'h{n}': 1.0 for n in range(40)}
HOSTS = 24
BUDGETS = tuple(f'o{n}' for n in range(8))


class HostChoiceTest(testtools.TestCase):
    """All hosts choose the same few holders."""

    def test_every_host_of_a_small_fleet_is_a_holder(self):
        holders = HostChoice()
        holders.set_hosts({f'h{n}': 1.0 for n in range(SMALL_FLEET)})
        self.assertTrue(holders.includes('o', 'h0'))
        self.assertTrue(holders.includes('o', 'not listed yet'))

    def test_a_large_fleet_has_few(self):
        holders = HostChoice()
        holders.set_hosts(FLEET)
        chosen = [host for host in FLEET if holders.includes('o', host)]
        self.assertEqual(CHOSEN_HOSTS, len(chosen))

    def test_a_host_that_leaves_changes_one_holder(self):
        before = chosen_hosts('o', FLEET)
        gone = min(before)
        rest = {host: FLEET[host] for host in FLEET if host != gone}
        self.assertEqual(
            CHOSEN_HOSTS - 1, len(before & chosen_hosts('o', rest))
        )

    def test_strong_hosts_hold_more_budgets(self):
        cores_by_host = {**FLEET, **{f's{n}': 6.0 for n in range(10)}}
        chosen = [
            host
            for number in range(200)
            for host in chosen_hosts(f'o{number}', cores_by_host)
        ]
        strong = sum(host.startswith('s') for host in chosen)
        # 60 of 100 cores, drawn without replacement.
        self.assertTrue(0.4 < strong / len(chosen) < 0.65)


class LargeFleetLoadTest(testtools.TestCase):
    """Large requests come to any of many hosts."""

    def _play(self):
        """Return the outcomes; requests are forwarded where needed."""

        async def scenario():
            source = random.Random(5)
            paid = dict.fromkeys(BUDGETS, 400_000)
            hosts, _ = await new_hosts(HOSTS, paid)
            set_fleet(hosts)
            await asyncio.sleep(10)
            by_name = {host.name: host for host in hosts}
            outcomes = []
            for number in range(40):
                host = source.choice(hosts)
                budget = source.choice(BUDGETS)
                outcome = await _spend_or_forward(
                    host, by_name, budget, 17_000, f'r{number}'
                )
                outcomes.append(outcome)
            await end(hosts)
            return outcomes

        return run(scenario())

    def test_requests_are_served_where_tokens_are(self):
        outcomes = self._play()
        self.assertEqual(40, outcomes.count('reserved'))

    def _ceilings(self):
        async def scenario():
            hosts, store = await new_hosts(HOSTS, {'o': 400_000})
            set_fleet(hosts)
            await asyncio.sleep(10)
            shares = hosts[0].wallet._holdings.records.shares('o')
            await end(hosts)
            return [share for share in shares if share.ceiling]

        return run(scenario())

    def test_few_hosts_hold_parts_that_cover_large_requests(self):
        shares = self._ceilings()
        self.assertEqual(CHOSEN_HOSTS, len(shares))
        self.assertGreater(min(share.free for share in shares), 40_000)


async def _spend_or_forward(host, by_name, budget, size, request):
    """Spend at a host, or at the first that is known to have the tokens."""
    outcome = await host.spend(budget, size, request=request, limit_s=0.3)
    if outcome != 'elsewhere':
        return outcome
    for name in host.hosts_with_tokens(budget, size, request)[:2]:
        outcome = await by_name[name].spend(
            budget, size, request=request, limit_s=0.3
        )
        if outcome == 'reserved':
            return outcome
    return outcome
