"""Tests of claims and slots in log order."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from testtools import TestCase

from dandelioncleat.core.claim import (
    AlreadyClaimed,
    Claimed,
    ClaimFold,
    ClaimVerdict,
    Noted,
    SlotsTaken,
    Void,
    VoidReason,
)
from dandelioncleat.core.identity import (
    Digest,
    Incarnation,
    RequestKey,
    RunId,
)
from dandelioncleat.core.record import (
    Claim,
    ClaimRecord,
    Outcome,
    Seal,
    TakeSlots,
)
from dandelioncleat.core.slot import Slot, slot_of

OLD = Incarnation('old/1')
NEW = Incarnation('new/1')
EXECUTOR = Incarnation('executor/1')
POST = RequestKey('pelabuhan', 'invoice-7')
BODY = Digest('body')


def run_of(request: RequestKey, home: Incarnation, attempt: int = 1) -> RunId:
    """Return an attempt of a request."""
    return RunId(request.organisation, request.key, home, attempt)


def claim_by(
    home: Incarnation,
    epoch: int,
    *,
    attempt: int = 1,
    body: Digest = BODY,
) -> Claim:
    """Return a claim of the invoice by a home."""
    run = run_of(POST, home, attempt)
    return Claim(POST, body, 0, epoch, run, EXECUTOR)


class ClaimFoldTest(TestCase):
    """A request has one run, whoever owns its slot."""

    def setUp(self) -> None:
        super().setUp()
        self.fold = ClaimFold()
        self.offset = 0
        self.log_time = 0.0

    def apply(self, producer: Incarnation, record: ClaimRecord) -> ClaimVerdict:
        self.offset += 1
        return self.fold.apply(self.offset, self.log_time, producer, record)

    def take(self, owner: Incarnation, epoch: int, **options) -> ClaimVerdict:
        return self.apply(owner, TakeSlots(owner, (0,), (epoch,), **options))

    def test_only_first_takeover_of_an_epoch_counts(self) -> None:
        self.assertEqual(SlotsTaken((0,)), self.take(OLD, 0))
        self.assertEqual(SlotsTaken(()), self.take(NEW, 0))
        self.assertEqual(OLD, self.fold.slot(0).owner)

    def test_slots_are_taken_for_oneself_only(self) -> None:
        verdict = self.apply(NEW, TakeSlots(OLD, (0,), (0,)))
        self.assertEqual(Void(VoidReason.INVALID), verdict)

    def test_second_claim_finds_the_first(self) -> None:
        self.take(OLD, 0)
        run = run_of(POST, OLD)
        self.assertEqual(Claimed(run), self.apply(OLD, claim_by(OLD, 1)))
        held = self.apply(OLD, claim_by(OLD, 1, attempt=2))
        self.assertIsInstance(held, AlreadyClaimed)
        self.assertEqual(run, held.claim.run)

    def test_claim_of_a_paused_owner_is_void(self) -> None:
        self.take(OLD, 0)
        self.take(NEW, 1)
        verdict = self.apply(OLD, claim_by(OLD, 1))
        self.assertEqual(Void(VoidReason.STALE, NEW), verdict)

    def test_new_owner_finds_the_old_claim(self) -> None:
        self.take(OLD, 0)
        self.apply(OLD, claim_by(OLD, 1))
        self.take(NEW, 1)
        self.assertIsInstance(self.apply(NEW, claim_by(NEW, 2)), AlreadyClaimed)

    def test_other_body_conflicts(self) -> None:
        self.take(OLD, 0)
        self.apply(OLD, claim_by(OLD, 1))
        other = claim_by(OLD, 1, attempt=2, body=Digest('other'))
        self.assertEqual(Void(VoidReason.CONFLICT), self.apply(OLD, other))

    def test_same_key_of_another_organisation_is_free(self) -> None:
        self.take(OLD, 0)
        self.apply(OLD, claim_by(OLD, 1))
        request = RequestKey('cuponred', POST.key)
        run = run_of(request, OLD)
        claim = Claim(request, BODY, 0, 1, run, EXECUTOR)
        self.assertEqual(Claimed(run), self.apply(OLD, claim))

    def test_sealed_attempt_stays_refused_and_the_next_is_free(self) -> None:
        self.take(OLD, 0)
        self.apply(OLD, claim_by(OLD, 1))
        self.assertEqual(Noted(), self.apply(OLD, Seal(POST, 0, 1, 1)))
        again = self.apply(OLD, claim_by(OLD, 1))
        self.assertEqual(Void(VoidReason.SEALED), again)
        following = claim_by(OLD, 1, attempt=2)
        self.assertEqual(Claimed(following.run), self.apply(OLD, following))

    def test_run_with_an_outcome_is_not_sealed(self) -> None:
        self.take(OLD, 0)
        self.apply(OLD, claim_by(OLD, 1))
        self.apply(EXECUTOR, Outcome(run_of(POST, OLD), 201))
        self.assertIsInstance(
            self.apply(OLD, Seal(POST, 0, 1, 1)), AlreadyClaimed
        )
        self.assertEqual(201, self.fold.claim_of(POST).status)

    def test_outcome_from_another_process_is_void(self) -> None:
        self.take(OLD, 0)
        self.apply(OLD, claim_by(OLD, 1))
        verdict = self.apply(NEW, Outcome(run_of(POST, OLD), 201))
        self.assertEqual(Void(VoidReason.INVALID), verdict)
        self.assertIsNone(self.fold.claim_of(POST).status)

    def test_guarded_slot_stays_closed_after_a_takeover(self) -> None:
        self.take(OLD, 0, window_s=100.0, guard_after_s=40.0)
        self.log_time = 10.0
        self.take(NEW, 1, window_s=100.0)
        self.log_time = 209.0
        closed = self.apply(NEW, claim_by(NEW, 2))
        self.assertEqual(Void(VoidReason.CLOSED, NEW), closed)
        self.log_time = 210.0
        self.assertIsInstance(self.apply(NEW, claim_by(NEW, 2)), Claimed)

    def test_owner_that_stopped_before_its_guard_leaves_slot_open(self) -> None:
        self.take(OLD, 0, guard_after_s=40.0)
        self.log_time = 100.0
        self.apply(OLD, TakeSlots(OLD, (), (), seen=95.0))
        self.log_time = 124.0
        self.take(NEW, 1, replaced=True)
        self.assertIsInstance(self.apply(NEW, claim_by(NEW, 2)), Claimed)

    def test_owner_that_stopped_after_its_guard_leaves_slot_closed(
        self,
    ) -> None:
        self.take(OLD, 0, guard_after_s=40.0)
        self.log_time = 100.0
        self.apply(OLD, TakeSlots(OLD, (), (), seen=95.0))
        self.log_time = 125.0
        self.take(NEW, 1, replaced=True)
        closed = self.apply(NEW, claim_by(NEW, 2))
        self.assertEqual(Void(VoidReason.CLOSED, NEW), closed)

    def test_owner_that_ends_its_guard_leaves_the_slot_open(self) -> None:
        self.take(OLD, 0, guard_after_s=40.0)
        self.take(OLD, 1)
        self.take(NEW, 2)
        self.assertIsInstance(self.apply(NEW, claim_by(NEW, 3)), Claimed)

    def test_claims_expire_by_log_time(self) -> None:
        self.take(OLD, 0, window_s=100.0)
        self.apply(OLD, claim_by(OLD, 1))
        self.log_time = 100.0
        self.assertIsInstance(self.apply(OLD, claim_by(OLD, 1)), Claimed)

    def test_snapshot_restores_slots_and_claims(self) -> None:
        self.take(OLD, 0)
        self.apply(OLD, claim_by(OLD, 1))
        restored = ClaimFold()
        restored.restore(self.fold.snapshot())
        self.assertEqual(self.fold.snapshot(), restored.snapshot())
        verdict = restored.apply(9, 0.0, OLD, claim_by(OLD, 1, attempt=2))
        self.assertIsInstance(verdict, AlreadyClaimed)

    def test_unowned_slot_has_no_epoch(self) -> None:
        self.assertEqual(Slot(), self.fold.slot(5))

    def test_slot_of_a_key_depends_on_its_organisation(self) -> None:
        keys = (RequestKey('a', 'bc'), RequestKey('ab', 'c'))
        slots = {slot_of(key, 4096) for key in keys}
        self.assertEqual(2, len(slots))


HOMES = st.sampled_from((OLD, NEW, Incarnation('third/1')))
REQUESTS = st.sampled_from((POST, RequestKey('cuponred', 'coupon-1')))


class ClaimMachine(RuleBasedStateMachine):
    """Appends late, repeated and stale records of racing homes.

    Invariant: a run begins on each ``Claimed`` verdict, and no request has
    two runs of which neither was sealed by its executor.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fold = ClaimFold()
        self.sent: list[tuple[Incarnation, ClaimRecord]] = []
        self.begun: dict[RequestKey, list[RunId]] = {}
        self.sealed: set[RunId] = set()
        self.log_time = 0.0

    def append(self, producer: Incarnation, record: ClaimRecord) -> None:
        self.sent.append((producer, record))
        verdict = self.fold.apply(0, self.log_time, producer, record)
        if isinstance(verdict, Claimed):
            runs = self.begun.setdefault(record.request, [])
            runs.append(verdict.run)

    @rule(
        home=HOMES,
        lag=st.integers(0, 2),
        guard_after_s=st.sampled_from((0.0, 3.0)),
        replaced=st.booleans(),
    )
    def take(
        self, home: Incarnation, lag: int, guard_after_s: float, replaced: bool
    ) -> None:
        epoch = max(self.fold.slot(0).epoch - lag, 0)
        seen = self.fold.log_time
        record = TakeSlots(
            home, (0,), (epoch,), 1000.0, guard_after_s, seen, replaced
        )
        self.append(home, record)

    @rule(
        home=HOMES,
        request=REQUESTS,
        lag=st.integers(0, 2),
        attempt=st.integers(1, 3),
    )
    def claim(
        self, home: Incarnation, request: RequestKey, lag: int, attempt: int
    ) -> None:
        epoch = max(self.fold.slot(0).epoch - lag, 0)
        run = run_of(request, home, attempt)
        if run in self.sealed:
            return
        self.append(home, Claim(request, BODY, 0, epoch, run, EXECUTOR))

    @rule(home=HOMES, request=REQUESTS)
    def seal_at_executor(self, home: Incarnation, request: RequestKey) -> None:
        claim = self.fold.claim_of(request)
        if claim is None or claim.status is not None:
            return
        self.sealed.add(claim.run)
        epoch = self.fold.slot(0).epoch
        self.append(home, Seal(request, 0, epoch, claim.run.attempt))

    @rule(request=REQUESTS, status=st.sampled_from((200, 409)))
    def finish(self, request: RequestKey, status: int) -> None:
        claim = self.fold.claim_of(request)
        if claim is not None and claim.run not in self.sealed:
            self.append(EXECUTOR, Outcome(claim.run, status))

    @rule(choice=st.randoms(use_true_random=False))
    def repeat(self, choice) -> None:
        if self.sent:
            self.append(*choice.choice(self.sent))

    @rule(step_s=st.floats(0, 5))
    def pass_time(self, step_s: float) -> None:
        self.log_time += step_s

    @rule()
    def restart(self) -> None:
        restored = ClaimFold()
        restored.restore(self.fold.snapshot())
        self.fold = restored

    @invariant()
    def at_most_one_run(self) -> None:
        for runs in self.begun.values():
            unsealed = [run for run in runs if run not in self.sealed]
            assert len(unsealed) <= 1, unsealed


class AtMostOnceTest(TestCase):
    """Runs the state machine."""

    def test_no_order_of_records_gives_two_runs(self) -> None:
        run_state_machine_as_test(
            ClaimMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=150,
                stateful_step_count=40,
            ),
        )
