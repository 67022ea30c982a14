"""Tests of the order in which processes are tried after failures."""

from testtools import TestCase
from testtools.matchers import Equals

from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.reachability import (
    FIRST_AVOID_S,
    ProcessLocation,
    Reachability,
)

ONE = ProcessLocation(Incarnation('one/1'), 'a')
TWO = ProcessLocation(Incarnation('two/1'), 'a')
THREE = ProcessLocation(Incarnation('three/1'), 'b')
ALL = (ONE, TWO, THREE)


class ReachabilityTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reachability = Reachability()

    def test_keeps_the_order_while_all_answer(self) -> None:
        self.assertThat(self.reachability.order(ALL, 0), Equals(ALL))

    def test_prefers_another_data_centre_after_a_failure(self) -> None:
        self.reachability.note_failure(ONE, 0)
        self.assertThat(
            self.reachability.order(ALL, 1),
            Equals((THREE, TWO, ONE)),
        )

    def test_an_answer_restores_the_order(self) -> None:
        self.reachability.note_failure(ONE, 0)
        self.reachability.note_answer(ONE.process)
        self.assertThat(self.reachability.order(ALL, 1), Equals(ALL))

    def test_a_second_failure_in_a_row_doubles_the_time(self) -> None:
        self.reachability.note_failure(ONE, 0)
        self.assertThat(
            self.reachability.order(ALL, FIRST_AVOID_S),
            Equals(ALL),
        )
        self.reachability.note_failure(ONE, FIRST_AVOID_S)
        late = self.reachability.order(ALL, 2.5 * FIRST_AVOID_S)
        self.assertThat(late[0], Equals(THREE))

    def test_forgets_processes_that_are_gone(self) -> None:
        self.reachability.note_failure(ONE, 0)
        self.reachability.retain((TWO.process,))
        self.assertThat(self.reachability.order(ALL, 1), Equals(ALL))
