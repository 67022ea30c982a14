"""Odd but legal forms of requests and answers, beside planned stops."""

import asyncio
from collections import Counter

import testtools

from tests.builders.programs import built_programs
from tests.soak.forms import play

LENGTH_S = 6.0
# Answers that must be whole, so that the play shows something.
MIN_WHOLE = 300


class FormsTest(testtools.TestCase):
    """Each request that reaches a target gets its answer, or a refusal."""

    def _play(self, seed, **options):
        folder = built_programs(self)
        verdict = asyncio.run(
            play(seed, folder=folder, length_s=LENGTH_S, **options)
        )
        self.assertGreater(verdict.ends['whole'], MIN_WHOLE, verdict)
        self.assertEqual([], verdict.wrong, verdict)
        self.assertEqual(Counter(), verdict.faults, verdict)

    def test_requests_that_may_be_repeated(self):
        self._play(1717)

    def test_requests_that_may_run_once(self):
        self._play(1718, is_once=True)
