"""Replays small traces with random faults; the promises hold in all."""

import pytest
import structlog

from dandelioncleat.replay.judge import judge, measure_all
from dandelioncleat.replay.runner import replay
from tests.builders.random_trace import random_trace

SEEDS = (*range(60), 156, 440, 485)


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold_under_random_faults(seed: int) -> None:
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    trace = random_trace(seed)
    facts = replay(trace)
    missed = [
        finding
        for finding in judge(facts, trace.expectations)
        if not finding.met
    ]
    assert not missed, (missed, measure_all(facts))
