"""Tests of a store that comes back from a copy some seconds old."""

import asyncio
import random

import msgspec
import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.deployment_watch import DeploymentWatch
from dandelioncleat.app.direct.held_entries import RESTORED_HOLD_S
from dandelioncleat.app.direct.holdings_sync import MARKS_TOPIC
from dandelioncleat.app.direct.mark_writer import MarkWriter
from dandelioncleat.app.direct.process_directory import (
    PROCESSES_TOPIC,
    ProcessAnnouncement,
    ProcessDirectory,
    ProcessEntry,
    ProcessRole,
)
from dandelioncleat.app.direct.target_directory import TargetDirectory
from dandelioncleat.app.direct.topic_follower import TopicFollower
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.holding import Ceiling, Moment, UsageMark
from dandelioncleat.core.host_choice import HostChoice
from dandelioncleat.core.host_holdings import HostHoldings
from dandelioncleat.core.host_standing import PRESUME_AFTER_S
from dandelioncleat.platform.documents import decode_deployment
from dandelioncleat.ports.store import Producer
from dandelioncleat.standin.keyed_store import MemoryKeyedStore, StoreFaults
from tests.builders.direct import configuration
from tests.builders.gateways import GatewayNetwork
from tests.builders.quarantine import (
    FakeTargets,
    new_quarantine,
    request,
    run_of,
    target,
)
from tests.builders.wallets import COPY_AGE_S, end, new_hosts
from tests.test_target_notices import decode

PAID = {'o': 100_000}


class FollowerTest(testtools.TestCase):
    """A follower sees every record of the restored topic."""

    def _read_after_restore(self, change):
        """Follow 100 records, restore, and return what the topic holds."""

        async def scenario():
            store = MemoryKeyedStore()
            values_by_key = {}
            reads = []

            def apply(topic_change):
                reads.append(topic_change)
                if topic_change.is_snapshot:
                    values_by_key.clear()
                for record in topic_change.records:
                    values_by_key[record.key] = record.value

            follower = TopicFollower(store, 't', on_change=apply)
            task = asyncio.ensure_future(follower.run())
            for number in range(100):
                await store.append('t', ((f'k{number}', b'1'),))
                await asyncio.sleep(0.1)
            await change(store)
            before = len(reads)
            await asyncio.sleep(1)
            task.cancel()
            newest = (await store.newest('t')).records
            expected = {record.key: record.value for record in newest}
            return values_by_key == expected, len(reads) - before

        return run(scenario())

    def test_a_shorter_topic_is_read_once(self):
        async def change(store):
            store.restore(4)

        is_equal, reads = self._read_after_restore(change)
        self.assertTrue(is_equal)
        self.assertLessEqual(reads, 1)

    def test_a_topic_that_has_grown_again_is_read_whole(self):
        async def change(store):
            store.faults = StoreFaults(outage=True)
            await asyncio.sleep(1)
            store.restore(5)
            store.faults = StoreFaults()
            records = tuple((f'n{number}', b'2') for number in range(80))
            await store.append('t', records)

        is_equal, _ = self._read_after_restore(change)
        self.assertTrue(is_equal)


class ConfigurationTest(testtools.TestCase):
    """A version that was in force stays so."""

    def test_a_restored_older_version_is_ignored(self):
        async def scenario():
            store = MemoryKeyedStore()
            watch = DeploymentWatch(
                decode_deployment, key='config', on_change=lambda each: None
            )
            follower = TopicFollower(store, 'op', on_change=watch.apply)
            task = asyncio.ensure_future(follower.run())
            versions = []
            for version in (1, 2):
                await _put_configuration(store, version)
                await asyncio.sleep(3)
            store.restore(4)
            await asyncio.sleep(1)
            versions.append(watch.current.version)
            await _put_configuration(store, 3)
            await asyncio.sleep(1)
            versions.append(watch.current.version)
            task.cancel()
            return versions

        self.assertEqual([2, 3], run(scenario()))


class TargetsTest(testtools.TestCase):
    """Targets that had left stay gone, and lapsed ones stay listed."""

    def _listed(self, *changes, wait_s, after=()):
        """Return the target count some time after a restore.

        :param changes: values of the entry, one second apart
        :param after: values that are written after the restore
        """

        async def scenario():
            store = MemoryKeyedStore()
            directory = TargetDirectory(
                decode, silence_s=lambda: follower.silence_s
            )
            follower = TopicFollower(store, 's', on_change=directory.apply)
            task = asyncio.ensure_future(follower.run())
            for value in changes:
                await store.append('s', (('i', value),))
                await asyncio.sleep(1)
            store.restore(1.5)
            await asyncio.sleep(0.2)
            for value in after:
                await store.append('s', (('i', value),))
            await asyncio.sleep(wait_s)
            task.cancel()
            return len(directory.available('s'))

        return run(scenario())

    def test_a_target_that_had_left_is_not_used(self):
        self.assertEqual(0, self._listed(b'1r', b'', wait_s=1))

    def test_a_target_that_writes_again_is_used_at_once(self):
        count = self._listed(b'1r', b'', wait_s=0.5, after=(b'1r1',))
        self.assertEqual(1, count)

    def test_a_target_that_stays_listed_is_used(self):
        count = self._listed(b'1r', b'', wait_s=RESTORED_HOLD_S + 1)
        self.assertEqual(1, count)

    def test_a_target_that_is_removed_again_stays_gone(self):
        count = self._listed(
            b'1r', b'', wait_s=RESTORED_HOLD_S + 1, after=(b'',)
        )
        self.assertEqual(0, count)

    def test_a_target_that_drained_still_drains(self):
        self.assertEqual(0, self._listed(b'1r', b'1d', wait_s=9))

    def test_a_target_whose_entry_was_lost_is_kept_for_a_moment(self):
        self.assertEqual(1, self._listed(b'1r', wait_s=0.5))
        self.assertEqual(0, self._listed(b'1r', wait_s=5))


class OwnRecordsTest(testtools.TestCase):
    """A process writes again what it alone knows."""

    def _listed_after(self, change, *, start_s=0):
        """Return how often a process is listed after a change of the store.

        The second number is that after the process has left.

        :param change: coroutine function of the store and the process's entry
        :param start_s: age of the store when the process starts
        """

        async def scenario():
            store = MemoryKeyedStore()
            entry = ProcessEntry(ProcessRole.ROUTER, 'h', 'z', '10.0.0.1:80')
            announcement = ProcessAnnouncement(store, entry)
            directory = ProcessDirectory(
                store,
                entry,
                configured_gateways=(),
                on_own_lost=announcement.renew,
            )
            await asyncio.sleep(start_s)
            tasks = [
                asyncio.ensure_future(announcement.run()),
                asyncio.ensure_future(directory.run()),
            ]
            await asyncio.sleep(1)
            await change(store, entry)
            await asyncio.sleep(1)
            listed = (await store.newest(PROCESSES_TOPIC)).records
            await announcement.leave()
            await asyncio.sleep(1)
            left = (await store.newest(PROCESSES_TOPIC)).records
            for task in tasks:
                task.cancel()
            return len(listed), len(left)

        return run(scenario())

    def test_a_process_is_registered_again(self):
        async def restore(store, _entry):
            store.restore(3)

        self.assertEqual((1, 0), self._listed_after(restore, start_s=5))

    def test_a_late_leave_of_the_earlier_process_removes_no_successor(self):
        async def leave_late(store, entry):
            await store.append(PROCESSES_TOPIC, ((entry.key, b''),))

        self.assertEqual((1, 0), self._listed_after(leave_late))

    def test_crash_records_are_written_again(self):
        async def scenario():
            store = MemoryKeyedStore()
            routers = [
                new_quarantine(store, FakeTargets(), host=f'h{n}')
                for n in range(2)
            ]
            tasks = [asyncio.ensure_future(each.run()) for each in routers]
            await asyncio.sleep(5)
            for number in range(3):
                routers[0].note_lost(run_of(number), target(number))
            await asyncio.sleep(1)
            store.restore(3)
            await asyncio.sleep(6)
            for task in tasks:
                task.cancel()
            return [each.find(request(9)) is not None for each in routers]

        self.assertEqual([True, True], run(scenario()))


class BudgetTest(testtools.TestCase):
    """No budget is passed, and what survivors hold can be used."""

    def _spent(self, scenario, *, count=3):
        async def play():
            hosts, store = await new_hosts(count, PAID)
            await scenario(hosts, store)
            await _spend_all(hosts)
            await end(hosts)
            return sum(host.spent for host in hosts)

        return run(play())

    def test_survivors_use_all_that_was_paid(self):
        async def scenario(hosts, store):
            await hosts[0].spend('o', 30_000, limit_s=1)
            await asyncio.sleep(1)
            await hosts[1].spend('o', 40_000, limit_s=1)
            store.restore(1.5)
            await asyncio.sleep(5)

        self.assertEqual(100_000, self._spent(scenario))

    def test_a_moved_part_does_not_count_twice(self):
        async def scenario(hosts, store):
            before = hosts[0].spent
            # The others lower their ceilings for this request.
            await hosts[0].spend('o', 80_000, limit_s=1)
            self.assertEqual(before + 80_000, hosts[0].spent)
            store.restore(1)
            await hosts[0].kill()
            await asyncio.sleep(1)
            hosts[0].start()
            await hosts[0].ready()
            await asyncio.sleep(PRESUME_AFTER_S * 2)

        spent = self._spent(scenario)
        self.assertLessEqual(spent, 100_000)

    def test_a_dead_host_strands_its_part_alone(self):
        async def scenario(hosts, store):
            await asyncio.sleep(3)
            store.restore(1)
            await hosts[0].kill()
            await asyncio.sleep(PRESUME_AFTER_S * 3)
            del hosts[0]

        # Three hosts hold a third each.
        self.assertGreater(self._spent(scenario), 60_000)

    def test_a_new_host_waits_until_each_copy_has_its_registration(self):
        async def scenario():
            store = MemoryKeyedStore()
            hosts, _ = await new_hosts(1, PAID, store)
            added = type(hosts[0])(store, 'new', PAID)
            added.start()
            await added.ready()
            early = await added.spend('o', 1000, limit_s=1)
            await asyncio.sleep(COPY_AGE_S + 2)
            later = await added.spend('o', 1000, limit_s=1)
            await end([*hosts, added])
            return early, later

        self.assertEqual(('elsewhere', 'reserved'), run(scenario()))


class LostMarkTest(testtools.TestCase):
    """A process confirmed a ceiling after a restore, and died before its mark.

    Its successor found neither the mark nor a sign that one was lost, and used
    the tokens again (seed 125 of the random restores).
    """

    def _presumed_used(self, era):
        holdings = HostHoldings('h0', HostChoice())
        holdings.paid_by_budget = {'o': 60_000}
        holdings.records.begin_era(era)
        holdings.records.set_ceiling(Ceiling('o', 'h0', 20_000, era))
        holdings.records.set_ceiling(Ceiling('', 'h0', 0, era))
        holdings.standing.open(0, copy_age_s=COPY_AGE_S)
        (opened,) = holdings.open_accounts(Moment(0, 0))
        return opened.presumed_used

    def test_all_that_it_may_have_used_is_presumed_in_a_restored_store(self):
        self.assertEqual(20_000, self._presumed_used(1))

    def test_nothing_is_presumed_in_a_store_that_lost_nothing(self):
        self.assertEqual(0, self._presumed_used(0))


class MarkEpochTest(testtools.TestCase):
    """The store knows a higher epoch of a host than any mark has."""

    def test_a_host_whose_budgets_are_spent_starts_again(self):
        # Marks that were written again after a restore carried the epoch from
        # before, and each later start ended with a SequenceError.
        async def scenario():
            hosts, store = await new_hosts(1, {'o': 6000})
            await _spend_all(hosts)
            await asyncio.sleep(2)
            store.restore(5)
            await asyncio.sleep(PRESUME_AFTER_S)
            await hosts[0].kill()
            hosts[0].start()
            async with asyncio.timeout(3):
                await hosts[0].ready()
            await end(hosts)

        run(scenario())

    def test_marks_that_are_written_again_have_the_new_epoch(self):
        async def scenario():
            store = MemoryKeyedStore()
            writer = _new_mark_writer(store)
            await writer.fence(0)
            await asyncio.sleep(1)
            await writer.write((_mark(100),))
            store.restore(0.5)
            written = await writer.write((_mark(200),))
            return written.marks[0].epoch, writer.epoch, await _stored(store)

        told, epoch, stored = run(scenario())
        self.assertEqual((2, 2), (told, epoch))
        self.assertEqual((2, 200), (stored.epoch, stored.used))

    def test_an_unanswered_fence_makes_no_mark_a_repeat(self):
        # The store dropped the next marks as a repeat of the empty append, and
        # they counted as confirmed.
        async def scenario():
            store = _UnansweredStore()
            writer = _new_mark_writer(store)
            await writer.fence(0)
            await asyncio.sleep(1)
            await writer.write((_mark(100),))
            store.restore(0.5)
            store.unanswered_fences = 1
            await writer.write((_mark(200),))
            return await _stored(store)

        self.assertEqual(200, run(scenario()).used)

    def test_a_late_mark_of_a_dead_process_of_the_same_epoch_fails(self):
        async def scenario():
            store = MemoryKeyedStore()
            dead = _new_mark_writer(store)
            await dead.fence(0)
            store.faults = StoreFaults(late_share=1, late_s=1)
            writing = asyncio.ensure_future(dead.write((_mark(100),)))
            await asyncio.sleep(0.05)
            writing.cancel()
            store.faults = StoreFaults()
            writer = _new_mark_writer(store)
            await writer.fence(0)
            await asyncio.sleep(2)
            await writer.write((_mark(200),))
            return await _stored(store)

        self.assertEqual(200, run(scenario()).used)

    def test_marks_are_written_after_a_late_fence_of_a_dead_process(self):
        # The next append ended the process with a FencedError.
        async def scenario():
            store = MemoryKeyedStore()
            writer = _new_mark_writer(store)
            await writer.fence(0)
            dead = Producer('h0', 7, 5)
            await store.append(MARKS_TOPIC, (), producer=dead)
            await writer.write((_mark(200),))
            return await _stored(store)

        stored = run(scenario())
        self.assertEqual((8, 200), (stored.epoch, stored.used))


class RandomRestoresTest(testtools.TestCase):
    """Random orders of faults and restores never pass the budget."""

    def _check(self, seeds, gateways):
        for seed in seeds:
            spent, paid = run(_run_random_restores(seed, gateways))
            self.assertLessEqual(spent, paid, f'seed {seed}')

    def test_never_more_than_was_paid(self):
        self._check(range(45), gateways=0)

    def test_never_more_than_was_paid_with_gateways(self):
        self._check(range(100, 145), gateways=2)


class _UnansweredStore(MemoryKeyedStore):
    """A store that begins some epochs without an answer."""

    unanswered_fences = 0

    async def append(self, topic, records, *, at=None, producer=None):
        """Append records; lose the answer of an empty append."""
        answer = await super().append(topic, records, at=at, producer=producer)
        if not records and self.unanswered_fences:
            self.unanswered_fences -= 1
            raise failure_error(Code.LOG, step='a', peer='s', text='no answer')
        return answer


def _new_mark_writer(store):
    return MarkWriter(store, MARKS_TOPIC, host='h0')


def _mark(used):
    return UsageMark('o', 'h0', used, 0, float(0), Moment(0, 0), 0.0, 0, 0)


async def _stored(store):
    """Return the only mark in the store."""
    (record,) = (await store.newest(MARKS_TOPIC)).records
    return msgspec.msgpack.decode(record.value, type=UsageMark)


async def _spend_all(hosts, size=1000, pause_s=0.02, tries=4000):
    """Spend in turn until no host gets tokens any more."""
    refusals = 0
    for number in range(tries):
        host = hosts[number % len(hosts)]
        outcome = await host.spend('o', size)
        refusals = 0 if outcome == 'reserved' else refusals + 1
        if refusals > 3 * len(hosts):
            return
        await asyncio.sleep(pause_s)


async def _put_configuration(store, version):
    """Write a version as the operator does."""
    value = msgspec.json.encode(configuration(version))
    await store.append('op', (('config', value),))


async def _run_random_restores(seed, gateways, steps=120):
    """Inject faults and restores at random; return the tokens used and paid."""
    source = random.Random(seed)
    store = MemoryKeyedStore(random.Random(seed))
    paid = 60_000
    network = GatewayNetwork(store, gateways) if gateways else None
    hosts, _ = await new_hosts(3, {'o': paid}, store, network)
    for step in range(steps):
        host = source.choice(hosts)
        match source.randrange(16):
            case 0:
                host.client.is_cut_off = not host.client.is_cut_off
            case 1 | 2:
                await host.kill()
                await asyncio.sleep(source.random())
                if source.random() < 0.3:
                    host.clock.monotonic_offset = source.uniform(0, 2000)
                host.start()
            case 3:
                store.faults = StoreFaults(
                    lost_share=source.random() / 2,
                    late_share=source.random() / 2,
                    late_s=source.uniform(0.1, 4),
                )
            case 4:
                store.faults = StoreFaults(outage=source.random() < 0.5)
            case 5 | 6:
                store.restore(source.uniform(0, COPY_AGE_S - 0.5))
            case 7 if source.random() < 0.2:
                paid += 10_000
                for each in hosts:
                    each.pay({'o': paid})
            case 8:
                await asyncio.sleep(source.uniform(0, 2 * PRESUME_AFTER_S))
            case _:
                for each in hosts:
                    size = source.randrange(200, 3000)
                    await each.spend('o', size, request=f'{step}', limit_s=0.05)
        await asyncio.sleep(source.random() / 4)
    store.faults = StoreFaults()
    for host in hosts:
        host.client.is_cut_off = False
    await asyncio.sleep(3 * PRESUME_AFTER_S)
    await _spend_all(hosts, tries=300)
    await end(hosts)
    return sum(host.spent for host in hosts), paid
