"""Tests of timeouts while the event loop stands still."""

import asyncio
import time

import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.stall_timeout import GRACE_S, stall_timeout
from tests.builders.direct import MODEL_HEADERS, events, run_with_fleet

LIMIT_S = 0.05
STALL_S = 0.3


class StallTimeoutTest(testtools.TestCase):
    """What arrived during a stall is read before the time limit counts."""

    def test_result_that_arrived_during_the_stall_counts(self):
        async def scenario():
            async def receive():
                # As reading an answer, this takes some turns of the loop.
                for _ in range(5):
                    await asyncio.sleep(0)
                return 'answer'

            async with stall_timeout(LIMIT_S):
                answer = asyncio.ensure_future(receive())
                await asyncio.sleep(0)
                time.sleep(STALL_S)  # noqa: ASYNC251
                return await answer

        self.assertEqual('answer', asyncio.run(scenario()))

    def test_nothing_arrived(self):
        async def scenario():
            async with stall_timeout(LIMIT_S):
                await asyncio.sleep(0)
                time.sleep(STALL_S)  # noqa: ASYNC251
                await asyncio.Event().wait()

        self.assertRaises(TimeoutError, asyncio.run, scenario())

    def test_limit_without_a_stall(self):
        async def scenario():
            began_at = asyncio.get_running_loop().time()
            try:
                async with stall_timeout(LIMIT_S):
                    await asyncio.Event().wait()
            except TimeoutError:
                return asyncio.get_running_loop().time() - began_at

        self.assertLess(run(scenario()), LIMIT_S + GRACE_S)


class StalledRouterTest(testtools.TestCase):
    """A router that stood still serves the requests that it has read."""

    def test_request_is_not_refused_for_tokens(self):
        async def scenario(fleet):
            statuses = []
            # The stall comes at several moments of the request's path.
            for turns in range(2, 10, 2):
                fleet.llm.answers = [events(0, 1)]
                call = asyncio.ensure_future(
                    fleet.call('/stream/a', **MODEL_HEADERS)
                )
                for _ in range(turns):
                    await asyncio.sleep(0.001)
                # Longer than the time limit of the store's calls.
                time.sleep(1.1)  # noqa: ASYNC251
                statuses.append((await call)[0])
            return statuses

        self.assertEqual([200] * 4, run_with_fleet(scenario))
