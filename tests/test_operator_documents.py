"""Tests of configurations that the operator writes in other forms."""

from collections import Counter

import msgspec
import testtools

from dandelioncleat.platform.documents import decode_deployment
from tests.builders.direct import (
    HOST,
    configuration,
    route,
    run_with_fleet,
)


def decoded(document):
    """Return the configuration that a router makes of a document."""
    return decode_deployment(msgspec.json.encode(document)).unwrap()


class OtherFormTest(testtools.TestCase):
    """A document with nulls or 3.0 for 3 is no reason to stay behind."""

    def test_null_in_an_optional_field(self):
        document = configuration()
        document['routes'][0] |= {'priority': None, 'backends': None}
        document['tenants'][0]['priority'] = None
        document['limits']['idleMs'] = None
        deployment = decoded(document)
        found = deployment.routes.find(HOST, '/safe/a')
        self.assertEqual(0, found.priority)
        self.assertEqual('app', found.service_for('r'))

    def test_whole_number_with_a_fraction_of_zero(self):
        document = configuration(7.0, prepaid=100.0)
        document['routes'][0]['maxAttempts'] = 2.0
        deployment = decoded(document)
        organisation = deployment.organisations_by_name['o']
        self.assertEqual((7, 100), (deployment.version, organisation.prepaid))

    def test_missing_name_is_still_an_error(self):
        document = configuration()
        document['routes'][0]['name'] = None
        answer = decode_deployment(msgspec.json.encode(document))
        self.assertIn('name', answer.failure())

    def test_weights_below_one(self):
        split = [
            {'service': 'app', 'weight': 0.1},
            {'service': 'llm', 'weight': 0.9},
        ]
        routes = [route('/safe/', 'idempotent', None, backends=split)]
        deployment = decoded(configuration(routes=routes))
        found = deployment.routes.find(HOST, '/safe/a')
        counts = Counter(found.service_for(f'r{n}') for n in range(1000))
        self.assertLess(50, counts['app'])
        self.assertLess(counts['app'], 150)


class UnreadableVersionTest(testtools.TestCase):
    """What a version allows that can't be read is not refused for good."""

    def test_route_is_refused_as_missing(self):
        async def scenario(fleet):
            before, _, _ = await fleet.call('/added/a')
            await fleet.put('op', 'config', {'version': 2, 'routes': 'many'})
            end = fleet.store.end('op')
            topic = fleet.router.configuration_topic
            await fleet.wait_until(lambda: topic.position == end)
            during, _, _ = await fleet.call('/added/a')
            routes = [route('/added/', 'idempotent', 'app')]
            await fleet.put('op', 'config', configuration(3, routes=routes))
            await fleet.wait_until(lambda: fleet.router.version == 3)
            after, _, _ = await fleet.call('/added/a')
            return before, during, after

        self.assertEqual((404, 503, 200), run_with_fleet(scenario))
