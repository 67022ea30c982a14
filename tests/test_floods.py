"""Peers that send bytes without end to a router, a real process."""

import asyncio
import tempfile
from pathlib import Path

import testtools

from tests.builders.programs import built_programs
from tests.soak.floods import CALLER_FLOODS, TARGET_FLOODS, play

import fleet as fleets  # isort: skip  (found by the package of the soak)

# The memory of a router in its settings, in MiB.
MEMORY_MB = 150
# Requests that the machine may have delayed beyond their callers' limit.
MIN_SERVED = 0.9
LENGTH_S = 4.0


class FloodTest(testtools.TestCase):
    """The process keeps within its memory, and serves the other peers."""

    def _play(self, **floods):
        built_programs(self)
        folder = tempfile.TemporaryDirectory(prefix='flood-')
        self.addCleanup(folder.cleanup)
        record = fleets.Record(Path(folder.name) / 'record.txt')
        verdict = asyncio.run(play(record, length_s=LENGTH_S, **floods))
        self.assertLess(verdict.peak_mb, MEMORY_MB, verdict)
        served = verdict.sound - len(verdict.unserved)
        self.assertGreaterEqual(served, MIN_SERVED * verdict.sound, verdict)

    def _target(self, name):
        self._play(target_flood=TARGET_FLOODS[name])

    def _caller(self, name):
        self._play(caller_flood=CALLER_FLOODS[name])

    def test_bodies_of_a_target(self):
        self._target('body to the end of the connection')

    def test_errors_of_a_target_in_chunks(self):
        self._target('error in chunks')

    def test_interim_answers_of_a_target(self):
        self._target('interim answers')

    def test_answers_of_a_target_after_a_whole_one(self):
        self._target('answers after a whole one')

    def test_bytes_of_a_target_that_are_no_head(self):
        self._target('no head')

    def test_bytes_of_callers_that_are_no_request(self):
        self._caller('no request')

    def test_bytes_of_callers_after_a_request(self):
        self._caller('bytes after a request')

    def test_head_of_callers_without_an_end(self):
        self._caller('long head')

    def test_bodies_of_callers_in_chunks_of_one_byte(self):
        self._caller('body in chunks of one byte')

    def test_bodies_of_callers_that_the_configuration_allows(self):
        self._caller('bodies that the configuration allows')

    def test_large_answers_that_callers_do_not_read(self):
        self._caller('large answers that are not read')
