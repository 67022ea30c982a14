"""Tests of the grant protocol against its invariants.

Holders, sidecars and the log exchange messages that are delayed, repeated
and lost; holders pause, are retired and resume. Tokens consumed plus the
bounds of running requests must never exceed the top-ups.
"""

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from returns.result import Success
from testtools import TestCase

from dandelioncleat.core.deduplication import SequenceMarks
from dandelioncleat.core.draws import total_tokens
from dandelioncleat.core.fleet import FleetFold
from dandelioncleat.core.granted_tokens import GrantedTokens
from dandelioncleat.core.identity import Draw, GrantId, Incarnation, RunId
from dandelioncleat.core.ledger import LedgerFold
from dandelioncleat.core.ledger_verdict import Granted, LedgerVerdict
from dandelioncleat.core.record import (
    Bill,
    CompleteRetirement,
    Drained,
    FleetRecord,
    LedgerRecord,
    Replace,
    RequestGrant,
    Retire,
    ReturnGrant,
)
from tests.builders.ledger import BUDGET, router_join, sidecar_join, top_up


class Sent(NamedTuple):
    """An envelope of one record."""

    producer: Incarnation
    sequence: int
    record: LedgerRecord


class Ledger:
    """The ledger stream of the log and the verdicts of its fold."""

    def __init__(self) -> None:
        self.fold = LedgerFold()
        self.marks = SequenceMarks()
        self.verdicts: list[tuple[Sent, LedgerVerdict]] = []

    def append(self, sent: Sent) -> None:
        if self.marks.admit(sent.producer, sent.sequence):
            verdict = self.fold.apply(0, 0.5, sent.producer, sent.record)
            self.verdicts.append((sent, verdict))


class Producer:
    """A process that repeats each append until it is acknowledged."""

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.queue: list[Sent] = []
        self.sequence = 0

    def send(self, record: LedgerRecord) -> None:
        self.sequence += 1
        self.queue.append(Sent(self.incarnation, self.sequence, record))


class Holder(Producer):
    """A router with granted tokens; it applies the verdicts that it reads."""

    def __init__(self, incarnation: Incarnation) -> None:
        super().__init__(incarnation)
        self.wallet = GrantedTokens()
        self.read = 0
        self.grants = 0


class Run(NamedTuple):
    """A dispatched run and the holder that its draws come from."""

    run: RunId
    draws: tuple[Draw, ...]
    holder: Holder


class Sidecar(Producer):
    """An executor that refuses draws of holders that it knows as retired."""

    def __init__(self, incarnation: Incarnation) -> None:
        super().__init__(incarnation)
        self.refused: set[Incarnation] = set()
        self.running: list[Run] = []


places = st.integers(0, 2)
amounts = st.integers(1, 50)
booleans = st.booleans()
progresses = st.integers(0, 3)
MAX_TOP_UPS = 100


class EscrowMachine(RuleBasedStateMachine):
    """Interleaves the steps of three holders and two sidecars."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = Ledger()
        self.fleet = FleetFold()
        self.fleet_records: list[FleetRecord] = []
        self.operator = Producer(Incarnation('operator/1'))
        self.starts = 0
        self.holders = [self.new_holder(place) for place in range(3)]
        self.paused: list[Holder] = []
        self.sidecars = [
            Sidecar(Incarnation(f'target-{number}/1')) for number in range(2)
        ]
        self.dispatched: list[Run] = []
        self.transfers: list[tuple[Draw, ...]] = []
        self.topped_up = 0
        self.consumed = 0
        self.unbilled: list[Draw] = []
        self.runs = 0

    def new_holder(self, place: int) -> Holder:
        self.starts += 1
        holder = Holder(Incarnation(f'router-{place}/{self.starts}'))
        self.append_fleet(router_join(holder.incarnation))
        return holder

    def append_fleet(self, record: FleetRecord) -> None:
        self.fleet_records.append(record)
        self.fleet.apply(len(self.fleet_records), 0.5, Incarnation(''), record)

    @initialize()
    def start(self) -> None:
        for sidecar in self.sidecars:
            self.append_fleet(sidecar_join(sidecar.incarnation))
        self.add(60)
        self.flush(self.operator)
        for place in range(3):
            self.request(place, 20, 1, is_immediate=True)

    def flush(self, producer: Producer) -> None:
        while producer.queue:
            self.ledger.append(producer.queue.pop(0))

    @precondition(lambda self: self.topped_up < MAX_TOP_UPS)
    @rule(tokens=amounts)
    def add(self, tokens: int) -> None:
        self.topped_up += tokens
        self.operator.send(top_up(tokens, f'reference-{self.topped_up}'))

    @rule(who=st.integers(0, 9), is_answered=booleans)
    def append(self, who: int, is_answered: bool) -> None:
        producers = [
            *self.holders,
            *self.paused,
            *self.sidecars,
            self.operator,
        ]
        producer = producers[who % len(producers)]
        if producer.queue:
            self.ledger.append(producer.queue[0])
            if is_answered:
                producer.queue.pop(0)

    @rule(place=places, tokens=amounts, least=amounts, is_immediate=booleans)
    def request(
        self, place: int, tokens: int, least: int, is_immediate: bool
    ) -> None:
        holder = self.holders[place]
        holder.grants += 1
        grant = GrantId(holder.incarnation, holder.grants)
        holder.send(RequestGrant(grant, BUDGET, tokens, min(least, tokens)))
        if is_immediate:
            self.flush(holder)
            self.read(place)

    @rule(place=places)
    def read(self, place: int) -> None:
        holder = self.holders[place]
        for sent, verdict in self.ledger.verdicts[holder.read :]:
            is_own = sent.producer == holder.incarnation
            if is_own and isinstance(verdict, Granted):
                holder.wallet.add(Draw(verdict.grant, verdict.tokens))
        holder.read = len(self.ledger.verdicts)

    @rule(place=places, tokens=amounts)
    def return_tokens(self, place: int, tokens: int) -> None:
        holder = self.holders[place]
        for draw in holder.wallet.take(tokens):
            holder.send(ReturnGrant(draw.grant, draw.tokens))

    @rule(place=places, tokens=amounts)
    def send_transfer(self, place: int, tokens: int) -> None:
        part = self.holders[place].wallet.take(tokens)
        if part:
            self.transfers.append(part)

    @precondition(lambda self: self.transfers)
    @rule(place=places, is_lost=booleans)
    def receive_transfer(self, place: int, is_lost: bool) -> None:
        part = self.transfers.pop(0)
        if not is_lost:
            self.holders[place].wallet.add(*part)

    @rule(
        place=places,
        share=st.integers(1, 4),
        key=st.integers(1, 2),
        number=st.integers(0, 1),
        progress=progresses,
    )
    def dispatch(
        self, place: int, share: int, key: int, number: int, progress: int
    ) -> None:
        holder = self.holders[place]
        tokens = holder.wallet.spendable * share // 4
        if not tokens:
            return
        reserved = holder.wallet.reserve(tokens)
        if isinstance(reserved, Success):
            self.runs += 1
            run = RunId('port', f'key-{key}', Incarnation('home/1'), self.runs)
            self.dispatched.append(Run(run, reserved.unwrap(), holder))
            if progress > 0:
                self.arrive(number, -1)
            if progress > 1:
                self.finish(number, 4, settles=True, is_immediate=progress > 2)

    @precondition(lambda self: self.dispatched)
    @rule(number=st.integers(0, 1), which=st.integers(0, 9))
    def arrive(self, number: int, which: int) -> None:
        run = self.dispatched.pop(which % len(self.dispatched))
        sidecar = self.sidecars[number]
        holders = {draw.grant.holder for draw in run.draws}
        if holders & sidecar.refused:
            run.holder.wallet.settle(run.draws, 0)
        else:
            sidecar.running.append(run)

    @rule(
        number=st.integers(0, 1),
        share=st.integers(0, 4),
        settles=booleans,
        is_immediate=booleans,
    )
    def finish(
        self, number: int, share: int, settles: bool, is_immediate: bool
    ) -> None:
        sidecar = self.sidecars[number]
        if not sidecar.running:
            return
        run = sidecar.running.pop(0)
        tokens = total_tokens(run.draws) * share // 4
        self.consumed += tokens
        bill = Bill(BUDGET, run.run, run.draws, tokens, sidecar.incarnation)
        sidecar.send(bill)
        if is_immediate:
            self.flush(sidecar)
        if settles:
            run.holder.wallet.settle(run.draws, tokens)
            run.holder.send(bill)

    @rule(number=st.integers(0, 1), share=st.integers(0, 4))
    def crash_sidecar(self, number: int, share: int) -> None:
        old = self.sidecars[number]
        for run in old.running:
            self.consumed += total_tokens(run.draws) * share // 4
            self.unbilled.extend(run.draws)
        self.starts += 1
        new = Sidecar(Incarnation(f'target-{number}/{self.starts}'))
        new.refused = set(self.fleet.retired_by_holder)
        self.sidecars[number] = new
        self.append_fleet(sidecar_join(new.incarnation))
        self.append_fleet(Replace(old.incarnation, new.incarnation))

    @rule(place=places, progress=progresses)
    def replace_paused_holder(self, place: int, progress: int) -> None:
        old = self.holders[place]
        self.paused.append(old)
        self.holders[place] = self.new_holder(place)
        self.append_fleet(Retire(old.incarnation, 'test'))
        for number in range(min(progress, 2)):
            self.refuse_retired(number)
            self.drain(number)
        if progress > 2:
            self.complete(is_immediate=True)
            self.request(place, 50, 1, is_immediate=True)

    @precondition(lambda self: self.paused)
    @rule(place=places)
    def resume_paused_holder(self, place: int) -> None:
        self.paused.append(self.holders[place])
        self.holders[place] = self.paused.pop(0)

    @rule(number=st.integers(0, 1))
    def refuse_retired(self, number: int) -> None:
        sidecar = self.sidecars[number]
        sidecar.refused = set(self.fleet.retired_by_holder)

    @rule(number=st.integers(0, 1))
    def drain(self, number: int) -> None:
        sidecar = self.sidecars[number]
        self.flush(sidecar)
        in_use = {
            draw.grant.holder for run in sidecar.running for draw in run.draws
        }
        for holder in sorted(sidecar.refused - in_use):
            self.append_fleet(Drained(holder, sidecar.incarnation))

    @rule(is_immediate=booleans)
    def complete(self, is_immediate: bool) -> None:
        for holder in self.fleet.retired_by_holder:
            if self.fleet.retirement_complete(holder):
                self.operator.send(CompleteRetirement(holder))
        if is_immediate:
            self.flush(self.operator)

    @invariant()
    def frees_no_holder_with_unbilled_work(self) -> None:
        holders = {draw.grant.holder for draw in self.unbilled}
        assert not any(map(self.fleet.retirement_complete, holders))

    @invariant()
    def consumes_no_more_than_was_prepaid(self) -> None:
        bounds = sum(
            total_tokens(run.draws)
            for sidecar in self.sidecars
            for run in sidecar.running
        )
        assert self.consumed + bounds <= self.topped_up
        balance = self.ledger.fold.balance(BUDGET)
        assert balance.late == 0
        assert balance.left >= 0


class EscrowTest(TestCase):
    def test_random_steps_never_overspend(self) -> None:
        run_state_machine_as_test(
            EscrowMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=500,
                stateful_step_count=60,
            ),
        )
