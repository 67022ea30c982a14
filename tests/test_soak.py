"""Short soaks of the deploy file's programs as real processes."""

import asyncio

import testtools

from tests.builders.programs import built_programs
from tests.builders.retry_judge import RetryLimit, repeats_of, worst_window
from tests.soak.play import Plan, play

import fleet as fleets  # isort: skip  (found by the package of the soak)

LENGTH_S = 16.0
# Requests of a soak that must end with an answer, so that it shows something.
MIN_ANSWERED = 300


class SoakTest(testtools.TestCase):
    """No promise is broken while processes and targets fail."""

    def _play(self, *troubles, seed, **sizes):
        folder = built_programs(self)
        record = fleets.Record(folder / 'record.txt')
        plan = Plan(seed, troubles, length_s=LENGTH_S, **sizes)
        verdict = asyncio.run(play(record, plan))
        self.assertGreater(verdict.ends['answered'], MIN_ANSWERED, verdict)
        self.assertLessEqual(max(verdict.used_by_service.values()), 1, verdict)
        self.assertEqual([], verdict.lost, verdict)
        self.assertEqual({}, verdict.not_refused, verdict)
        self.assertEqual([], verdict.ended_by_themselves, verdict)

    def test_targets_that_stand_still_beside_others_that_reject(self):
        self._play('reject-beside-still', seed=102)

    def test_killed_routers_beside_failing_targets(self):
        self._play('fail', 'kill', seed=1)

    def test_planned_stops_while_the_store_is_silent(self):
        self._play('stop', 'silence', 'configuration', seed=211)

    def test_crashing_requests_at_targets_that_are_back_at_once(self):
        self._play('crash-quickly', seed=502, targets=8)

    def test_crashing_requests_at_addresses_where_something_listens(self):
        self._play('crash-slowly', seed=503, targets=8)

    def test_planned_stops_beside_links_to_targets_that_are_reset(self):
        self._play('links-targets', 'stop', seed=1751)


class WorstWindowTest(testtools.TestCase):
    """The judge counts as the users do."""

    def test_first_arrivals_are_no_repeats(self):
        arrivals = [(3.0, 'b'), (1.0, 'a'), (2.0, 'a'), (4.0, 'a')]
        self.assertEqual([2.0, 4.0], repeats_of(arrivals))

    def test_requests_of_an_earlier_window_count(self):
        limit = RetryLimit(0.5, 2, 10)
        sent = [number / 10 for number in range(40)]
        worst = worst_window([12.0, 13.0], sent, limit)
        self.assertEqual((12.0, 2, 12), worst[:3])
