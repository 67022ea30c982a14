"""Tests of prepaid tokens on hosts that share a store."""

import asyncio
import random

import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.holdings_sync import MARKS_TOPIC
from dandelioncleat.core.holding import (
    CLOCK_ERROR_S,
    Moment,
    UsageMark,
    presumed_use,
)
from dandelioncleat.core.host_holdings import TokenNeed
from dandelioncleat.standin.keyed_store import MemoryKeyedStore, StoreFaults
from tests.builders.gateways import GatewayNetwork
from tests.builders.wallets import (
    COPY_AGE_S,
    WALL_START,
    WalletHost,
    end,
    new_fleet,
    new_hosts,
    set_fleet,
)

PAID = {'o': 100_000}


async def _spend_all(hosts, size=1000, pause_s=0.02):
    """Spend in turn until every host reports that no tokens are left."""
    open_hosts = list(hosts)
    while open_hosts:
        host = open_hosts.pop(0)
        if await host.spend('o', size) not in {'exhausted', 'unproven'}:
            open_hosts.append(host)
        await asyncio.sleep(pause_s)


class SharedBudgetTest(testtools.TestCase):
    """The hosts use all that was paid, and no more."""

    def test_all_of_a_budget_can_be_used(self):
        async def scenario():
            hosts, _ = await new_hosts(3, PAID)
            await _spend_all(hosts)
            await end(hosts)
            return sum(host.spent for host in hosts)

        self.assertEqual(100_000, run(scenario()))

    def test_one_host_gets_the_tokens_that_others_hold(self):
        async def scenario():
            hosts, _ = await new_hosts(4, PAID)
            verdict = await hosts[0].spend('o', 95_000)
            await end(hosts)
            return verdict

        self.assertEqual('reserved', run(scenario()))

    def test_a_request_beyond_what_is_left_is_exhausted(self):
        async def scenario():
            hosts, _ = await new_hosts(2, PAID)
            verdict = await hosts[0].spend('o', 100_001)
            await end(hosts)
            return verdict

        self.assertEqual('exhausted', run(scenario()))

    def test_a_top_up_can_be_used(self):
        async def scenario():
            hosts, _ = await new_hosts(2, PAID)
            await _spend_all(hosts)
            for host in hosts:
                host.pay({'o': 130_000})
            await _spend_all(hosts)
            await end(hosts)
            return sum(host.spent for host in hosts)

        self.assertEqual(130_000, run(scenario()))

    def test_a_host_that_is_cut_off_does_not_report_a_budget_as_exhausted(self):
        async def scenario():
            hosts, _ = await new_hosts(2, PAID)
            await _spend_all(hosts)
            hosts[0].client.is_cut_off = True
            await asyncio.sleep(5)
            verdict = await hosts[0].spend('o', 1_000)
            await end(hosts)
            return verdict

        self.assertEqual('elsewhere', run(scenario()))

    def test_hosts_cut_off_use_what_they_hold(self):
        async def scenario():
            hosts, _ = await new_hosts(4, PAID)
            for host in hosts:
                host.client.is_cut_off = True
            first = [await host.spend('o', 1_000) for host in hosts]
            for _ in range(50):
                for host in hosts:
                    await host.spend('o', 5_000)
            await end(hosts)
            return first, sum(host.spent for host in hosts)

        first, spent = run(scenario())
        self.assertEqual(['reserved'] * 4, first)
        self.assertLessEqual(spent, 100_000)


class UnconfirmedMarkTest(testtools.TestCase):
    """No token is used before a mark of the process is in the store.

    Its successor presumes nothing used without a mark, or what the mark of an
    earlier process says, and so used the same tokens again.
    """

    def _spent(self, *, has_earlier_mark):
        async def scenario():
            store = MemoryKeyedStore()
            if has_earlier_mark:
                hosts, _ = await new_hosts(1, PAID, store)
                await hosts[0].spend('o', 1000)
                await asyncio.sleep(1)
                await hosts[0].kill()
            else:
                hosts = [WalletHost(store, 'h0', PAID)]
            hosts[0].start()
            await hosts[0].ready()
            # The partition of the marks is down, the others are not.
            store.faults = StoreFaults(
                late_share=1, late_s=9999, late_topic=MARKS_TOPIC
            )
            await asyncio.sleep(COPY_AGE_S + 2)
            for _ in range(10):
                await hosts[0].spend('o', 500)
            unconfirmed = hosts[0].spent
            await hosts[0].kill()
            store.faults = StoreFaults()
            hosts[0].start()
            await hosts[0].ready()
            await asyncio.sleep(2)
            await _spend_all(hosts)
            await end(hosts)
            return unconfirmed, hosts[0].spent

        return run(scenario())

    def test_a_new_host(self):
        self.assertEqual((0, 100_000), self._spent(has_earlier_mark=False))

    def test_a_host_that_was_restarted(self):
        unconfirmed, spent = self._spent(has_earlier_mark=True)
        self.assertEqual(1000, unconfirmed)
        self.assertLessEqual(spent, 100_000)


class GatewayTest(testtools.TestCase):
    """All hosts are cut off from the store, but the gateways are not."""

    def test_all_of_a_budget_can_be_used_behind_a_cut(self):
        async def scenario():
            store = MemoryKeyedStore()
            gateways = GatewayNetwork(store, 2)
            hosts, _ = await new_hosts(3, PAID, store, gateways)
            for host in hosts:
                host.client.is_cut_off = True
            await _spend_all(hosts)
            await end(hosts)
            return sum(host.spent for host in hosts)

        self.assertEqual(100_000, run(scenario()))

    def test_most_tokens_are_left_after_a_kill_behind_a_cut(self):
        async def scenario():
            store = MemoryKeyedStore()
            gateways = GatewayNetwork(store, 2)
            hosts, _ = await new_hosts(2, PAID, store, gateways)
            for host in hosts:
                host.client.is_cut_off = True
            for _ in range(40):
                await hosts[0].spend('o', 1000)
                await asyncio.sleep(0.1)
            for host in hosts:
                await host.kill()
            await asyncio.sleep(1)
            for host in hosts:
                host.start()
            for host in hosts:
                await host.ready()
            await _spend_all(hosts)
            await end(hosts)
            return sum(host.spent for host in hosts)

        spent = run(scenario())
        self.assertLessEqual(spent, 100_000)
        self.assertGreater(spent, 80_000)


class OutageTest(testtools.TestCase):
    """Requests were refused for which the last mark left room soon."""

    def _asked(self, grown_s):
        """Ask a holder in an outage for what it may use some seconds later."""

        async def scenario():
            hosts = await new_fleet(12, {'o': 1_000_000})
            holder = next(
                host for host in hosts if host.holders.includes('o', host.name)
            )
            for _ in range(20):
                await holder.spend('o', 500)
                await asyncio.sleep(0.25)
            holder.client.is_cut_off = True
            await asyncio.sleep(0.6)
            account = holder.wallet._holdings.accounts_by_budget['o']
            mark = account.confirmed
            room = account.headroom(holder.clock.monotonic())
            tokens = int(room + mark.allowed_rate * grown_s)
            outcome = await holder.spend('o', tokens, limit_s=0.5)
            await end(hosts)
            return outcome

        return run(scenario())

    def test_a_request_waits_for_what_the_mark_allows_soon(self):
        self.assertEqual('reserved', self._asked(0.3))

    def test_a_request_does_not_wait_for_longer_than_it_may(self):
        self.assertEqual('elsewhere', self._asked(0.8))


class FewHoldersTest(testtools.TestCase):
    """The loss of one holder must not take a whole budget away."""

    def test_holders_share_a_budget_from_the_start(self):
        # The first one to write a record took all of it.
        async def scenario():
            hosts = await new_fleet(12, PAID)
            ceilings = [
                host.wallet._holdings.accounts_by_budget['o'].ceiling
                for host in hosts
            ]
            await end(hosts)
            return sorted(ceilings, reverse=True)

        ceilings = run(scenario())
        self.assertEqual(6, sum(ceiling > 0 for ceiling in ceilings))
        self.assertLessEqual(ceilings[0], 25_000)

    def test_a_holder_that_stops_releases_tokens_before_its_requests_end(self):
        # Its open requests may go on for as long as a planned stop takes.
        async def scenario():
            hosts = await new_fleet(12, PAID)
            holder = next(
                host for host in hosts if host.holders.includes('o', host.name)
            )
            need = TokenNeed('long', 'o', 2_000)
            await holder.wallet.reserve(need, limit_s=1)
            others = [host for host in hosts if host is not holder]
            set_fleet(others)
            holder.wallet.prepare_close()
            await asyncio.sleep(3)
            left = holder.wallet._holdings.accounts_by_budget['o'].free
            await _spend_all(others)
            spent = sum(host.spent for host in others)
            await end(hosts)
            return left, spent

        left, spent = run(scenario())
        self.assertEqual(0, left)
        self.assertGreaterEqual(spent, 97_000)

    def test_a_stopping_holder_still_serves_what_waits_at_it(self):
        async def scenario():
            hosts = await new_fleet(12, PAID)
            holder = next(
                host for host in hosts if host.holders.includes('o', host.name)
            )
            holder.wallet.prepare_close()
            outcome = await holder.spend('o', 500)
            await end(hosts)
            return outcome

        self.assertEqual('reserved', run(scenario()))


class RestartTest(testtools.TestCase):
    """A process starts with what earlier processes may have used."""

    def _left_after(self, change):
        async def scenario():
            hosts, _ = await new_hosts(2, PAID)
            host = hosts[0]
            await host.spend('o', 5_000)
            await asyncio.sleep(1)
            await host.kill()
            await asyncio.sleep(2)
            change(host)
            host.start()
            await host.ready()
            await _spend_all(hosts)
            await end(hosts)
            return sum(each.spent for each in hosts)

        return run(scenario())

    def test_most_tokens_are_left_after_a_kill(self):
        spent = self._left_after(lambda host: None)
        self.assertBetween(60_000, spent, 100_000)

    def test_a_restarted_monotonic_clock_adds_the_clock_error(self):
        mark = UsageMark('o', 'h', 5_000, 0, 100.0, Moment(50, 1000), 0, 0, 1)
        killed = presumed_use(mark, ceiling=90_000, dead_at=Moment(52, 1002))
        lost_power = presumed_use(mark, ceiling=90_000, dead_at=Moment(1, 1002))
        self.assertEqual(5_200, killed)
        self.assertEqual(5_200 + 100 * CLOCK_ERROR_S, lost_power)

    def test_an_outage_allows_no_more_after_its_span(self):
        mark = UsageMark(
            'o', 'h', 5_000, 7, 100.0, Moment(0, 0), 0, 0, 1, span_s=1.5
        )
        for passed, used in ((0, 5_007), (1, 5_107), (60, 5_157)):
            dead_at = Moment(passed, passed)
            presumed = presumed_use(mark, ceiling=90_000, dead_at=dead_at)
            self.assertEqual(used, presumed)

    def test_little_is_presumed_of_a_host_that_lost_power(self):
        def lose_power(host):
            host.clock.monotonic_offset = 999.0

        self.assertGreater(self._left_after(lose_power), 95_000)

    def test_an_outage_after_the_start_adds_nothing_to_what_is_presumed(self):
        # The store was silent when the next process started.
        def unproven_after(outage_s):
            async def scenario():
                hosts, store = await new_hosts(2, PAID)
                for _ in range(20):
                    await hosts[0].spend('o', 1_000)
                    await asyncio.sleep(0.25)
                await hosts[0].kill()
                store.faults = StoreFaults(outage=outage_s > 0)
                await asyncio.sleep(0.1)
                hosts[0].start()
                await asyncio.sleep(outage_s)
                store.faults = StoreFaults()
                await hosts[0].ready()
                account = hosts[0].wallet._holdings.accounts_by_budget['o']
                await end(hosts)
                return account.unproven

            return run(scenario())

        self.assertGreater(unproven_after(0), 0)
        self.assertEqual(unproven_after(0), unproven_after(5))

    def _unproven_after_power_loss(self, *, before, after):
        """Return what is presumed of a holder that lost power, first and last.

        :param before: whether its clock was checked before
        :param after: how far other clocks are ahead of it afterwards, in
            seconds, ``None`` if it is not checked
        """

        async def scenario():
            hosts, _ = await new_hosts(10, {'o': 1_000_000})
            set_fleet(hosts)
            await asyncio.sleep(1)
            holder = next(
                host for host in hosts if host.holders.includes('o', host.name)
            )
            if before:
                holder.check_clock()
            for _ in range(20):
                await holder.spend('o', 300)
                await asyncio.sleep(0.25)
            await holder.kill()
            holder.clock.monotonic_offset = 999.0
            await asyncio.sleep(0.5)
            holder.start()
            await holder.ready()
            account = holder.wallet._holdings.accounts_by_budget['o']
            first = account.unproven
            if after is not None:
                holder.check_clock(after)
            await asyncio.sleep(0.5)
            await end(hosts)
            return first, account.unproven

        return run(scenario())

    def test_less_is_presumed_after_a_power_loss_if_clocks_agree(self):
        first, last = self._unproven_after_power_loss(before=True, after=0)
        self.assertGreater(first, 0)
        self.assertLess(last, 0.6 * first)

    def test_all_is_presumed_unless_clocks_agreed_before_and_after(
        self,
    ):
        for before, after in ((True, None), (False, 0), (True, 3)):
            first, last = self._unproven_after_power_loss(
                before=before, after=after
            )
            self.assertGreater(first, 0)
            self.assertEqual(first, last, (before, after))

    def test_nothing_is_presumed_of_a_host_that_was_stopping(self):
        async def scenario():
            hosts, _ = await new_hosts(2, PAID)
            for _ in range(20):
                await hosts[0].spend('o', 1_000)
            hosts[0].wallet.prepare_close()
            await asyncio.sleep(0.1)
            await hosts[0].kill()
            hosts[0].clock.monotonic_offset = 999.0
            hosts[0].start()
            await hosts[0].ready()
            await _spend_all(hosts)
            await end(hosts)
            return sum(each.spent for each in hosts)

        self.assertEqual(100_000, run(scenario()))

    def test_use_while_cut_off_is_presumed_used_after_a_kill(self):
        async def scenario():
            hosts, _ = await new_hosts(2, PAID)
            host = hosts[0]
            host.client.is_cut_off = True
            for _ in range(20):
                await host.spend('o', 2_000)
                await asyncio.sleep(0.5)
            await host.kill()
            host.start()
            await host.ready()
            await _spend_all(hosts)
            await end(hosts)
            return sum(each.spent for each in hosts)

        self.assertLessEqual(run(scenario()), 100_000)

    def test_a_planned_stop_releases_all_unused_tokens(self):
        async def scenario():
            hosts, _ = await new_hosts(2, PAID)
            await hosts[0].spend('o', 5_000)
            await hosts[0].wallet.close()
            await hosts[0].kill()
            await _spend_all(hosts[1:])
            await end(hosts)
            return sum(each.spent for each in hosts)

        self.assertEqual(100_000, run(scenario()))

    def test_a_budget_of_which_a_rest_is_only_presumed_used_is_not_spent(self):
        # One of two killed processes may have used what nobody did use.
        async def scenario():
            hosts, _ = await new_hosts(2, PAID)
            for _ in range(20):
                for host in hosts:
                    await host.spend('o', 2_000)
                await asyncio.sleep(0.25)
            await hosts[0].kill()
            await asyncio.sleep(2)
            hosts[0].start()
            await hosts[0].ready()
            outcomes = [await hosts[1].spend('o', 2_000) for _ in range(20)]
            left = 100_000 - sum(host.spent for host in hosts)
            too_much = await hosts[1].spend('o', left + 1)
            await end(hosts)
            return outcomes, left, too_much

        outcomes, left, too_much = run(scenario())
        self.assertGreaterEqual(left, 2_000)
        self.assertNotIn('exhausted', outcomes)
        self.assertIn('unproven', outcomes)
        self.assertEqual('exhausted', too_much)

    def test_a_kill_of_half_of_the_hosts_leaves_97_in_100_usable(self):
        # What marks allow for an outage is lost with each killed process.
        size, paid = 9_240, 30 * 9_240

        async def scenario():
            hosts, _ = await new_hosts(4, {'o': paid})
            for number in range(12):
                await hosts[number % 4].spend('o', size)
                await asyncio.sleep(0.5)
            for host in hosts[:2]:
                await host.kill()
            await asyncio.sleep(2)
            for host in hosts[:2]:
                host.start()
                await host.ready()
            await _spend_all(hosts, size, pause_s=0.5)
            await end(hosts)
            return sum(host.spent for host in hosts)

        self.assertGreater(run(scenario()) + size, 0.97 * paid)

    def test_a_late_ceiling_of_a_stopped_process_frees_no_held_tokens(self):
        # The successor has read the ceiling that the late append lowers.
        async def scenario():
            hosts, store = await new_hosts(4, {'o': 72_000})
            await asyncio.sleep(10)
            store.faults = StoreFaults(late_share=1, late_topic='ceilings')
            closing = asyncio.ensure_future(hosts[0].wallet.close())
            await asyncio.sleep(0.3)
            closing.cancel()
            await hosts[0].kill()
            store.faults = StoreFaults()
            hosts[0].start()
            await hosts[0].ready()
            await asyncio.sleep(5)
            askers = (hosts[1], hosts[1], *hosts[2:], hosts[0])
            await asyncio.gather(
                *(
                    host.spend('o', 17_140, request=f'r{number}', limit_s=2)
                    for number, host in enumerate(askers)
                )
            )
            await end(hosts)
            return sum(host.spent for host in hosts)

        self.assertEqual(4 * 17_140, run(scenario()))

    def assertBetween(self, least, value, most):
        """Check that a value lies between two others."""
        self.assertLessEqual(least, value)
        self.assertLessEqual(value, most)


class MomentTest(testtools.TestCase):
    """The upper bound of the time since a moment."""

    def test_agreeing_clocks_give_the_exact_time(self):
        passed = Moment(110, 1010).max_elapsed_s(Moment(100, 1000))
        self.assertEqual(10, passed)

    def test_a_wall_clock_set_back_gives_the_clock_error(self):
        passed = Moment(5, 1000).max_elapsed_s(Moment(100, 1002))
        self.assertEqual(CLOCK_ERROR_S, passed)

    def test_a_restarted_monotonic_clock_is_ignored(self):
        passed = Moment(101, 1030).max_elapsed_s(Moment(100, 1000))
        self.assertEqual(30 + CLOCK_ERROR_S, passed)


class RandomFaultsTest(testtools.TestCase):
    """Random faults never let the hosts use more than was paid."""

    def _overspent(self, seed):
        return run(_run_random_faults(seed))

    def test_never_more_than_was_paid(self):
        for seed in range(25):
            spent, paid = self._overspent(seed)
            self.assertLessEqual(spent, paid, f'seed {seed}')

    def test_never_more_than_was_paid_with_gateways(self):
        for seed in range(100, 125):
            spent, paid = run(_run_random_faults(seed, gateways=2))
            self.assertLessEqual(spent, paid, f'seed {seed}')

    def test_never_more_than_was_paid_by_the_few_holders_of_a_large_fleet(self):
        # Their marks allow more without the store than those of small fleets.
        for seed in range(200, 212):
            spent, paid = run(_run_random_faults(seed, gateways=2, count=10))
            self.assertLessEqual(spent, paid, f'seed {seed}')


async def _run_random_faults(seed, gateways=0, count=3):
    """Inject faults and spend at random; return the tokens used and paid."""
    source = random.Random(seed)
    store = MemoryKeyedStore(random.Random(seed))
    paid = 20_000 * count
    network = GatewayNetwork(store, gateways)
    hosts, _ = await new_hosts(count, {'o': paid}, store, network)
    set_fleet(hosts)
    for step in range(120):
        host = source.choice(hosts)
        if source.random() < 0.3:
            # A check tells the difference to the true time of day.
            host.check_clock(WALL_START - host.clock.wall_offset)
        if source.random() < 0.05:
            # The time of day steps while the process lives.
            host.clock.wall_offset = WALL_START + source.uniform(-2, 2)
        match source.randrange(14):
            case 0:
                host.client.is_cut_off = not host.client.is_cut_off
            case 1:
                await host.kill()
                await asyncio.sleep(source.random())
                if source.random() < 0.3:
                    host.clock.monotonic_offset = source.uniform(0, 2000)
                if source.random() < 0.3:
                    host.clock.wall_offset = WALL_START + source.uniform(-2, 2)
                host.start()
            case 2:
                store.faults = StoreFaults(
                    lost_share=source.random() / 2,
                    late_share=source.random() / 2,
                    slow_s=source.choice((0, 0.2)),
                )
            case 3:
                store.faults = StoreFaults(outage=source.random() < 0.5)
            case 4:
                for topic in ('ceilings', 'usage'):
                    store.drop_history(topic)
            case 6 if gateways:
                client = source.choice(network.clients)
                client.is_cut_off = not client.is_cut_off
            case 5 if source.random() < 0.2:
                paid += 10_000
                for each in hosts:
                    each.pay({'o': paid})
            case _:
                for each in hosts:
                    size = source.randrange(200, 3000)
                    await each.spend('o', size, request=f'{step}', limit_s=0.05)
        await asyncio.sleep(source.random() / 4)
    await end(hosts)
    return sum(host.spent for host in hosts), paid
