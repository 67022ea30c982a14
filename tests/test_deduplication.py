"""Tests of the filter for repeated envelopes."""

from testtools import TestCase
from testtools.matchers import Equals

from dandelioncleat.core.deduplication import DuplicateFilter
from dandelioncleat.core.identity import Incarnation

PRODUCER = Incarnation('host-1/a')


class DuplicateFilterTest(TestCase):
    def test_drops_a_repeated_envelope(self) -> None:
        seen = DuplicateFilter()
        verdicts = [seen.admit(PRODUCER, number) for number in (1, 1, 2, 1)]
        self.assertThat(verdicts, Equals([True, False, True, False]))

    def test_keeps_producers_apart(self) -> None:
        seen = DuplicateFilter()
        seen.admit(PRODUCER, 1)
        self.assertThat(seen.admit(Incarnation('host-2/b'), 1), Equals(True))
