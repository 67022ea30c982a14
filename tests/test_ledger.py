"""Tests of the ledger fold, also against a model of its invariants."""

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

from dandelioncleat.core.billed_runs import PERIOD_S, RETENTION_S
from dandelioncleat.core.identity import GrantId, Incarnation
from dandelioncleat.core.ledger import LedgerFold
from dandelioncleat.core.ledger_verdict import (
    Added,
    Billed,
    Denied,
    Freed,
    Granted,
    LedgerVerdict,
    Repeated,
    Returned,
    Void,
    Wasted,
)
from dandelioncleat.core.record import (
    CompleteRetirement,
    LedgerRecord,
    ReleaseHolder,
    ReturnGrant,
)
from tests.builders.ledger import (
    BUDGET,
    HOLDER,
    OTHER_HOLDER,
    apply_all,
    bill_of,
    grant_request,
    top_up,
)

GRANT = GrantId(HOLDER, 1)


class LedgerFoldTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fold = LedgerFold()

    def apply(self, *records: LedgerRecord) -> list[LedgerVerdict]:
        return apply_all(self.fold, *records)

    def test_adds_a_top_up_once_for_each_reference(self) -> None:
        verdicts = self.apply(top_up(100), top_up(100), top_up(50, 'more'))
        self.assertThat(verdicts, Equals([Added(100), Repeated(), Added(50)]))

    def test_concurrent_grants_get_only_what_is_left(self) -> None:
        verdicts = self.apply(
            top_up(100),
            grant_request(1, 70),
            grant_request(1, 70, holder=OTHER_HOLDER),
            grant_request(2, 70, holder=OTHER_HOLDER),
        )
        other = GrantId(OTHER_HOLDER, 1)
        self.assertThat(
            verdicts[1:],
            Equals([Granted(GRANT, 70), Granted(other, 30), Denied(0)]),
        )

    def test_denies_a_grant_below_the_requested_minimum(self) -> None:
        verdicts = self.apply(top_up(100), grant_request(1, 200, least=150))
        self.assertThat(verdicts[1], Equals(Denied(100)))

    def test_uses_a_grant_number_once(self) -> None:
        verdicts = self.apply(
            top_up(100), grant_request(1, 10), grant_request(1, 10)
        )
        self.assertThat(verdicts[2], IsInstance(Void))

    def test_charges_the_first_bill_in_log_order(
        self,
    ) -> None:
        self.apply(top_up(100), grant_request(1, 100))
        verdicts = self.apply(
            bill_of('k', 30, (1, 50)),
            bill_of('k', 30, (1, 50), source=HOLDER),
            bill_of('k', 20, (1, 50), attempt=2),
            bill_of('k', 20, (1, 50), attempt=2, source=HOLDER),
        )
        expected = [Billed(30, 0), Repeated(), Wasted(20, 0), Repeated()]
        self.assertThat(verdicts, Equals(expected))
        balance = self.fold.balance(BUDGET)
        self.assertThat(balance.outstanding, Equals(50))
        self.assertThat((balance.billed, balance.wasted), Equals((30, 20)))

    def test_spreads_a_bill_over_its_draws_in_order(self) -> None:
        self.apply(top_up(100), grant_request(1, 40), grant_request(2, 40))
        self.apply(bill_of('k', 50, (1, 40), (2, 40)))
        self.assertThat(self.fold.accounts.grant_of(GRANT), Equals(None))
        second = self.fold.accounts.grant_of(GrantId(HOLDER, 2))
        self.assertThat(second.tokens, Equals(30))

    def test_clamps_a_return_to_what_the_grant_holds(self) -> None:
        self.apply(top_up(100), grant_request(1, 60))
        self.apply(bill_of('k', 20, (1, 20)))
        verdicts = self.apply(ReturnGrant(GRANT, 60), ReturnGrant(GRANT, 60))
        self.assertThat(verdicts[0], Equals(Returned(40)))
        self.assertThat(verdicts[1], IsInstance(Void))
        self.assertThat(self.fold.balance(BUDGET).left, Equals(80))

    def test_a_completed_retirement_frees_what_was_not_billed(self) -> None:
        self.apply(top_up(100), grant_request(1, 60))
        self.apply(bill_of('k', 20, (1, 20)), ReturnGrant(GRANT, 10))
        verdicts = self.apply(
            CompleteRetirement(HOLDER),
            CompleteRetirement(HOLDER),
            ReturnGrant(GRANT, 30),
            grant_request(2, 10),
        )
        self.assertThat(verdicts[:2], Equals([Freed(30), Repeated()]))
        self.assertThat(verdicts[2], IsInstance(Void))
        self.assertThat(verdicts[3], IsInstance(Void))
        self.assertThat(self.fold.balance(BUDGET).left, Equals(80))

    def test_charges_a_bill_after_completion_as_late(self) -> None:
        self.apply(top_up(100), grant_request(1, 60))
        self.apply(ReleaseHolder(HOLDER, 'operator'))
        verdicts = self.apply(bill_of('k', 25, (1, 60)))
        self.assertThat(verdicts, Equals([Billed(25, 25)]))
        balance = self.fold.balance(BUDGET)
        self.assertThat((balance.left, balance.late), Equals((75, 25)))

    def test_forgets_a_billed_request_by_log_time(self) -> None:
        self.apply(top_up(100), grant_request(1, 60))
        self.apply(bill_of('k', 10, (1, 10)))
        late = bill_of('k', 10, (1, 10), attempt=2)
        before = apply_all(self.fold, late, at=RETENTION_S)
        after = apply_all(
            self.fold,
            bill_of('k', 10, (1, 10), attempt=3),
            at=RETENTION_S + PERIOD_S,
        )
        self.assertThat(before, Equals([Wasted(10, 0)]))
        self.assertThat(after, Equals([Billed(10, 0)]))

    def test_a_restored_fold_gives_the_same_verdicts(self) -> None:
        self.apply(top_up(100), grant_request(1, 60))
        self.apply(bill_of('k', 10, (1, 10)))
        copy = LedgerFold()
        copy.restore(self.fold.snapshot())
        records = (
            bill_of('k', 10, (1, 10)),
            grant_request(1, 10),
            grant_request(2, 90),
            CompleteRetirement(HOLDER),
        )
        self.assertThat(apply_all(copy, *records), Equals(self.apply(*records)))
        self.assertThat(copy.snapshot(), Equals(self.fold.snapshot()))


HOLDERS = (HOLDER, OTHER_HOLDER, Incarnation('router-3/a'))
holders = st.sampled_from(HOLDERS)
numbers = st.integers(1, 4)
amounts = st.integers(1, 60)
keys = st.sampled_from('abcd')


class LedgerMachine(RuleBasedStateMachine):
    """Applies random records, repeats, returns that are too large, bills on
    other holders' grants, and restores from snapshots.

    Invariants: outstanding grants plus bills and waste under a grant never
    exceed the top-ups, and each key is billed once.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fold = LedgerFold()
        self.topped_up = 0
        self.billed_by_key: dict[str, int] = {}
        self.history: list[LedgerRecord] = []

    def feed(self, record: LedgerRecord) -> LedgerVerdict:
        self.history.append(record)
        (verdict,) = apply_all(self.fold, record)
        return verdict

    @rule(tokens=amounts, reference=keys)
    def add(self, tokens: int, reference: str) -> None:
        if isinstance(self.feed(top_up(tokens, reference)), Added):
            self.topped_up += tokens

    @rule(holder=holders, number=numbers, tokens=amounts, least=amounts)
    def grant(
        self, holder: Incarnation, number: int, tokens: int, least: int
    ) -> None:
        request = grant_request(number, tokens, least=least, holder=holder)
        verdict = self.feed(request)
        if isinstance(verdict, Granted):
            assert least <= verdict.tokens <= tokens

    @rule(holder=holders, number=numbers, tokens=amounts)
    def return_tokens(
        self, holder: Incarnation, number: int, tokens: int
    ) -> None:
        self.feed(ReturnGrant(GrantId(holder, number), tokens))

    @rule(
        key=keys,
        holder=holders,
        numbers=st.lists(numbers, max_size=2, unique=True),
        tokens=amounts,
        attempt=st.integers(1, 2),
    )
    def bill(
        self,
        key: str,
        holder: Incarnation,
        numbers: list[int],
        tokens: int,
        attempt: int,
    ) -> None:
        draws = tuple((number, tokens) for number in numbers)
        verdict = self.feed(
            bill_of(key, tokens, *draws, attempt=attempt, holder=holder),
        )
        if isinstance(verdict, Billed):
            assert key not in self.billed_by_key
            self.billed_by_key[key] = tokens

    @rule(holder=holders)
    def complete(self, holder: Incarnation) -> None:
        self.feed(CompleteRetirement(holder))

    @rule()
    def restart(self) -> None:
        data = self.fold.snapshot()
        self.fold = LedgerFold()
        self.fold.restore(data)

    @rule()
    def replay(self) -> None:
        fold = LedgerFold()
        apply_all(fold, *self.history)
        assert fold.snapshot() == self.fold.snapshot()

    @invariant()
    def never_exceeds_the_top_ups(self) -> None:
        balance = self.fold.balance(BUDGET)
        grants = [
            grant.tokens
            for by_number in self.fold.accounts.grants_by_holder.values()
            for grant in by_number.values()
        ]
        assert balance.topped_up == self.topped_up
        assert balance.outstanding == sum(grants)
        assert all(tokens > 0 for tokens in grants)
        assert balance.billed == sum(self.billed_by_key.values())
        assert balance.left + balance.late >= 0


class LedgerMachineTest(TestCase):
    def test_random_records_keep_the_invariants(self) -> None:
        run_state_machine_as_test(
            LedgerMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=150,
                stateful_step_count=40,
            ),
        )
