"""Tests of the homes of idempotent requests."""

from testtools import TestCase

from dandelioncleat.core.failure import Code
from dandelioncleat.core.home import Home, home_order
from dandelioncleat.core.identity import Digest, Incarnation, RequestKey
from dandelioncleat.core.message import Attach, Begin, Placed, Report

HOME = Incarnation('home/1')
FIRST = Incarnation('first/1')
SECOND = Incarnation('second/1')


def attach(
    organisation: str = 'pelabuhan',
    body: str = 'body',
    executor: Incarnation = FIRST,
) -> Attach:
    """Return an attach of one key."""
    request = RequestKey(organisation, 'key')
    return Attach(request, 'llm', Digest(body), True, executor)


class HomeOrderTest(TestCase):
    """Every process gives the same order."""

    def test_order_ignores_the_order_of_members(self) -> None:
        members = tuple(Incarnation(f'host-{n}/1') for n in range(9))
        key = RequestKey('a', 'b')
        expected = home_order(key, members)
        self.assertEqual(expected, home_order(key, reversed(members)))

    def test_lost_member_moves_only_its_own_keys(self) -> None:
        members = tuple(Incarnation(f'host-{n}/1') for n in range(9))
        for number in range(50):
            key = RequestKey('a', str(number))
            order = home_order(key, members)
            rest = tuple(one for one in members if one != members[0])
            expected = tuple(one for one in order if one != members[0])
            self.assertEqual(expected, home_order(key, rest))


class HomeTest(TestCase):
    """A key has one run at a time."""

    def test_retry_finds_the_run(self) -> None:
        home = Home(HOME)
        begin = home.attach(attach(), 0)
        self.assertIsInstance(begin, Begin)
        again = home.attach(attach(executor=SECOND), 1)
        self.assertEqual(Placed(begin.run, FIRST), again)

    def test_other_body_is_refused(self) -> None:
        home = Home(HOME)
        home.attach(attach(), 0)
        refusal = home.attach(attach(body='other'), 1)
        self.assertEqual(Code.CONFLICT, refusal.code)

    def test_organisations_do_not_share_keys(self) -> None:
        home = Home(HOME)
        home.attach(attach(), 0)
        other = home.attach(attach('cuponred', body='other'), 1)
        self.assertIsInstance(other, Begin)

    def test_run_that_never_ran_allows_another(self) -> None:
        home = Home(HOME)
        begin = home.attach(attach(), 0)
        home.report(Report(begin.run, 0, False))
        second = home.attach(attach(executor=SECOND), 1)
        self.assertEqual(SECOND, second.executor)
        self.assertEqual(2, second.run.attempt)

    def test_late_report_of_an_earlier_run_has_no_effect(self) -> None:
        home = Home(HOME)
        first = home.attach(attach(), 0)
        home.report(Report(first.run, 0, True))
        second = home.attach(attach(), 1)
        home.report(Report(first.run, 0, False))
        self.assertEqual(
            Placed(second.run, second.executor),
            home.attach(attach(), 2),
        )

    def test_answered_key_is_placed_until_it_expires(self) -> None:
        home = Home(HOME)
        begin = home.attach(attach(), 0)
        home.report(Report(begin.run, 200, True))
        self.assertIsInstance(home.attach(attach(), 1), Placed)
        home.expire(1)
        self.assertEqual(1, len(home))
        home.expire(2)
        self.assertIsInstance(home.attach(attach(), 3), Begin)

    def test_memory_is_bounded(self) -> None:
        home = Home(HOME, max_keys=2)
        for organisation in ('a', 'b', 'c'):
            home.attach(attach(organisation), 0)
        self.assertEqual(2, len(home))
