"""Tests of the fleet's retry budget while routers start, end and leave."""

from functools import partial

import testtools

from tests.builders.retry_fleet import play_random_changes, play_retries

SEEDS = range(6)


async def _restarted(fleet):
    fleet.start('h1')
    changes = [
        (at, partial(_restart, fleet)) for at in (15.0, 15.7, 16.4, 17.1)
    ]
    await fleet.play(30, changes=changes)


def _restart(fleet):
    fleet.kill('h1')
    fleet.start('h1')


async def _joined_one_after_the_other(fleet):
    fleet.start('h1')
    changes = [
        (15.0 + number, partial(fleet.start, f'h{number}'))
        for number in (2, 3, 4)
    ]
    await fleet.play(40, changes=changes)


async def _replaced_as_planned(fleet):
    for number in range(4):
        fleet.start(f'h{number}')
    changes = []
    for number in range(4):
        at = 15.0 + 2 * number
        changes.append((at, partial(fleet.leave, f'h{number}')))
        changes.append((at, partial(fleet.start, f'n{number}')))
    await fleet.play(45, changes=changes)


async def _steady(fleet):
    for number in range(4):
        fleet.start(f'h{number}')
    await fleet.play(30)


class RetriesBeyondBudgetTest(testtools.TestCase):
    """All routers together keep to the budget in every window."""

    def test_restarted_router_uses_the_slack_of_its_predecessor_again(self):
        excess, _ = play_retries(_restarted)
        self.assertLessEqual(excess, 0)

    def test_joining_routers_use_slack_that_others_have_used(self):
        excess, _ = play_retries(_joined_one_after_the_other)
        self.assertLessEqual(excess, 0)

    def test_remaining_routers_use_slack_that_leaving_ones_have_used(self):
        excess, _ = play_retries(_replaced_as_planned)
        self.assertLessEqual(excess, 0)

    def test_random_starts_kills_and_stops(self):
        for seed in SEEDS:
            excess, _ = play_retries(partial(play_random_changes, seed=seed))
            self.assertLessEqual(excess, 0, seed)


class UsedBudgetTest(testtools.TestCase):
    """Routers that live on use most of the fleet's budget."""

    def test_steady_fleet_uses_two_thirds_of_the_budget(self):
        excess, retries = play_retries(_steady, rate_per_s=50)
        self.assertLessEqual(excess, 0)
        # Twenty seconds with the slack, thirty with the ratio.
        self.assertGreater(retries, (2 * 52 + 0.2 * 30 * 200) * 2 / 3)
