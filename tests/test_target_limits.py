"""Tests of targets that name a limit of requests a second."""

import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.target_limits import TargetLimits
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.host_choice import HostChoice
from dandelioncleat.core.target_notice import NO_NOTICE, TargetNotice
from dandelioncleat.platform.notices import target_notice
from tests.builders.direct import MODEL_HEADERS, events, run_with_fleet
from tests.builders.limited_fleet import run_limited_fleet
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
            limits = TargetLimits(host='h', fleet=HostChoice())
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
            [('i-app', 0.5)],
            [(line['target'], line['limit_per_s']) for line in found],
        )


class LimitTest(testtools.TestCase):
    """All routers together keep to the limit of a target."""

    def _exceeding(self, limit, *, seeds=2, **shape):
        """Return the most in a window, if it is more than allowed."""

        async def scenario(fleet):
            target = fleet.targets[0]
            named = (2, lambda: target.name_limit(limit))
            await fleet.play(changes=[named])
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
                    self._exceeding(limit, routers=routers, rate=30),
                    f'{routers} routers, limit {limit}',
                )


class LimitedRouterTest(testtools.TestCase):
    """A router turns away at once what a limited target can't take."""

    def test_a_second_request_is_refused_with_the_time_of_the_next_one(self):
        async def scenario(fleet):
            fleet.app.limit_per_s = 0.01
            first = await fleet.call('/safe/a')
            second = await fleet.call('/safe/b')
            return first[0], second, len(fleet.app.requests)

        first, second, sent = run_with_fleet(scenario)
        status, headers, body = second
        self.assertEqual((200, 503, 1), (first, status, sent))
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
