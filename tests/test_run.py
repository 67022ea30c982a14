"""Tests of a run's states and of the store of answers."""

import msgspec
from testtools import TestCase
from transitions import MachineError

from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.run import Run, Runs, RunState, Trace
from tests.builders.sidecar import new_dispatch, new_ending, run_id

SEALED = Failure(Code.SEALED, 'run', 'sidecar/1', 'sealed')


def ended_run(key: str, answer: bytes = b'answer') -> Run:
    """Return a finished run."""
    run = Run(new_dispatch(key=key))
    run.start()
    run.answer.add(answer, 2)
    run.finish(new_ending())
    return run


class RunTest(TestCase):
    """A run moves forward only."""

    def test_answer_is_read_from_any_piece(self) -> None:
        run = Run(new_dispatch())
        run.start()
        run.answer.add(b'one ', 1)
        run.answer.add(b'two ', 2)
        run.answer.add(b'three', 3)
        chunk = run.chunk(4)
        self.assertEqual((b'two three', 5), (chunk.data, chunk.tokens))
        self.assertIsNone(run.chunk(13))

    def test_cut_answer_never_looks_whole(self) -> None:
        run = Run(new_dispatch())
        run.start()
        run.answer.add(b'half', 1)
        run.cut(new_ending())
        self.assertFalse(run.finished().complete)

    def test_running_run_does_not_start_again(self) -> None:
        run = Run(new_dispatch())
        run.start()
        self.assertRaises(MachineError, run.start)

    def test_sealed_run_does_not_start(self) -> None:
        run = Run(new_dispatch())
        run.seal(SEALED)
        self.assertRaises(MachineError, run.start)
        self.assertFalse(run.began)
        self.assertEqual(RunState.SEALED, run.state)

    def test_ended_run_is_not_sealed(self) -> None:
        run = ended_run('a')
        self.assertRaises(MachineError, run.seal, SEALED)
        self.assertTrue(run.finished().complete)


class RunsTest(TestCase):
    """Memory is bounded, and what was forgotten is not denied."""

    def test_oldest_answers_are_forgotten_first(self) -> None:
        runs = Runs(max_answer_bytes=10)
        for key in ('a', 'b'):
            runs.end(ended_run(key))
        self.assertFalse(runs.get(run_id('a')).answer.is_retained)
        self.assertTrue(runs.get(run_id('b')).answer.is_retained)
        self.assertEqual(6, runs.get(run_id('a')).finished().size)

    def test_forgotten_run_leaves_a_trace(self) -> None:
        runs = Runs(max_ended=1)
        for key in ('a', 'b'):
            runs.end(ended_run(key))
        self.assertEqual(Trace(began=True), runs.get(run_id('a')))
        self.assertTrue(runs.complete)

    def test_seal_of_an_unknown_run_is_remembered(self) -> None:
        runs = Runs()
        runs.mark_sealed(run_id('a'))
        self.assertEqual(Trace(began=False), runs.get(run_id('a')))

    def test_lost_traces_are_admitted(self) -> None:
        runs = Runs(max_ended=1, max_traces=1)
        for key in ('a', 'b', 'c'):
            self.assertTrue(runs.complete)
            runs.end(ended_run(key))
        self.assertFalse(runs.complete)

    def test_many_seals_do_not_hide_that_a_run_began(self) -> None:
        runs = Runs(max_ended=0, max_traces=1)
        runs.end(ended_run('a'))
        for key in ('b', 'c'):
            runs.mark_sealed(run_id(key))
        self.assertTrue(runs.complete)
        self.assertEqual(Trace(began=True), runs.get(run_id('a')))

    def test_bodies_of_ended_runs_are_freed(self) -> None:
        run = ended_run('a')
        run.dispatch = msgspec.structs.replace(run.dispatch, body=b'long')
        runs = Runs()
        runs.end(run)
        self.assertEqual(b'', run.dispatch.body)
