"""Tests of an executor: what it refuses, runs, interrupts and bills."""

import asyncio
from contextlib import aclosing, asynccontextmanager, nullcontext

import msgspec
from testtools import TestCase

from dandelioncleat.adapters import virtual_time
from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app.executor import Executor
from dandelioncleat.app.executor_parts import ExecutorIdentity, ExecutorParts
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.failure import Code
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import (
    Cancel,
    Chunk,
    Finished,
    Refusal,
    Resume,
    SealRun,
)
from dandelioncleat.core.record import Crash, Retire
from dandelioncleat.ports.target import Ended, Piece
from dandelioncleat.ports.telemetry import NullTelemetry
from dandelioncleat.standin.log import MemoryLog
from tests.builders.sidecar import (
    ROUTER,
    SIDECAR,
    FakeBills,
    FakeTarget,
    new_configuration,
    new_dispatch,
    run_id,
    target_error,
)

SETTLE_S = 0.2


class SpanTelemetry(NullTelemetry):
    """Records each span's name with its parent."""

    def __init__(self) -> None:
        self.spans: list[str] = []

    def span(self, name, /, *, traceparent='', **attributes):
        self.spans.append(f'{traceparent}/{name}')
        return nullcontext(self.spans[-1])


class ExecutorHarness:
    """An executor with a fake target, a log and bills for inspection."""

    def __init__(self, service: str = 'llm', **settings) -> None:
        self.target = FakeTarget()
        self.bills = FakeBills()
        self.telemetry = SpanTelemetry()
        self.log = MemoryLog()
        self.configuration = new_configuration(**settings)
        self.fleet = FleetKeeper(log=self.log, producer=SIDECAR)
        self.refusal_code: Code | None = None
        self.ended = []
        self.tasks = TaskScope()
        parts = ExecutorParts(
            identity=ExecutorIdentity(SIDECAR, f'{service}-1', service),
            client=self.target,
            configuration=lambda: self.configuration,
            fleet=self.fleet,
            bills=self.bills,
            telemetry=self.telemetry,
            refusal_code=lambda: self.refusal_code,
            on_ended=self.ended.append,
        )
        self.executor = Executor(parts, self.tasks)

    @asynccontextmanager
    async def running(self):
        async with asyncio.TaskGroup() as group:
            self.tasks.open(group)
            keeper = group.create_task(self.fleet.run())
            yield
            keeper.cancel()

    def read(self, messages) -> asyncio.Task:
        """Collect an answer in the background."""
        return asyncio.create_task(collect(messages))

    async def dispatch(self, **options) -> asyncio.Task:
        """Dispatch a request and let it reach the target."""
        dispatch = new_dispatch(**options)
        task = self.read(self.executor.dispatch(dispatch))
        await asyncio.sleep(0.01)
        return task

    async def refusal(self, **options) -> Refusal:
        """Dispatch a request and return its refusal."""
        messages = await collect(
            self.executor.dispatch(new_dispatch(**options))
        )
        assert len(messages) == 1, messages
        return messages[0]


async def collect(messages) -> list:
    """Return all messages of an answer."""
    return [message async for message in messages]


def text_of(messages) -> bytes:
    """Join the chunks of an answer."""
    return b''.join(one.data for one in messages if isinstance(one, Chunk))


def run_scenario(scenario, service: str = 'llm', **settings) -> None:
    """Run a test's scenario on virtual time."""

    async def main() -> None:
        harness = ExecutorHarness(service, **settings)
        async with harness.running():
            await scenario(harness)

    virtual_time.run(main())


class RefusalTest(TestCase):
    """Refused dispatches never reach the target."""

    def check(self, code: Code, **options) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            refusal = await harness.refusal(**options)
            self.assertEqual(code, refusal.code)
            self.assertFalse(refusal.ran)
            self.assertEqual([], harness.target.calls)

        run_scenario(scenario)

    def test_dispatch_to_another_incarnation(self) -> None:
        self.check(Code.FENCED, executor=Incarnation('sidecar/0'))

    def test_draws_below_the_worst_case(self) -> None:
        self.check(Code.INVALID, tokens=29, prompt_bound=10, cap=20)

    def test_expired_deadline(self) -> None:
        self.check(Code.DEADLINE, deadline_ms=0)

    def test_other_service(self) -> None:
        self.check(Code.INVALID, service='app')

    def test_leaving(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            harness.refusal_code = Code.LEAVING
            self.assertEqual(Code.LEAVING, (await harness.refusal()).code)

        run_scenario(scenario)

    def test_paused_holder_after_its_retirement_is_refused(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            await harness.fleet.submit(Retire(ROUTER, 'gone'))
            refusal = await harness.refusal()
            self.assertEqual(Code.FENCED, refusal.code)
            holder = Incarnation('router/2')
            other = await harness.dispatch(key='other', holder=holder)
            harness.target.answer(run_id('other'), b'fine')
            self.assertEqual(b'fine', text_of(await other))

        run_scenario(scenario)

    def test_dispatch_beyond_slots_and_queue_is_refused(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            tasks = [await harness.dispatch(key=key) for key in ('a', 'b')]
            refusal = await harness.refusal(key='c')
            self.assertEqual(Code.CAPACITY, refusal.code)
            self.assertGreater(refusal.retry_after_ms, 0)
            for key in ('a', 'b'):
                harness.target.answer(run_id(key), b'one')
            for task in tasks:
                self.assertTrue((await task)[-1].complete)
            repeated = await harness.refusal(key='c')
            self.assertEqual(
                (Code.SEALED, False), (repeated.code, repeated.ran)
            )

        run_scenario(scenario, slots=1, queue_limit=1)

    def test_queued_run_whose_deadline_passes_never_runs(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            first = await harness.dispatch(key='a')
            second = await harness.dispatch(key='b', deadline_ms=100)
            refusal = (await second)[0]
            self.assertEqual(Code.DEADLINE, refusal.code)
            self.assertFalse(refusal.ran)
            harness.target.answer(run_id('a'), b'one')
            await first
            self.assertEqual(1, len(harness.target.calls))

        run_scenario(scenario, slots=1)

    def test_unreachable_target_is_refused_as_not_run(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            harness.target.down = True
            refusal = await harness.refusal()
            self.assertEqual(Code.TARGET, refusal.code)
            self.assertFalse(refusal.ran)
            self.assertEqual([], harness.bills.bills)

        run_scenario(scenario)


class AnswerTest(TestCase):
    """Every reader receives the whole answer of its own run."""

    def test_pieces_are_coalesced_and_billed_once(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            task = await harness.dispatch()
            harness.target.answer(run_id(), b'a', b'b', b'c', b'd')
            messages = await task
            self.assertEqual(b'abcd', text_of(messages))
            self.assertLessEqual(len(messages), 3)
            self.assertEqual(11, messages[-1].tokens)
            self.assertEqual([11], [one.tokens for one in harness.bills.bills])

        run_scenario(scenario)

    def test_spans_of_sidecar_and_target_continue_the_trace(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            dispatch = new_dispatch()
            task = harness.read(harness.executor.dispatch(dispatch, 'router'))
            harness.target.answer(run_id(), b'x')
            await task
            self.assertEqual(
                ['router/sidecar', 'router/sidecar/target'],
                harness.telemetry.spans,
            )

        run_scenario(scenario)

    def test_repeated_dispatch_joins_the_run(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            first = await harness.dispatch()
            second = await harness.dispatch()
            harness.target.answer(run_id(), b'once')
            self.assertEqual(b'once', text_of(await first))
            self.assertEqual(b'once', text_of(await second))
            self.assertEqual(1, len(harness.target.calls))
            self.assertEqual(1, len(harness.bills.bills))

        run_scenario(scenario)

    def test_same_key_of_two_organisations_has_two_runs(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            first = await harness.dispatch(organisation='a')
            second = await harness.dispatch(organisation='b')
            harness.target.answer(run_id(organisation='b'), b'for b')
            harness.target.answer(run_id(organisation='a'), b'for a')
            self.assertEqual(b'for a', text_of(await first))
            self.assertEqual(b'for b', text_of(await second))

        run_scenario(scenario)

    def test_retry_resumes_the_running_stream_at_a_byte(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            first = harness.executor.dispatch(new_dispatch())
            async with aclosing(first):
                harness.target.feed(run_id(), Piece(b'one ', 1))
                self.assertEqual(b'one ', (await anext(first)).data)
            harness.target.answer(run_id(), b'two')
            resumed = Resume(run_id(), SIDECAR, 4)
            messages = await collect(harness.executor.resume(resumed))
            self.assertEqual(b'two', text_of(messages))
            self.assertEqual(4, messages[0].start)
            self.assertTrue(messages[-1].complete)
            whole = await collect(
                harness.executor.resume(Resume(run_id(), SIDECAR, 0)),
            )
            self.assertEqual(b'one two', text_of(whole))

        run_scenario(scenario)

    def test_resume_that_arrives_before_its_dispatch_waits(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            resumed = harness.read(
                harness.executor.resume(Resume(run_id(), SIDECAR, 0)),
            )
            await asyncio.sleep(0.5)
            await harness.dispatch()
            harness.target.answer(run_id(), b'here')
            self.assertEqual(b'here', text_of(await resumed))

        run_scenario(scenario)

    def test_resume_of_an_unknown_run_reports_that_it_may_have_run(
        self,
    ) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            resumed = Resume(run_id(), SIDECAR, 0)
            refusal = (await collect(harness.executor.resume(resumed)))[0]
            self.assertEqual(Code.NOT_FOUND, refusal.code)
            self.assertTrue(refusal.ran)

        run_scenario(scenario)

    def test_cap_is_enforced_where_the_target_ignores_it(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            task = await harness.dispatch(cap=2)
            harness.target.feed(run_id(), *[Piece(b'x', 1) for _ in range(5)])
            messages = await task
            self.assertEqual(b'xx', text_of(messages))
            self.assertEqual('length', messages[-1].reason)
            self.assertTrue(messages[-1].complete)

        run_scenario(scenario)

    def test_bill_never_exceeds_the_draws(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            task = await harness.dispatch(tokens=30)
            end = Ended(200, 'text/plain', 500, 1, 'stop')
            harness.target.feed(run_id(), Piece(b'x', 1), end)
            self.assertEqual(30, (await task)[-1].tokens)

        run_scenario(scenario)


class EndTest(TestCase):
    """Broken and cancelled runs are billed and never complete."""

    def test_cut_answer_is_billed_and_not_complete(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            task = await harness.dispatch()
            error = target_error('read')
            harness.target.feed(run_id(), Piece(b'half', 2), error)
            finished = (await task)[-1]
            self.assertFalse(finished.complete)
            self.assertEqual([9], [one.tokens for one in harness.bills.bills])

        run_scenario(scenario)

    def test_cancelled_run_is_billed_what_it_consumed(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            task = await harness.dispatch()
            harness.executor.cancel(Cancel(run_id()))
            finished = (await task)[-1]
            self.assertEqual('cancelled', finished.reason)
            self.assertFalse(finished.complete)
            self.assertEqual([8], [one.tokens for one in harness.bills.bills])

        run_scenario(scenario)

    def test_target_that_ignores_a_cancel_is_abandoned(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            harness.target.ignores_cancel = True
            task = await harness.dispatch()
            harness.target.feed(run_id(), Piece(b'x', 1))
            harness.executor.cancel(Cancel(run_id()))
            self.assertFalse((await task)[-1].complete)
            self.assertEqual([8], [one.tokens for one in harness.bills.bills])

        run_scenario(scenario)

    def test_run_without_reader_is_cancelled_after_a_delay(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            task = await harness.dispatch()
            task.cancel()
            await asyncio.sleep(20)
            self.assertEqual([], harness.target.cancelled)
            await asyncio.sleep(20)
            self.assertEqual([run_id()], harness.target.cancelled)
            self.assertEqual(1, len(harness.bills.bills))

        run_scenario(scenario)

    def test_deadline_cancels_a_run(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            task = await harness.dispatch(deadline_ms=1000)
            self.assertEqual('deadline', (await task)[-1].reason)

        run_scenario(scenario)

    def test_plain_call_that_may_not_be_repeated_is_never_cancelled(
        self,
    ) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            task = await harness.dispatch(
                service='app', idempotent=False, prompt_bound=5, cap=0
            )
            harness.executor.cancel(Cancel(run_id()))
            end = Ended(201, 'application/json', 0, 0, 'stop')
            harness.target.feed(run_id(), Piece(b'posted', 0), end)
            finished = (await task)[-1]
            self.assertEqual(201, finished.status)
            self.assertEqual([5], [one.tokens for one in harness.bills.bills])

        run_scenario(scenario, 'app')

    def test_plain_call_whose_outcome_is_lost_is_not_run_again(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            options = {'service': 'app', 'idempotent': False, 'cap': 0}
            task = await harness.dispatch(**options)
            harness.target.feed(run_id(), target_error('read'))
            finished = (await task)[-1]
            self.assertEqual((0, False), (finished.status, finished.complete))
            again = (await (await harness.dispatch(**options)))[-1]
            self.assertEqual(finished, again)
            self.assertEqual(1, len(harness.target.calls))

        run_scenario(scenario, 'app')


class SealTest(TestCase):
    """A sealed run never begins; a seal reports a run that has begun."""

    def seal(self, harness: ExecutorHarness, executor=SIDECAR):
        return harness.executor.seal(SealRun(run_id(), executor))

    def test_delayed_dispatch_after_the_seal_is_refused(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            self.assertFalse(self.seal(harness).ran)
            refusal = await harness.refusal()
            self.assertEqual(Code.SEALED, refusal.code)
            self.assertFalse(refusal.ran)
            self.assertEqual([], harness.target.calls)

        run_scenario(scenario)

    def test_seal_of_running_and_ended_runs_reports_that_they_ran(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            task = await harness.dispatch()
            self.assertTrue(self.seal(harness).ran)
            harness.target.answer(run_id(), b'x')
            await task
            self.assertTrue(self.seal(harness).ran)

        run_scenario(scenario)

    def test_queued_run_is_sealed_before_it_starts(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            first = await harness.dispatch(key='first')
            second = await harness.dispatch()
            self.assertFalse(self.seal(harness).ran)
            self.assertEqual(Code.SEALED, (await second)[0].code)
            harness.target.answer(run_id('first'), b'x')
            await first
            self.assertEqual(1, len(harness.target.calls))

        run_scenario(scenario, slots=1)

    def test_successor_cannot_seal_for_its_predecessor(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            refusal = self.seal(harness, Incarnation('sidecar/0'))
            self.assertTrue(refusal.ran)

        run_scenario(scenario)


class PoisonTest(TestCase):
    """A request that crashes targets is refused; concurrent ones are not."""

    def test_crash_counts_all_that_ran_and_poison_is_refused(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            await harness.fleet.submit(Crash('llm-2', ('digest-bad',), 'first'))
            bad = await harness.dispatch(key='bad', body=b'bad')
            good = await harness.dispatch(key='good', body=b'good')
            harness.target.crash()
            self.assertFalse((await bad)[-1].complete)
            await good
            quarantine = harness.fleet.fold.quarantine
            self.assertEqual(2, quarantine.crashes('digest-bad'))
            self.assertEqual(1, quarantine.crashes('digest-good'))
            harness.target.down = False
            refusal = await harness.refusal(key='another key', body=b'bad')
            self.assertEqual(Code.POISON, refusal.code)
            again = await harness.dispatch(key='good 2', body=b'good')
            harness.target.answer(run_id('good 2'), b'fine')
            self.assertEqual(b'fine', text_of(await again))

        run_scenario(scenario)

    def test_suspects_do_not_run_together(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            digests = ('digest-one', 'digest-two')
            await harness.fleet.submit(Crash('llm-2', digests, 'first'))
            one = await harness.dispatch(key='one', body=b'one')
            two = await harness.dispatch(key='two', body=b'two')
            calm = await harness.dispatch(key='calm', body=b'calm')
            keys = [call.run.key for call in harness.target.calls]
            self.assertEqual(['one', 'calm'], keys)
            for key in ('one', 'two', 'calm'):
                harness.target.answer(run_id(key), b'x')
            for task in (one, two, calm):
                self.assertTrue((await task)[-1].complete)

        run_scenario(scenario, slots=3)

    def test_broken_answer_of_a_live_target_counts_no_crash(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            task = await harness.dispatch()
            harness.target.feed(run_id(), target_error('read'))
            await task
            self.assertEqual(
                0, harness.fleet.fold.quarantine.crashes('digest-prompt')
            )

        run_scenario(scenario)

    def test_crash_counts_locally_during_a_log_outage(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            harness.log.outage = True
            for key in ('a', 'b'):
                task = await harness.dispatch(key=key)
                harness.target.crash()
                self.assertIsInstance((await task)[-1], Finished)
                harness.target.down = False
                harness.target.queues_by_run.clear()
            refusal = await harness.refusal(key='c')
            self.assertEqual(Code.POISON, refusal.code)
            harness.log.outage = False
            await asyncio.sleep(1)

        run_scenario(scenario)


class RetirementTest(TestCase):
    """The runs of a retired holder end before its tokens are returned."""

    def test_queued_runs_are_sealed_and_running_ones_end(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            running = await harness.dispatch(key='a')
            queued = await harness.dispatch(key='b')
            settled = asyncio.create_task(
                harness.executor.end_runs_of((ROUTER,), grace_period_s=5),
            )
            self.assertEqual(Code.FENCED, (await queued)[0].code)
            self.assertFalse(settled.done())
            await settled
            self.assertEqual('retired', (await running)[-1].reason)
            self.assertEqual(1, len(harness.bills.bills))

        run_scenario(scenario, slots=1)

    def test_other_holders_runs_go_on(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            task = await harness.dispatch(holder=Incarnation('router/2'))
            await harness.executor.end_runs_of((ROUTER,), grace_period_s=5)
            harness.target.answer(run_id(), b'x')
            self.assertTrue((await task)[-1].complete)

        run_scenario(scenario)


class CloseTest(TestCase):
    """A forced stop returns the interrupted runs and bills them."""

    def test_open_runs_are_interrupted_and_returned(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            harness.target.ignores_cancel = True
            running = await harness.dispatch(key='a')
            queued = await harness.dispatch(key='b')
            cut = await harness.executor.close()
            self.assertEqual((run_id('a'),), cut)
            self.assertEqual('stopped', (await running)[-1].reason)
            self.assertEqual(Code.LEAVING, (await queued)[0].code)
            self.assertEqual(1, len(harness.bills.bills))
            self.assertEqual(1, len(harness.target.calls))

        run_scenario(scenario, slots=1)

    def test_bodies_of_ended_runs_are_freed(self) -> None:
        async def scenario(harness: ExecutorHarness) -> None:
            task = await harness.dispatch()
            harness.target.answer(run_id(), b'x')
            await task
            self.assertEqual(b'', harness.ended[0].dispatch.body)
            self.assertIsInstance(harness.ended[0].dispatch, msgspec.Struct)

        run_scenario(scenario)
