"""Tests that each measure detects the fault that it measures."""

from testtools import TestCase
from testtools.matchers import Equals

from dandelioncleat.core.failure import Code
from dandelioncleat.core.request import RequestOutcome
from dandelioncleat.replay.evaluation import evaluate, measure_all
from dandelioncleat.replay.facts import (
    Charge,
    Facts,
    FleetConditions,
    Interval,
    TopUpFact,
    VersionFact,
)
from dandelioncleat.replay.measure import Measure
from dandelioncleat.replay.trace import Expect
from tests.builders import replay as build

LOG_UNREACHABLE = FleetConditions(
    balance=1000, has_free_slot=True, is_log_reachable=False
)
LOW_BALANCE = FleetConditions(
    balance=49, has_free_slot=True, is_log_reachable=True
)
NO_FREE_SLOT = FleetConditions(
    balance=1000, has_free_slot=False, is_log_reachable=True
)

FAULTY_REPLAYS: dict[Measure, tuple[Facts, float]] = {
    Measure.OVERSPEND_TOKENS: (
        build.facts(top_ups=(TopUpFact(0, 'agents', 30),)),
        20,
    ),
    Measure.FALSE_REFUSALS: (build.facts(answers=(build.refusal(),)), 1),
    Measure.FALSE_REFUSAL_SHARE: (
        build.facts(answers=(build.refusal(), build.answer())),
        0.5,
    ),
    Measure.DOUBLE_RUNS: (
        build.facts(runs=(build.target_run(idempotent=False),) * 2),
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
            lost_sidecars=(Interval('t1', 1.5, 9),),
        ),
        1,
    ),
    Measure.REFUSED_FOR_SAFETY: (
        build.facts(
            answers=(
                build.refusal(
                    Code.LOG,
                    conditions=LOG_UNREACHABLE,
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
        build.facts(answers=(build.answer(data=b'who'),)),
        1,
    ),
    Measure.UNTRUE_NOT_RUN: (build.facts(answers=(build.refusal(),)), 1),
    Measure.CUT_IN_PLANNED_STOP: (
        build.facts(
            answers=(
                build.answer(
                    end=build.answer_end(RequestOutcome.UNKNOWN),
                    during_planned_stop=True,
                ),
            ),
        ),
        1,
    ),
    Measure.WORK_AFTER_LEAVE_S: (
        build.facts(leaving_since_by_target={'t1': 0.2}),
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
            answers=(
                build.answer(end=build.answer_end(RequestOutcome.UNKNOWN)),
            ),
        ),
        1,
    ),
    Measure.STRANDED_TOKENS: (build.facts(stranded_tokens=7), 7),
    Measure.TTFT_P95_S: (
        build.facts(answers=(build.answer(first_token_at=4),)),
        3,
    ),
    Measure.TOKEN_GAP_P95_MS: (
        build.facts(answers=(build.answer(gaps_s=(0.05, 0.05)),)),
        50,
    ),
    Measure.GOODPUT_SHARE: (
        build.facts(answers=(build.answer(ended_at=70),)),
        0,
    ),
}

FAULTLESS_VALUES = {
    Measure.TTFT_P95_S: 0.5,
    Measure.TOKEN_GAP_P95_MS: 10,
    Measure.GOODPUT_SHARE: 1,
    Measure.PATCHES_ACCEPTED: 1,
    Measure.CONFIG_CONVERGENCE_S: 1,
}


class EvaluationTest(TestCase):
    def test_every_measure_has_a_faulty_replay(self) -> None:
        self.assertThat(set(FAULTY_REPLAYS), Equals(set(Measure)))

    def test_faultless_replay_passes_every_measure(self) -> None:
        faultless = {str(key): FAULTLESS_VALUES.get(key, 0) for key in Measure}
        self.assertThat(measure_all(build.facts()), Equals(faultless))

    def test_every_measure_detects_its_fault(self) -> None:
        for measure, (faulty, value) in FAULTY_REPLAYS.items():
            self.assertThat(
                measure_all(faulty)[measure],
                Equals(value),
                measure,
            )

    def test_expectation_outside_its_bound_is_not_met(self) -> None:
        line = Expect('overspend_tokens', at_most=0)
        faulty, _ = FAULTY_REPLAYS[Measure.OVERSPEND_TOKENS]
        self.assertThat(evaluate(faulty, [line])[0].met, Equals(False))
        self.assertThat(evaluate(build.facts(), [line])[0].met, Equals(True))
        minimum = Expect('goodput_share', at_least=0.99)
        late, _ = FAULTY_REPLAYS[Measure.GOODPUT_SHARE]
        self.assertThat(evaluate(late, [minimum])[0].met, Equals(False))

    def test_justified_refusals_are_not_counted_as_false(self) -> None:
        for justified in (
            build.refusal(conditions=LOW_BALANCE),
            build.refusal(conditions=NO_FREE_SLOT),
            build.refusal(Code.POISON),
            build.refusal(
                Code.LOG, conditions=LOG_UNREACHABLE, idempotent=False
            ),
        ):
            measured = measure_all(build.facts(answers=(justified,)))
            self.assertThat(measured['false_refusals'], Equals(0))

    def test_lost_run_beside_a_billed_one_is_unreconciled(self) -> None:
        lost = build.target_run(tokens=30)._replace(target='t2', ended_at=1.6)
        with_loss = build.facts(
            runs=(lost, build.target_run()),
            lost_sidecars=(Interval('t2', 1.5, 9),),
        )
        measured = measure_all(with_loss)
        self.assertThat(measured['unreconciled_requests'], Equals(1))
        self.assertThat(measured['bill_error_tokens'], Equals(0))
        without_loss = with_loss._replace(lost_sidecars=())
        self.assertThat(
            measure_all(without_loss)['bill_error_tokens'], Equals(30)
        )

    def test_convergence_excludes_the_absence_of_a_process(self) -> None:
        absent = build.facts(
            accepted_at_by_version={2: 1},
            absences=(Interval('r1', 0, 4.5),),
        )
        measured = measure_all(absent)['config_convergence_s']
        self.assertThat(measured, Equals(0.5))
