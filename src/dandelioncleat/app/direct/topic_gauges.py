"""Reports the age of what a router knows as metrics."""

import asyncio
from collections.abc import Mapping
from math import isfinite

from dandelioncleat.app.direct.topic_age import AgedTopic
from dandelioncleat.ports.telemetry import Telemetry

SAMPLE_INTERVAL_S = 1.0


class TopicGauges:
    """Samples the ages of topics at intervals."""

    def __init__(
        self, topics_by_name: Mapping[str, AgedTopic], *, telemetry: Telemetry
    ) -> None:
        """Initialise with the topics."""
        self._topics_by_name = topics_by_name
        self._telemetry = telemetry

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Set the gauge of each topic that has been read."""
        for name, topic in self._topics_by_name.items():
            if isfinite(topic.age_s):
                self._telemetry.gauge(
                    'direct.topic_age_s', topic.age_s, topic=name
                )
