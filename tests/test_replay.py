"""Replays every trace of the repository and checks its expected outcomes."""

import logging
import os
import subprocess
import sys
from pathlib import Path

import pytest
import structlog
from testtools import TestCase
from testtools.matchers import Equals

from dandelioncleat.replay.commands import replay_file

TRACES = Path(__file__).parent.parent / 'traces'
SHORT_TRACE = TRACES / 'pelabuhan-racing-patches.jsonl.gz'


@pytest.mark.parametrize(
    'path',
    sorted(TRACES.glob('*.jsonl.gz')),
    ids=lambda path: path.name.partition('.')[0],
)
def test_trace_meets_its_expected_outcomes(path: Path) -> None:
    quiet = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=quiet)
    report = replay_file(path)
    missed = [finding for finding in report.findings if not finding.met]
    assert not missed, (missed, report.measures)


class DeterminismTest(TestCase):
    def test_two_replays_print_identical_reports(self) -> None:
        first, second = (self._replay(seed) for seed in ('1', '2'))
        self.assertThat(first, Equals(second))
        self.assertIn(b'overspend_tokens', first)

    def _replay(self, hash_seed: str) -> bytes:
        command = [sys.executable, '-m', 'dandelioncleat', 'replay', '--json']
        done = subprocess.run(
            [*command, str(SHORT_TRACE)],
            env={**os.environ, 'PYTHONHASHSEED': hash_seed},
            stdout=subprocess.PIPE,
            check=True,
        )
        # Log lines carry the time of day; only the report is compared.
        return done.stdout.splitlines()[-1]
