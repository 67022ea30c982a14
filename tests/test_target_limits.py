"""Tests of targets that name a limit of requests a second."""

import asyncio
from functools import partial

import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.shared_limits import (
    CLEANUP_INTERVAL_S,
    LIMITS_TOPIC,
)
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.host_choice import HostChoice
from dandelioncleat.core.target_notice import NO_NOTICE, TargetNotice
from dandelioncleat.platform.notices import target_notice
from dandelioncleat.standin.keyed_store import MemoryKeyedStore, StoreFaults
from tests.builders.direct import MODEL_HEADERS, events, run_with_fleet
from tests.builders.limited_fleet import new_limits, run_limited_fleet
from tests.builders.logs import captured_lines

BEGUN = 'target names a limit'
CHANGED = 'limit of a target changed'
ENDED = 'limit of a target ended'
INVALID = 'limit of a target cannot be read'


def entry(started_at=1):
    """Return the entry of a start of a target."""
    return TargetEntry('i', 's', '10.0.0.1:80', 'z', 8, False, started_at)


class LimitNoticeTest(testtools.TestCase):
    """A limit is read from the headers of any answer."""

    def test_any_answer_may_name_a_limit(self):
        for status in (200, 421, 429, 500, 503):
            notice = target_notice(status, {'Server-Limit': '2.5'})
            self.assertEqual(2.5, notice.limit_per_s)
        self.assertEqual(NO_NOTICE, target_notice(200, {}))

    def test_zero_is_a_limit(self):
        notice = target_notice(200, {'Server-Limit': '0'})
        self.assertEqual((0, None), (notice.limit_per_s, notice.invalid_limit))

    def test_what_is_no_decimal_number_is_no_limit(self):
        for text in ('', 'none', '-1', 'inf', 'nan', '1e3', '1,5', '9' * 99):
            notice = target_notice(200, {'Server-Limit': text})
            self.assertIs(None, notice.limit_per_s)
            self.assertEqual(text[:40], notice.invalid_limit)


class LimitLineTest(testtools.TestCase):
    """The lines tell when a limit begins, changes and ends."""

    def _lines_after(self, *answers):
        """Return the events of lines after answers to requests.

        :param answers: pairs of a notice and when its request was sent
        """

        async def scenario():
            limits = new_limits()
            for notice, sent_at in answers:
                limits.note_answer(
                    entry(), notice, sent_at=sent_at, is_success=True
                )

        with captured_lines() as lines:
            run(scenario())
        return [line['event'] for line in lines]

    def test_a_limit_begins_changes_and_ends(self):
        self.assertEqual(
            [BEGUN, CHANGED, ENDED],
            self._lines_after(
                (TargetNotice(limit_per_s=2), 0),
                (TargetNotice(limit_per_s=2), 0),
                (TargetNotice(limit_per_s=1), 0),
                (NO_NOTICE, 1),
            ),
        )

    def test_an_answer_to_an_earlier_request_ends_no_limit(self):
        self.assertEqual(
            [BEGUN],
            self._lines_after((TargetNotice(limit_per_s=2), 0), (NO_NOTICE, 0)),
        )

    def test_an_answer_to_an_earlier_request_raises_no_limit(self):
        self.assertEqual(
            [BEGUN],
            self._lines_after(
                (TargetNotice(limit_per_s=2), 0),
                (TargetNotice(limit_per_s=3), 0),
            ),
        )

    def test_a_poll_raises_and_ends_no_limit(self):
        async def scenario():
            limits = new_limits()
            limits.note_poll(entry(), TargetNotice(limit_per_s=2))
            await asyncio.sleep(1)
            for notice in (TargetNotice(limit_per_s=3), NO_NOTICE):
                limits.note_poll(entry(), notice)
            return limits.limit_per_s(entry())

        self.assertEqual(2, run(scenario()))

    def test_a_limit_that_cannot_be_read_gets_one_line(self):
        notice = TargetNotice(invalid_limit='x')
        self.assertEqual([INVALID], self._lines_after((notice, 0), (notice, 1)))

    def test_a_request_that_its_target_limits_is_logged_with_the_limit(self):
        async def scenario(fleet):
            fleet.app.limit_per_s = 0.5
            await fleet.call('/safe/a')

        with captured_lines() as lines:
            run_with_fleet(scenario)
        found = [line for line in lines if line['event'] == BEGUN]
        self.assertEqual(
            [('i-app/0', 0.5)],
            [(line['start'], line['limit_per_s']) for line in found],
        )


class LimitTest(testtools.TestCase):
    """All routers together keep to the limit of a target."""

    def _exceeding(self, limit, *, seeds=2, changes=(), **shape):
        """Return the most in a window, if it is more than allowed.

        :param changes: pairs of a time and what to do then with the fleet
        """

        async def scenario(fleet):
            target = fleet.targets[0]
            named = (2, lambda: target.name_limit(limit))
            others = [(at, partial(change, fleet)) for at, change in changes]
            await fleet.play(changes=[named, *others])
            most = target.most_in_a_window()
            return most if most > target.allowed() else None

        found = [
            run_limited_fleet(scenario, seed=seed, **shape)
            for seed in range(seeds)
        ]
        return [most for most in found if most is not None]

    def test_a_target_gets_no_more_than_it_names_from_all_routers(self):
        for routers in (1, 4, 5, 25, 68):
            for limit in (0, 0.3, 1, 2.5):
                self.assertEqual(
                    [],
                    self._exceeding(
                        limit, routers=routers, rate=30, duration_s=14
                    ),
                    f'{routers} routers, limit {limit}',
                )

    def test_the_limit_holds_while_the_store_is_away(self):
        for routers in (4, 25):
            changes = ((1, _break_store),)
            self.assertEqual(
                [], self._exceeding(0.5, routers=routers, changes=changes)
            )

    def test_the_limit_holds_over_a_restored_store(self):
        for routers in (4, 25):
            changes = ((8, partial(_restore, age_s=7)),)
            self.assertEqual(
                [], self._exceeding(0.5, routers=routers, changes=changes)
            )

    def test_a_limit_may_change_and_alternate(self):
        for routers in (4, 25):
            changes = tuple(
                (at, partial(_name_limit, limit=limit))
                for at, limit in ((6, 3), (7, 1), (8, 2), (9, 1), (12, 1.5))
            )
            # The highest limit is what the builder's bound goes by.
            changes = (*changes, (19, partial(_name_limit, limit=3)))
            self.assertEqual(
                [], self._exceeding(1, routers=routers, changes=changes)
            )


def _break_store(fleet):
    fleet.store.faults = StoreFaults(outage=True)


def _restore(fleet, *, age_s):
    fleet.store.restore(age_s)


def _name_limit(fleet, *, limit):
    fleet.targets[0].name_limit(limit)


class LimitedRouterTest(testtools.TestCase):
    """A router turns away at once what a limited target can't take."""

    def test_more_is_refused_with_the_time_of_the_next_request(self):
        async def scenario(fleet):
            fleet.app.limit_per_s = 0.01
            answers = [await fleet.call('/safe/a') for _ in range(9)]
            return answers, len(fleet.app.requests)

        answers, sent = run_with_fleet(scenario)
        # The first one tells the limit, and three may be sent at once.
        self.assertEqual(4, sent)
        statuses = [status for status, _, _ in answers]
        self.assertEqual([200] * 4 + [503] * 5, statuses)
        for _, headers, body in answers[4:]:
            self.assertEqual(b'targets_limited', body)
            self.assertTrue(0 < float(headers['Retry-After']) <= 10)

    def test_another_target_gets_the_request(self):
        async def scenario(fleet):
            await fleet.list_second_engine()
            fleet.llm.limit_per_s = 0.01
            fleet.llm2.limit_per_s = None
            for target in (fleet.llm, fleet.llm2):
                target.answers = [events(0, 1)] * 9
            statuses = [
                (await fleet.call('/stream/a', **MODEL_HEADERS))[0]
                for _ in range(8)
            ]
            return statuses, len(fleet.llm.requests)

        statuses, limited = run_with_fleet(scenario)
        self.assertEqual([200] * 8, statuses)
        self.assertTrue(limited <= 1)


class LimitedServiceTest(testtools.TestCase):
    """All targets of a service are limited, and callers want more."""

    def _play(self, **shape):
        """Return the fleet after each target took 2 requests a second."""

        async def scenario(fleet):
            for target in fleet.targets:
                target.name_limit(2)
            await fleet.play()
            return fleet

        return run_limited_fleet(scenario, targets=4, rate=40, **shape)

    def test_most_of_what_they_take_is_used(self):
        for routers in (1, 4, 25):
            fleet = self._play(routers=routers)
            taken = sum(len(each.arrivals) for each in fleet.targets)
            self.assertTrue(taken > 0.8 * 4 * 2 * 20, f'{routers}: {taken}')

    def test_the_rest_is_refused_at_once_with_a_time_to_return(self):
        fleet = self._play()
        refused = [e for e in fleet.ended if e.reply.end == 'refused']
        self.assertEqual({'targets_limited'}, set(fleet.refusals()))
        for each in refused:
            self.assertTrue(each.ended_at - each.began_at <= 0.1)
            self.assertTrue(0 < each.reply.refusal.retry_after_s <= 0.5)


class AmpleLimitTest(testtools.TestCase):
    """Targets name limits that callers don't reach."""

    def _play(self, limit):
        """Return documents read and requests refused.

        Each target gets 3.4 requests a second on average.
        """

        async def scenario(fleet):
            for target in fleet.targets:
                if limit is not None:
                    target.name_limit(limit)
            await fleet.play()
            read = sum(len(each.documents_read) for each in fleet.targets)
            return read, fleet.refusals().total()

        shape = {'routers': 4, 'targets': 9, 'rate': 30, 'documents': 27}
        return run_limited_fleet(scenario, **shape)

    def test_nothing_is_refused_and_prompts_stay_where_they_are_read(self):
        unlimited, _ = self._play(None)
        for limit, most in ((6, 2), (10, 1.2)):
            read, refused = self._play(limit)
            self.assertEqual(0, refused)
            self.assertTrue(read <= most * unlimited, f'{limit}: {read}')


class LimitEndTest(testtools.TestCase):
    """A limit ends at all routers once the target names none any more."""

    def _hosts_after_end(self, *, routers, limit=0.5):
        """Return which hosts send in the last seconds.

        The limit holds from 2 to 10 s of 20.
        """

        async def scenario(fleet):
            target = fleet.targets[0]
            changes = (
                (2, lambda: target.name_limit(limit)),
                (10, target.end_limit),
            )
            await fleet.play(changes=changes)
            return {each.host for each in target.arrivals if each.at > 16}

        return run_limited_fleet(scenario, routers=routers, rate=10 * routers)

    def test_all_routers_send_again(self):
        for routers in (1, 4, 25):
            self.assertEqual(
                routers, len(self._hosts_after_end(routers=routers))
            )

    def test_a_router_that_was_cut_off_hears_that_a_limit_has_ended(self):
        async def scenario(fleet):
            target = fleet.targets[0]
            cut = fleet.clients[:2]
            changes = (
                (2, lambda: target.name_limit(0.5)),
                (4, partial(_set_cut_off, cut, is_cut_off=True)),
                (8, target.end_limit),
                (12, partial(_set_cut_off, cut, is_cut_off=False)),
            )
            await fleet.play(changes=changes)
            return {each.host for each in target.arrivals if each.at > 16}

        hosts = run_limited_fleet(scenario, routers=4, rate=40)
        self.assertEqual(4, len(hosts))

    def test_the_next_start_of_a_target_has_no_limit(self):
        async def scenario():
            limits = new_limits()
            notice = TargetNotice(limit_per_s=1)
            limits.note_answer(entry(1), notice, sent_at=0, is_success=True)
            return limits.limit_per_s(entry(1)), limits.limit_per_s(entry(2))

        self.assertEqual((1, None), run(scenario()))

    def test_a_limit_that_a_restored_store_has_lost_is_written_again(self):
        async def scenario(*, is_first):
            store = MemoryKeyedStore()
            fleet = HostChoice()
            first = 'h' if is_first else 'dead'
            # The host without cores is chosen last.
            fleet.set_hosts({'h': is_first, 'dead': not is_first})
            self.assertTrue(fleet.is_among(entry().start, first, most=1))
            limits = new_limits(store=store, fleet=fleet)
            sharing = asyncio.ensure_future(limits.run())
            notice = TargetNotice(limit_per_s=1)
            limits.note_answer(entry(), notice, sent_at=0, is_success=True)
            await asyncio.sleep(1)
            store.restore(age_s=2)
            await asyncio.sleep(6)
            limits.note_answer(entry(), notice, sent_at=0, is_success=True)
            await asyncio.sleep(1)
            records = (await store.newest(LIMITS_TOPIC)).records
            sharing.cancel()
            return len(records), limits.limit_per_s(entry())

        for is_first in (True, False):
            self.assertEqual((1, 1), run(scenario(is_first=is_first)))

    def test_the_limit_of_a_target_that_is_gone_is_deleted(self):
        async def scenario():
            store = MemoryKeyedStore()
            limits = new_limits(store=store)
            sharing = asyncio.ensure_future(limits.run())
            notice = TargetNotice(limit_per_s=1)
            limits.note_answer(entry(), notice, sent_at=0, is_success=True)
            await asyncio.sleep(1)
            before = (await store.newest(LIMITS_TOPIC)).records
            await asyncio.sleep(3 * CLEANUP_INTERVAL_S)
            after = (await store.newest(LIMITS_TOPIC)).records
            sharing.cancel()
            return len(before), len(after), limits.limit_per_s(entry())

        self.assertEqual((1, 0, None), run(scenario()))


def _set_cut_off(clients, *, is_cut_off):
    for client in clients:
        client.is_cut_off = is_cut_off
