"""Replays small random traces; their safety measures stay at zero."""

import pytest
import structlog

from dandelioncleat.replay.evaluation import evaluate, measure_all
from dandelioncleat.replay.runner import replay
from tests.builders.random_trace import random_trace

SEEDS = (*range(60), 156, 440, 485)


@pytest.mark.parametrize('seed', SEEDS)
def test_random_faults_leave_safety_measures_at_zero(seed: int) -> None:
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    trace = random_trace(seed)
    facts = replay(trace)
    missed = [
        finding
        for finding in evaluate(facts, trace.expectations)
        if not finding.met
    ]
    assert not missed, (missed, measure_all(facts))
