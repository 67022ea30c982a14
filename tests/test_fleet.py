"""Tests of the fleet fold: who must drain a retired holder."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from dandelioncleat.core.fleet import ROUTER, FleetFold
from dandelioncleat.core.fleet_verdict import FleetVerdict, Ignored
from dandelioncleat.core.identity import Digest, Incarnation
from dandelioncleat.core.record import (
    Absolve,
    Crash,
    Drained,
    End,
    FleetRecord,
    Leave,
    Replace,
    Retire,
)
from tests.builders.ledger import (
    HOLDER,
    OTHER_HOLDER,
    SIDECAR_ONE,
    SIDECAR_TWO,
    router_join,
    sidecar_join,
)


class FleetFoldTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fold = FleetFold()
        self.offset = 0

    def apply(self, *records: FleetRecord) -> list[FleetVerdict]:
        verdicts = []
        for record in records:
            verdicts.append(self.fold.apply(self.offset, 0.5, HOLDER, record))
            self.offset += 1
        return verdicts

    def test_a_retirement_waits_for_every_sidecar_that_joined_before(
        self,
    ) -> None:
        self.apply(
            sidecar_join(SIDECAR_ONE),
            Retire(HOLDER, 'test'),
            sidecar_join(SIDECAR_TWO),
        )
        self.assertThat(self.fold.retirement_complete(HOLDER), Equals(False))
        self.apply(Drained(HOLDER, SIDECAR_ONE))
        self.assertThat(self.fold.retirement_complete(HOLDER), Equals(True))

    def test_a_sidecar_that_ended_needs_not_drain(self) -> None:
        self.apply(
            sidecar_join(SIDECAR_ONE),
            sidecar_join(SIDECAR_TWO),
            End(SIDECAR_ONE),
            Retire(HOLDER, 'test'),
            End(SIDECAR_TWO),
        )
        self.assertThat(self.fold.retirement_complete(HOLDER), Equals(True))

    def test_a_lost_sidecar_strands_the_holder(self) -> None:
        self.apply(
            sidecar_join(SIDECAR_ONE),
            sidecar_join(Incarnation('target-1/b')),
            Retire(HOLDER, 'test'),
            Drained(HOLDER, Incarnation('target-1/b')),
        )
        self.assertThat(self.fold.retirement_complete(HOLDER), Equals(False))

    def test_a_replaced_sidecar_may_owe_bills_of_earlier_holders(self) -> None:
        successor = Incarnation('target-1/b')
        self.apply(
            router_join(HOLDER),
            sidecar_join(SIDECAR_ONE),
            sidecar_join(successor),
            Replace(SIDECAR_ONE, successor),
            router_join(OTHER_HOLDER),
            Retire(HOLDER, 'test'),
            Retire(OTHER_HOLDER, 'test'),
            Drained(HOLDER, successor),
            Drained(OTHER_HOLDER, successor),
        )
        waiting = self.fold.retirements.waiting_for(HOLDER)
        self.assertThat(waiting, Equals((SIDECAR_ONE,)))
        is_complete = self.fold.retirement_complete(OTHER_HOLDER)
        self.assertThat(is_complete, Equals(True))

    def test_a_replacement_does_not_end_the_wait_for_a_sidecar(self) -> None:
        self.apply(
            sidecar_join(SIDECAR_ONE),
            sidecar_join(SIDECAR_TWO),
            Retire(HOLDER, 'test'),
            Drained(HOLDER, SIDECAR_TWO),
            Replace(SIDECAR_ONE, SIDECAR_TWO),
            Drained(HOLDER, SIDECAR_TWO),
            Leave(SIDECAR_ONE),
        )
        self.assertThat(self.fold.retirement_complete(HOLDER), Equals(False))
        self.apply(End(SIDECAR_ONE))
        self.assertThat(self.fold.retirement_complete(HOLDER), Equals(True))

    def test_a_retired_holder_cannot_join_again(self) -> None:
        verdicts = self.apply(Retire(HOLDER, 'test'), router_join(HOLDER))
        self.assertThat(verdicts[1], IsInstance(Ignored))

    def test_lists_only_the_newest_incarnation_at_a_host(self) -> None:
        newer = Incarnation('router-1/b')
        self.apply(router_join(HOLDER), router_join(newer))
        self.apply(router_join(OTHER_HOLDER), End(OTHER_HOLDER))
        live = [member.join.incarnation for member in self.fold.live(ROUTER)]
        self.assertThat(live, Equals([newer]))

    def test_a_restored_fold_equals_the_first(self) -> None:
        crash = Crash('target-1', (Digest('d'),), 'crash-1')
        self.apply(router_join(HOLDER), sidecar_join(SIDECAR_ONE), crash)
        self.apply(Leave(SIDECAR_ONE), Retire(HOLDER, 'test'))
        copy = FleetFold()
        copy.restore(self.fold.snapshot())
        self.assertThat(copy.snapshot(), Equals(self.fold.snapshot()))
        self.assertThat(copy.quarantine.crashes(Digest('d')), Equals(1))

    def test_counts_crashes_until_an_operator_absolves(self) -> None:
        self.apply(Crash('target-1', (Digest('d'),), 'crash-1'))
        self.apply(Absolve(Digest('d'), 'operator'))
        crashes = self.fold.quarantine.crashes(Digest('d'))
        self.assertThat(crashes, Equals(0))


SIDECARS = tuple(Incarnation(f'target-{number}/a') for number in range(4))
sidecars = st.sampled_from(SIDECARS)
holders = st.sampled_from((HOLDER, OTHER_HOLDER))


class RetirementMachine(RuleBasedStateMachine):
    """Runs sidecars that take work of holders until they read the retirement.

    Invariant: once a retirement is complete, no sidecar that was ever able
    to take the holder's work still has any.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fold = FleetFold()
        self.records: list[FleetRecord] = []
        self.read_by_sidecar: dict[Incarnation, int] = {}
        self.work: set[tuple[Incarnation, Incarnation]] = set()

    def append(self, record: FleetRecord) -> FleetVerdict:
        self.records.append(record)
        return self.fold.apply(len(self.records), 0.5, HOLDER, record)

    def knows(self, sidecar: Incarnation, record: FleetRecord) -> bool:
        read = self.read_by_sidecar.get(sidecar, 0)
        return record in self.records[:read]

    @rule(sidecar=sidecars)
    def join(self, sidecar: Incarnation) -> None:
        self.append(sidecar_join(sidecar))

    @rule(sidecar=sidecars)
    def read(self, sidecar: Incarnation) -> None:
        self.read_by_sidecar[sidecar] = len(self.records)

    @rule(sidecar=sidecars, holder=holders)
    def dispatch(self, sidecar: Incarnation, holder: Incarnation) -> None:
        may_work = self.knows(sidecar, sidecar_join(sidecar))
        if may_work and not self.knows(sidecar, Retire(holder, 'test')):
            self.work.add((sidecar, holder))

    @rule(sidecar=sidecars, holder=holders)
    def drain(self, sidecar: Incarnation, holder: Incarnation) -> None:
        if self.knows(sidecar, Retire(holder, 'test')):
            self.work.discard((sidecar, holder))
            self.append(Drained(holder, sidecar))

    @rule(holder=holders)
    def retire(self, holder: Incarnation) -> None:
        self.append(Retire(holder, 'test'))

    @rule()
    def restart_reader(self) -> None:
        data = self.fold.snapshot()
        self.fold = FleetFold()
        self.fold.restore(data)

    @invariant()
    def no_work_after_completion(self) -> None:
        for holder in (HOLDER, OTHER_HOLDER):
            if self.fold.retirement_complete(holder):
                assert all(held != holder for _, held in self.work)


class RetirementMachineTest(TestCase):
    def test_no_work_is_left_after_a_complete_retirement(self) -> None:
        run_state_machine_as_test(
            RetirementMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=150,
                stateful_step_count=40,
            ),
        )
