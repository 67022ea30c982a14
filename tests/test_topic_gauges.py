"""Tests of the metrics that tell the age of what a router knows."""

from math import inf
from types import SimpleNamespace

import testtools

from dandelioncleat.app.direct.topic_gauges import TopicGauges


class TopicGaugesTest(testtools.TestCase):
    """A topic that was never read has no age."""

    def test_sample(self):
        gauges = []
        telemetry = SimpleNamespace(
            gauge=lambda name, age_s, topic: gauges.append((name, age_s, topic))
        )
        topics_by_name = {
            'op': SimpleNamespace(age_s=0.4),
            'servers': SimpleNamespace(age_s=inf),
        }
        TopicGauges(topics_by_name, telemetry=telemetry).sample()
        self.assertEqual([('direct.topic_age_s', 0.4, 'op')], gauges)
