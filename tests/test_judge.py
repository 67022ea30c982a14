"""Tests that each measure of the judge can fail."""

from testtools import TestCase
from testtools.matchers import Equals

from dandelioncleat.core.failure import Code
from dandelioncleat.core.request import RequestOutcome
from dandelioncleat.replay.facts import (
    Charge,
    Circumstances,
    Facts,
    Span,
    TopUpFact,
    VersionFact,
)
from dandelioncleat.replay.judge import judge, measure_all
from dandelioncleat.replay.measure import Measure
from dandelioncleat.replay.trace import Expect
from tests.builders import replay as build

LOG_OUT = Circumstances(balance=1000, free_slot=True, log_in_reach=False)
POOR = Circumstances(balance=49, free_slot=True, log_in_reach=True)
BUSY = Circumstances(balance=1000, free_slot=False, log_in_reach=True)

BROKEN: dict[Measure, tuple[Facts, float]] = {
    Measure.OVERSPEND_TOKENS: (
        build.facts(top_ups=(TopUpFact(0, 'agents', 30),)),
        20,
    ),
    Measure.FALSE_REFUSALS: (build.facts(receipts=(build.refusal(),)), 1),
    Measure.FALSE_REFUSAL_SHARE: (
        build.facts(receipts=(build.refusal(), build.receipt())),
        0.5,
    ),
    Measure.DOUBLE_RUNS: (
        build.facts(runs=(build.ran(idempotent=False),) * 2),
        1,
    ),
    Measure.DOUBLE_BILLS: (
        build.facts(charges_by_key={build.KEY: Charge(2, 50)}),
        1,
    ),
    Measure.UNBILLED_REQUESTS: (build.facts(charges_by_key={}), 1),
    Measure.UNRECONCILED_REQUESTS: (
        build.facts(
            charges_by_key={},
            lost_sidecars=(Span('t1', 1.5, 9),),
        ),
        1,
    ),
    Measure.REFUSED_FOR_SAFETY: (
        build.facts(
            receipts=(
                build.refusal(
                    Code.LOG,
                    circumstances=LOG_OUT,
                    idempotent=False,
                ),
            ),
        ),
        1,
    ),
    Measure.BILL_ERROR_TOKENS: (
        build.facts(charges_by_key={build.KEY: Charge(1, 44)}),
        6,
    ),
    Measure.WRONG_ANSWERS: (
        build.facts(receipts=(build.receipt(data=b'who'),)),
        1,
    ),
    Measure.UNTRUE_NOT_RUN: (build.facts(receipts=(build.refusal(),)), 1),
    Measure.CUT_IN_PLANNED_STOP: (
        build.facts(
            receipts=(
                build.receipt(
                    end=build.answer_end(RequestOutcome.UNKNOWN),
                    during_planned_stop=True,
                ),
            ),
        ),
        1,
    ),
    Measure.WORK_AFTER_LEAVE_S: (
        build.facts(leaves_by_target={'t1': 0.2}),
        1.0,
    ),
    Measure.CONFIG_CONVERGENCE_S: (
        build.facts(accepted_at_by_version={2: 1}),
        4,
    ),
    Measure.CONFIG_REVERTS: (
        build.facts(
            versions=(VersionFact(0, 'r1', 2), VersionFact(1, 'r1', 1)),
            accepted_at_by_version={},
        ),
        1,
    ),
    Measure.PATCHES_ACCEPTED: (build.facts(accepted_at_by_version={}), 0),
    Measure.UNKNOWN_OUTCOMES: (
        build.facts(
            receipts=(
                build.receipt(end=build.answer_end(RequestOutcome.UNKNOWN)),
            ),
        ),
        1,
    ),
    Measure.STRANDED_TOKENS: (build.facts(stranded_tokens=7), 7),
    Measure.TTFT_P95_S: (
        build.facts(receipts=(build.receipt(first_token_at=4),)),
        3,
    ),
    Measure.TOKEN_GAP_P95_MS: (
        build.facts(receipts=(build.receipt(gaps_s=(0.05, 0.05)),)),
        50,
    ),
    Measure.GOODPUT_SHARE: (
        build.facts(receipts=(build.receipt(ended_at=70),)),
        0,
    ),
}

GOOD = {
    Measure.TTFT_P95_S: 0.5,
    Measure.TOKEN_GAP_P95_MS: 10,
    Measure.GOODPUT_SHARE: 1,
    Measure.PATCHES_ACCEPTED: 1,
    Measure.CONFIG_CONVERGENCE_S: 1,
}


class JudgeTest(TestCase):
    def test_every_measure_has_a_case(self) -> None:
        self.assertThat(set(BROKEN), Equals(set(Measure)))

    def test_a_good_replay_passes_every_measure(self) -> None:
        good = {str(key): GOOD.get(key, 0) for key in Measure}
        self.assertThat(measure_all(build.facts()), Equals(good))

    def test_every_measure_shows_its_break(self) -> None:
        for measure, (broken, value) in BROKEN.items():
            self.assertThat(
                measure_all(broken)[measure],
                Equals(value),
                measure,
            )

    def test_a_missed_bound_is_a_finding(self) -> None:
        line = Expect('overspend_tokens', at_most=0)
        broken, _ = BROKEN[Measure.OVERSPEND_TOKENS]
        self.assertThat(judge(broken, [line])[0].met, Equals(False))
        self.assertThat(judge(build.facts(), [line])[0].met, Equals(True))
        least = Expect('goodput_share', at_least=0.99)
        late, _ = BROKEN[Measure.GOODPUT_SHARE]
        self.assertThat(judge(late, [least])[0].met, Equals(False))

    def test_refusals_that_are_not_false(self) -> None:
        for honest in (
            build.refusal(circumstances=POOR),
            build.refusal(circumstances=BUSY),
            build.refusal(Code.POISON),
            build.refusal(Code.LOG, circumstances=LOG_OUT, idempotent=False),
        ):
            measured = measure_all(build.facts(receipts=(honest,)))
            self.assertThat(measured['false_refusals'], Equals(0))

    def test_a_lost_run_beside_a_billed_one_is_unreconciled(self) -> None:
        lost = build.ran(tokens=30)._replace(target='t2', ended_at=1.6)
        found = build.facts(
            runs=(lost, build.ran()),
            lost_sidecars=(Span('t2', 1.5, 9),),
        )
        measured = measure_all(found)
        self.assertThat(measured['unreconciled_requests'], Equals(1))
        self.assertThat(measured['bill_error_tokens'], Equals(0))
        kept = found._replace(lost_sidecars=())
        self.assertThat(measure_all(kept)['bill_error_tokens'], Equals(30))

    def test_an_absent_process_is_not_waited_for(self) -> None:
        away = build.facts(
            accepted_at_by_version={2: 1},
            absences=(Span('r1', 0, 4.5),),
        )
        measured = measure_all(away)['config_convergence_s']
        self.assertThat(measured, Equals(0.5))
