"""Tests that callers get an answer before they stop waiting."""

import asyncio

import testtools

from dandelioncleat.core.direct_request import RefusalReason
from tests.builders.direct import run_with_fleet
from tests.builders.limited_fleet import run_limited_fleet

# Time that a caller stops inside a request, in seconds.
PAUSE_S = 0.3


class StillTargetTest(testtools.TestCase):
    """Targets that stand still answer nothing, but their router does."""

    def _longest_s(self, **shape):
        """Return the longest time until a caller got an answer."""

        async def scenario(fleet):
            for target in fleet.targets:
                target.stand_still()
            await fleet.play()
            return max(each.ended_at - each.began_at for each in fleet.ended)

        return run_limited_fleet(scenario, duration_s=5, **shape)

    def test_request_ends_unanswered_as_its_caller_stops_waiting(self):
        for wait_s in (0.1, 0.6, 1.5):
            self.assertLess(self._longest_s(wait_s=wait_s), wait_s)

    def test_forwarded_request_ends_unanswered_at_the_time_limit(self):
        longest_s = self._longest_s(
            wait_s=0.6, documents=5, routers=3, holders=2
        )
        self.assertLess(longest_s, 0.6)

    def test_route_may_take_its_whole_time(self):
        self.assertAlmostEqual(2, self._longest_s(wait_s=5), places=3)


class SlowCallerTest(testtools.TestCase):
    """The time of a request counts from the first byte of its head."""

    def test_target_may_work_after_the_caller_of_a_slow_head_has_left(self):
        async def scenario(fleet):
            await fleet.raw_answer('/safe/a', pause_s=PAUSE_S)
            return int(fleet.app.requests[0].headers['Deadline-Ms'])

        left_ms = run_with_fleet(scenario)
        self.assertLessEqual(left_ms, 4000 - 1000 * PAUSE_S)

    def test_target_may_work_after_the_caller_of_a_slow_body_has_left(self):
        async def scenario(fleet):
            async def body():
                yield b'{'
                await asyncio.sleep(PAUSE_S)
                yield b'}'

            await fleet.call('/safe/a', body=body())
            return int(fleet.app.requests[0].headers['Deadline-Ms'])

        left_ms = run_with_fleet(scenario)
        self.assertLessEqual(left_ms, 4000 - 1000 * PAUSE_S)


class OverdueRequestTest(testtools.TestCase):
    """What came too late is not sent to a target."""

    def test_target_runs_a_request_whose_caller_has_left(self):
        async def scenario(fleet):
            router = fleet.routers[0]
            ended = await fleet.call(router, wait_s=0)
            return ended.reply.refusal, fleet.targets[0].arrivals

        refusal, arrivals = run_limited_fleet(scenario, routers=1, targets=1)
        self.assertEqual((RefusalReason.NOT_IN_TIME, False), refusal[:2])
        self.assertEqual([], arrivals)
