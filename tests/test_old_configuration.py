"""Tests of decisions on a configuration that may be out of date."""

import asyncio

import msgspec
import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.admission import admit
from dandelioncleat.app.direct.run_context import (
    ANSWER_MARGIN_S,
    RunContext,
)
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.platform.documents import decode_deployment
from tests.builders.direct import (
    HOST,
    KEY,
    MODEL_HEADERS,
    configuration,
    route,
    run_with_fleet,
)

# A version is in force everywhere this long after the store has confirmed it.
APPLY_LIMIT_S = 2.0
OBSERVED_S = 3.5
CALL_PAUSE_S = 0.1
FORWARDED = {
    'Dandelioncleat-Forwarded': '1',
    'Dandelioncleat-Version': '2',
}


def newer_configuration(**changes):
    """Return version 2, which adds a route and a key."""
    routes = [
        *configuration()['routes'],
        route('/added/', 'idempotent', 'app'),
    ]
    document = configuration(2, routes=routes, **changes)
    document['tenants'][0]['apiKeys'] = [KEY, 'k-2']
    return document


def moved_configuration():
    """Return version 2, which moves a route to another service."""
    routes = [route('/safe/', 'idempotent', 'llm')]
    return configuration(2, routes=routes)


class SilentStoreTest(testtools.TestCase):
    """A router that hears nothing refuses nothing for good."""

    def _late_statuses(self, path, newer, **headers):
        """Return the statuses of calls once a version should be in force."""

        async def scenario(fleet):
            statuses = set()
            await fleet.call(path, **headers)
            fleet.store_path.fall_silent()
            await fleet.put('op', 'config', newer)
            start = _now()
            while _now() < start + OBSERVED_S:
                sent_at = _now()
                status, received, _ = await fleet.call(path, **headers)
                if sent_at > start + APPLY_LIMIT_S:
                    statuses.add((status, 'Retry-After' in received))
                await asyncio.sleep(CALL_PAUSE_S)
            return statuses

        return run_with_fleet(scenario, document=configuration(prepaid=200))

    def test_added_route_is_refused_as_missing(self):
        newer = newer_configuration(prepaid=200)
        statuses = self._late_statuses('/added/a', newer)
        self.assertEqual({(503, True)}, statuses)

    def test_added_key_is_refused_as_unknown(self):
        newer = newer_configuration(prepaid=200)
        key = {'Authorization': 'Bearer k-2'}
        statuses = self._late_statuses('/safe/a', newer, **key)
        self.assertEqual({(503, True)}, statuses)

    def test_topped_up_budget_is_refused_as_spent(self):
        newer = newer_configuration(prepaid=100_000)
        need = {**MODEL_HEADERS, 'Token-Count': '1000,500'}
        statuses = self._late_statuses('/stream/a', newer, **need)
        self.assertEqual({(503, True)}, statuses)


class ConfirmedRequestTest(testtools.TestCase):
    """The time in which the store is asked is part of the request's time."""

    def test_target_gets_more_time_than_is_left(self):
        async def scenario():
            deployment = decode_deployment(msgspec.json.encode(configuration()))
            request = DirectRequest(
                'r', 'GET', HOST, '/safe/a', (), b'', key=KEY, wait_s=2
            )
            admitted = admit(request, deployment.unwrap()).unwrap()
            arrived_at = _now()
            await asyncio.sleep(0.4)
            context = RunContext(request, admitted, arrived_at=arrived_at)
            return context.remaining_s

        self.assertAlmostEqual(1.6 - ANSWER_MARGIN_S, run(scenario()))


class ForwardedTest(testtools.TestCase):
    """A router judges no forwarded request by an older version."""

    def _forward(self, path, newer, **headers):
        """Forward a request to a router that has not read version 2."""

        async def scenario(fleet):
            fleet.store_path.fall_silent()
            await fleet.put('op', 'config', newer)
            sent = {**FORWARDED, **headers}
            status, received, _ = await fleet.call(path, **sent)
            return (
                status,
                received.get('Dandelioncleat-Refusal'),
                len(fleet.app.requests),
            )

        return run_with_fleet(scenario)

    def test_added_route(self):
        answer = self._forward('/added/a', newer_configuration())
        self.assertEqual((503, 'configuration_behind', 0), answer)

    def test_added_key(self):
        key = {'Authorization': 'Bearer k-2'}
        answer = self._forward('/safe/a', newer_configuration(), **key)
        self.assertEqual((503, 'configuration_behind', 0), answer)

    def test_moved_route_does_not_run_at_the_old_service(self):
        answer = self._forward('/safe/a', moved_configuration())
        self.assertEqual((503, 'configuration_behind', 0), answer)


def _now():
    return asyncio.get_running_loop().time()
