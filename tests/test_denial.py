"""Tests of the memory of requests that were said to have no run."""

from testtools import TestCase
from testtools.matchers import Equals

from dandelioncleat.core.denial import MAX_DENIALS, Denials
from dandelioncleat.core.identity import RequestKey

KEY = RequestKey('agents', 'k1')


class DenialsTest(TestCase):
    def test_covers_attempts_that_arrived_before(self) -> None:
        denials = Denials()
        self.assertThat(denials.covers(KEY, 0), Equals(False))
        denials.note(KEY, 10)
        covered = [denials.covers(KEY, at) for at in (9, 10, 11)]
        self.assertThat(covered, Equals([True, False, False]))

    def test_forgets_what_is_old(self) -> None:
        denials = Denials()
        denials.note(KEY, 10)
        denials.expire(10)
        self.assertThat(denials.covers(KEY, 9), Equals(True))
        denials.expire(11)
        self.assertThat(denials.covers(KEY, 9), Equals(False))

    def test_memory_is_bounded(self) -> None:
        denials = Denials()
        for number in range(MAX_DENIALS + 1):
            denials.note(RequestKey('agents', str(number)), number)
        oldest = RequestKey('agents', '0')
        self.assertThat(denials.covers(oldest, -1), Equals(False))
