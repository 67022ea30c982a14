"""Tests of the fleet's retry budget while routers start, end and leave."""

import asyncio
from functools import partial

import testtools

from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.platform.targets import HttpTargets
from tests.builders.direct import HOST, Target, run_with_fleet, text_answer
from tests.builders.limited_fleet import run_limited_fleet
from tests.builders.retry_fleet import (
    LIMITS,
    play_random_changes,
    play_retries,
)
from tests.builders.retry_judge import excess

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


class ForwardedRequestTest(testtools.TestCase):
    """A request counts once, however many routers send it to targets."""

    def _play(self, **options):
        async def scenario(fleet):
            for target in fleet.targets:
                target.is_full = True
            await fleet.play()
            requests = [each.began_at for each in fleet.ended]
            repeats = fleet.arrivals_beyond_the_first()
            return excess(repeats, requests, LIMITS), len(repeats)

        return run_limited_fleet(scenario, documents=5, **options)

    def test_request_rejected_at_two_routers_is_sent_free_at_each(self):
        beyond, repeats = self._play(
            routers=3, holders=2, rate=40, duration_s=25
        )
        self.assertLessEqual(beyond, 0)
        # The ratio and the slack of the holders are still used.
        self.assertGreater(repeats, 25 * 40 * LIMITS.ratio / 2)


class UnreadRetryTest(testtools.TestCase):
    """A retry counts when its target reads it."""

    def _play(self, *, still_s, **options):
        """Let four targets stand still, and all reject; return the excess."""

        async def scenario(fleet):
            still = fleet.targets[:4]

            def begin():
                for target in fleet.targets:
                    target.is_full = True
                for target in still:
                    target.stand_still()

            def end():
                for target in still:
                    target.go_on()

            await fleet.play(changes=[(15, begin), (15 + still_s, end)])
            requests = [each.began_at for each in fleet.ended]
            repeats = fleet.arrivals_beyond_the_first()
            return excess(repeats, requests, LIMITS), len(repeats)

        return run_limited_fleet(
            scenario, targets=8, rate=60, duration_s=45, **options
        )

    def test_retries_in_the_sockets_of_targets_arrive_in_a_later_window(self):
        for still_s in (4, 6, 8, 10):
            beyond, _ = self._play(still_s=still_s)
            self.assertLessEqual(beyond, 0, still_s)
        beyond, _ = self._play(still_s=8, documents=5)
        self.assertLessEqual(beyond, 0)

    def test_budget_is_used_again_once_the_targets_go_on(self):
        _, repeats = self._play(still_s=6)
        self.assertGreater(repeats, 60 * 30 * LIMITS.ratio)


class ForwardedHeaderTest(testtools.TestCase):
    """Routers tell each other how often a request has reached targets."""

    def _forward(self, **headers):
        """Forward a request that reached two targets; return both ends."""

        async def scenario():
            router = Target('h2', 'router')
            await router.start()
            router.answers = [
                text_answer(
                    '', 503, **{'Dandelioncleat-Refusal': 'no_room', **headers}
                )
            ]
            targets = HttpTargets()
            request = DirectRequest(
                'r-1',
                'POST',
                HOST,
                '/a',
                (('Request-Id', 'r-1'),),
                b'',
                earlier_arrivals=2,
            )
            try:
                async with targets.forward(
                    request, router.address, remaining_s=1
                ) as answer:
                    refusal = answer.refusal
            finally:
                await targets.close()
                router.close()
            return router.requests[0].headers, refusal

        return asyncio.run(scenario())

    def test_both_directions(self):
        received, refusal = self._forward(**{'Dandelioncleat-Arrivals': '3'})
        self.assertEqual('2', received['Dandelioncleat-Arrivals'])
        self.assertEqual(3, refusal.arrivals)

    def test_number_that_cannot_be_read(self):
        for text in ('', '-1', 'x', '\u0661'):
            _, refusal = self._forward(**{'Dandelioncleat-Arrivals': text})
            self.assertIs(None, refusal.arrivals)

    def test_number_is_not_passed_on_to_targets(self):
        async def scenario(fleet):
            await fleet.call('/safe/a', **{'Dandelioncleat-Arrivals': '0'})
            return fleet.app.requests[0].headers

        self.assertNotIn('Dandelioncleat-Arrivals', run_with_fleet(scenario))


class UsedBudgetTest(testtools.TestCase):
    """Routers that live on use most of the fleet's budget."""

    def test_steady_fleet_uses_two_thirds_of_the_budget(self):
        excess, retries = play_retries(_steady, rate_per_s=50)
        self.assertLessEqual(excess, 0)
        # Twenty seconds with the slack, thirty with the ratio.
        self.assertGreater(retries, (2 * 52 + 0.2 * 30 * 200) * 2 / 3)
