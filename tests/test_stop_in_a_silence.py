"""Tests of requests that come at the end of a planned stop."""

import asyncio

import testtools

from dandelioncleat.app.direct.serving import NOTHING_ADMITTED
from dandelioncleat.core.direct_request import RefusalReason
from tests.builders.limited_fleet import run_limited_fleet
from tests.builders.store_paths import SilentTopic


class StopInASilenceTest(testtools.TestCase):
    """A process that is about to exit asks no silent store before it answers.

    Its connections are closed some 50 ms after the last request was read.
    """

    def _play(self, scenario):
        return run_limited_fleet(scenario, routers=1, topic=SilentTopic())

    def test_request_of_the_last_moments_is_closed_while_it_waits(self):
        async def scenario(fleet):
            router = fleet.routers[0]
            router.begin_stop(NOTHING_ADMITTED)
            return await fleet.call(router)

        ended = self._play(scenario)
        self.assertEqual(RefusalReason.STOPPING, ended.reply.refusal.reason)
        self.assertEqual(ended.began_at, ended.ended_at)

    def test_request_that_waits_as_the_stop_ends_is_closed(self):
        async def scenario(fleet):
            router = fleet.routers[0]
            call = asyncio.ensure_future(fleet.call(router))
            await asyncio.sleep(0.01)
            router.begin_stop(NOTHING_ADMITTED)
            router.open_requests.end_all()
            return await call

        ended = self._play(scenario)
        self.assertEqual(RefusalReason.STOPPING, ended.reply.refusal.reason)
        self.assertAlmostEqual(0.01, ended.ended_at - ended.began_at)
