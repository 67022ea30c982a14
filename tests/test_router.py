"""Tests of the request path under failures, with fake sidecars."""

import asyncio
from contextlib import aclosing

import msgspec
from testtools import TestCase

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.core.failure import Code
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import (
    AskStatus,
    Chunk,
    Finished,
    Refusal,
    Status,
)
from dandelioncleat.core.record import End, Leave
from dandelioncleat.core.request import RequestOutcome
from dandelioncleat.ports.host_list import HostState
from dandelioncleat.ports.peer import CallContext
from tests.builders.router import (
    ANSWER,
    Bench,
    FakeBudgets,
    collect,
    new_configuration,
    new_request,
)

COMPLETE_ANSWER = b''.join(ANSWER)


def refusal(code: Code, *, ran: bool = False) -> Refusal:
    return Refusal(code, 'run', 't', 'no', ran=ran)


class AnswerTest(TestCase):
    def test_answer_is_complete_settled_and_billed(self) -> None:
        async def scenario() -> None:
            async with Bench() as bench:
                data, end = await collect(bench.router, new_request())
                await asyncio.sleep(1)
                self.assertEqual(COMPLETE_ANSWER, data)
                self.assertEqual(RequestOutcome.ANSWERED, end.outcome)
                self.assertEqual(13, end.billed_tokens)
                self.assertEqual(13, bench.budgets.spent)
                self.assertEqual(0, bench.budgets.reserved)
                self.assertEqual(1, len(bench.budgets.bills))

        run(scenario())

    def test_foreign_late_and_repeated_frames_are_dropped(self) -> None:
        def transform_frames(frames):
            result = []
            for frame in frames:
                if isinstance(frame, Chunk):
                    other = frame.run._replace(key='another')
                    result.append(Chunk(other, frame.start, b'X' * 9, 1))
                    result.append(frame)
                    result.append(Chunk(frame.run, 0, ANSWER[0], 1))
                else:
                    other = frame.run._replace(attempt=9)
                    result.append(
                        Finished(other, 200, '', 0, 0, 0, 0, 'stop', True)
                    )
                    result.append(frame)
            return result

        async def scenario() -> None:
            async with Bench() as bench:
                for sidecar in bench.sidecars.values():
                    sidecar.transform_frames = transform_frames
                data, end = await collect(bench.router, new_request())
                self.assertEqual(COMPLETE_ANSWER, data)
                self.assertEqual(RequestOutcome.ANSWERED, end.outcome)

        run(scenario())

    def test_missing_frame_is_read_again(self) -> None:
        lost: list[object] = []

        def transform_frames(frames):
            if frames and not lost:
                lost.append(frames)
                return frames[1:]
            return frames

        async def scenario() -> None:
            async with Bench() as bench:
                for sidecar in bench.sidecars.values():
                    sidecar.transform_frames = transform_frames
                data, end = await collect(bench.router, new_request())
                self.assertEqual(COMPLETE_ANSWER, data)
                self.assertEqual(1, len(bench.ran))

        run(scenario())

    def test_retry_through_another_router_follows_the_run(self) -> None:
        async def scenario() -> None:
            async with Bench() as first:
                second = Bench(name='r2', other=first)
                async with second:
                    for sidecar in first.sidecars.values():
                        sidecar.chunk_interval_s = 1
                    open_answer = first.router.serve(new_request())
                    async with aclosing(open_answer):
                        await anext(open_answer)
                        data, end = await collect(second.router, new_request())
                    self.assertEqual(COMPLETE_ANSWER, data)
                    self.assertEqual(RequestOutcome.ANSWERED, end.outcome)
                    self.assertEqual(1, len(first.ran))
                    self.assertEqual(0, second.budgets.spent)
                    self.assertEqual(0, second.budgets.reserved)

        run(scenario())

    def test_retry_without_budget_still_gets_the_finished_answer(self) -> None:
        async def scenario() -> None:
            async with Bench() as first:
                second = Bench(
                    name='r2', other=first, budgets=FakeBudgets(tokens=1)
                )
                async with second:
                    await collect(first.router, new_request())
                    data, end = await collect(second.router, new_request())
                    self.assertEqual(COMPLETE_ANSWER, data)
                    self.assertEqual(RequestOutcome.ANSWERED, end.outcome)

        run(scenario())

    def test_caller_that_disconnects_pays_for_its_cancelled_run(self) -> None:
        async def scenario() -> None:
            async with Bench() as bench:
                answer = bench.router.serve(new_request())
                async with aclosing(answer):
                    await anext(answer)
                await asyncio.sleep(5)
                self.assertEqual(1, len(bench.running_sidecar().cancelled))
                self.assertEqual(0, bench.budgets.reserved)
                self.assertEqual(1, len(bench.budgets.bills))
                self.assertEqual(
                    bench.budgets.bills[0].tokens, bench.budgets.spent
                )

        run(scenario())


class LossTest(TestCase):
    def test_executor_lost_before_the_first_byte_is_replaced(self) -> None:
        async def scenario() -> None:
            async with Bench() as bench:
                for sidecar in bench.sidecars.values():
                    sidecar.chunk_interval_s = 2
                answer = asyncio.create_task(
                    collect(bench.router, new_request(has_generated_key=True))
                )
                await asyncio.sleep(1)
                bench.kill(bench.running_sidecar().target)
                data, end = await answer
                self.assertEqual(COMPLETE_ANSWER, data)
                self.assertEqual(RequestOutcome.ANSWERED, end.outcome)
                self.assertEqual(2, len(bench.ran))
                await asyncio.sleep(60)
                self.assertEqual(70, bench.budgets.forfeited)

        run(scenario())

    def test_executor_lost_after_the_first_byte_is_an_unknown_outcome(
        self,
    ) -> None:
        async def scenario() -> None:
            async with Bench() as bench:
                for sidecar in bench.sidecars.values():
                    sidecar.chunk_interval_s = 2
                answer = asyncio.create_task(
                    collect(bench.router, new_request(has_generated_key=True))
                )
                await asyncio.sleep(3)
                bench.kill(bench.running_sidecar().target)
                data, end = await answer
                self.assertEqual(ANSWER[0], data)
                self.assertEqual(RequestOutcome.UNKNOWN, end.outcome)
                self.assertEqual(Code.UNREACHABLE, end.failure.code)
                self.assertEqual(1, len(bench.ran))

        run(scenario())

    def test_interrupted_run_of_a_new_key_is_not_reported_as_not_run(
        self,
    ) -> None:
        def interrupt(frames):
            return [
                msgspec.structs.replace(frame, complete=False, reason='error')
                if isinstance(frame, Finished)
                else frame
                for frame in frames
            ]

        async def scenario() -> None:
            async with Bench() as bench:
                for sidecar in bench.sidecars.values():
                    sidecar.transform_frames = interrupt
                request = new_request(has_generated_key=True)
                _, end = await collect(bench.router, request)
                self.assertEqual(1, len(bench.ran))
                self.assertEqual(RequestOutcome.UNKNOWN, end.outcome)

        run(scenario())

    def test_answer_is_resumed_after_a_short_partition(self) -> None:
        async def scenario() -> None:
            async with Bench() as bench:
                for sidecar in bench.sidecars.values():
                    sidecar.chunk_interval_s = 2
                answer = asyncio.create_task(
                    collect(bench.router, new_request())
                )
                await asyncio.sleep(3)
                bench.partitioned.add(bench.running_sidecar().address)
                await asyncio.sleep(12)
                bench.partitioned.clear()
                data, end = await answer
                self.assertEqual(COMPLETE_ANSWER, data)
                self.assertEqual(RequestOutcome.ANSWERED, end.outcome)

        run(scenario())

    def test_dispatch_that_never_arrived_is_sealed_and_retried(self) -> None:
        async def scenario() -> None:
            async with Bench() as bench:
                first = bench.sidecars['t1']
                first.drops_dispatches = True
                for name in ('t2', 't3'):
                    bench.sidecars[name].leaving = True
                    bench.sidecars[name]._notify()
                await asyncio.sleep(0.5)
                request = new_request(has_generated_key=True, idempotent=False)
                answer = asyncio.create_task(
                    collect(bench.router, request._replace(deadline_s=8))
                )
                data, end = await answer
                self.assertEqual(RequestOutcome.NOT_RUN, end.outcome)
                self.assertEqual([], bench.ran)
                self.assertEqual(1, len(first.sealed))
                self.assertEqual(0, bench.budgets.reserved)
                self.assertEqual(0, bench.budgets.spent)

        run(scenario())

    def test_lost_non_idempotent_call_is_never_repeated(self) -> None:
        async def scenario() -> None:
            async with Bench() as bench:
                for sidecar in bench.sidecars.values():
                    sidecar.chunk_interval_s = 2
                request = new_request(has_generated_key=True, idempotent=False)
                answer = asyncio.create_task(collect(bench.router, request))
                await asyncio.sleep(1)
                bench.kill(bench.running_sidecar().target)
                data, end = await answer
                self.assertEqual(b'', data)
                self.assertEqual(RequestOutcome.UNKNOWN, end.outcome)
                self.assertEqual(1, len(bench.ran))

        run(scenario())


class OwnerTest(TestCase):
    def test_slow_claim_is_waited_for(self) -> None:
        async def scenario() -> None:
            async with Bench() as bench:
                for sidecar in bench.sidecars.values():
                    sidecar.attach_delay_s = 6
                request = new_request(idempotent=False)
                data, end = await collect(bench.router, request)
                self.assertEqual(COMPLETE_ANSWER, data)
                self.assertEqual(1, len(bench.ran))

        run(scenario())

    def test_silent_owner_is_not_waited_for_until_the_deadline(self) -> None:
        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            async with Bench('t1') as bench:
                request = new_request(idempotent=False, deadline_s=20)
                bench.partitioned.add(bench.sidecars['t1'].address)
                asked_at = loop.time()
                _, end = await collect(bench.router, request)
                self.assertEqual(RequestOutcome.UNKNOWN, end.outcome)
                self.assertLess(loop.time() - asked_at, 12)
                self.assertEqual([], bench.ran)

        run(scenario())

    def test_owner_that_comes_back_in_time_serves(self) -> None:
        async def scenario() -> None:
            async with Bench('t1', 't2') as bench:
                for sidecar in bench.sidecars.values():
                    bench.partitioned.add(sidecar.address)
                request = new_request(idempotent=False, deadline_s=20)
                answer = asyncio.create_task(collect(bench.router, request))
                await asyncio.sleep(3)
                bench.partitioned.clear()
                data, _ = await answer
                self.assertEqual(COMPLETE_ANSWER, data)
                self.assertEqual(1, len(bench.ran))

        run(scenario())


class RefusalTest(TestCase):
    def test_refused_run_goes_to_another_target(self) -> None:
        async def scenario() -> None:
            async with Bench('t1', 't2') as bench:
                for sidecar in bench.sidecars.values():
                    sidecar.refusals.append(refusal(Code.CAPACITY))
                bench.sidecars['t2'].refusals.clear()
                for key in ('a', 'b', 'c', 'd'):
                    data, end = await collect(bench.router, new_request(key))
                    self.assertEqual(COMPLETE_ANSWER, data)
                self.assertEqual(4, len(bench.ran))

        run(scenario())

    def test_poison_refusal_is_final_and_not_run(self) -> None:
        async def scenario() -> None:
            async with Bench('t1') as bench:
                bench.sidecars['t1'].refusals.append(refusal(Code.POISON))
                data, end = await collect(bench.router, new_request())
                self.assertEqual(RequestOutcome.NOT_RUN, end.outcome)
                self.assertEqual(Code.POISON, end.failure.code)
                self.assertEqual(0, bench.budgets.reserved)

        run(scenario())

    def test_refusal_of_a_run_that_may_have_run_is_unknown(self) -> None:
        async def scenario() -> None:
            async with Bench('t1') as bench:
                bench.sidecars['t1'].never_seals = True
                bench.sidecars['t1'].refusals.append(
                    refusal(Code.UNKNOWN, ran=True)
                )
                request = new_request(idempotent=False)
                data, end = await collect(bench.router, request)
                self.assertEqual(RequestOutcome.UNKNOWN, end.outcome)

        run(scenario())

    def test_no_budget_and_no_home_to_ask_is_unknown_for_a_retry(self) -> None:
        async def scenario() -> None:
            async with Bench(budgets=FakeBudgets(tokens=1)) as bench:
                _, end = await collect(
                    bench.router, new_request(has_generated_key=True)
                )
                self.assertEqual(RequestOutcome.NOT_RUN, end.outcome)
                self.assertEqual(Code.BUDGET, end.failure.code)
                for name in tuple(bench.sidecars):
                    bench.kill(name)
                _, end = await collect(bench.router, new_request())
                self.assertEqual(RequestOutcome.UNKNOWN, end.outcome)
                self.assertEqual(Code.BUDGET, end.failure.code)

        run(scenario())

    def test_a_counted_prompt_fits_where_its_bound_does_not(self) -> None:
        async def scenario() -> None:
            async with Bench('t1', budgets=FakeBudgets(tokens=60)) as bench:
                request = new_request(has_generated_key=True)
                _, end = await collect(bench.router, request)
                self.assertEqual(Code.BUDGET, end.failure.code)
                bench.sidecars['t1'].prompt_tokens = 4
                _, end = await collect(bench.router, request)
                self.assertEqual(RequestOutcome.ANSWERED, end.outcome)

        run(scenario())

    def test_same_key_with_another_body_conflicts(self) -> None:
        async def scenario() -> None:
            async with Bench() as bench:
                await collect(bench.router, new_request())
                _, end = await collect(
                    bench.router, new_request(digest='other')
                )
                self.assertEqual(Code.CONFLICT, end.failure.code)
                self.assertEqual(1, len(bench.ran))

        run(scenario())

    def test_full_queue_refuses_at_once_with_a_time_to_retry(self) -> None:
        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            async with Bench('t1', slots=1) as bench:
                bench.configuration.set(
                    new_configuration(('t1',), queue_limit=1)
                )
                bench.sidecars['t1'].chunk_interval_s = 1
                served = [
                    asyncio.create_task(collect(bench.router, new_request(key)))
                    for key in ('a', 'b')
                ]
                await asyncio.sleep(0.1)
                asked_at = loop.time()
                _, end = await collect(bench.router, new_request('c'))
                self.assertLess(loop.time() - asked_at, 0.5)
                self.assertEqual(Code.CAPACITY, end.failure.code)
                self.assertEqual(RequestOutcome.NOT_RUN, end.outcome)
                self.assertGreater(end.retry_after_s, 0)
                for data, _ in await asyncio.gather(*served):
                    self.assertEqual(COMPLETE_ANSWER, data)

        run(scenario())

    def test_request_of_higher_priority_displaces_a_queued_one(self) -> None:
        async def scenario() -> None:
            async with Bench('t1', slots=1) as bench:
                bench.configuration.set(
                    new_configuration(('t1',), queue_limit=1)
                )
                bench.sidecars['t1'].chunk_interval_s = 1
                tasks = []
                for key, priority in (('a', 0), ('b', 5), ('c', 1)):
                    request = new_request(key, priority=priority)
                    tasks.append(
                        asyncio.create_task(collect(bench.router, request))
                    )
                    await asyncio.sleep(0.1)
                ends = [end for _, end in await asyncio.gather(*tasks)]
                self.assertEqual(
                    [
                        RequestOutcome.ANSWERED,
                        RequestOutcome.NOT_RUN,
                        RequestOutcome.ANSWERED,
                    ],
                    [end.outcome for end in ends],
                )

        run(scenario())

    def test_retries_stay_within_their_budget(self) -> None:
        async def scenario() -> None:
            async with Bench('t1', 't2') as bench:
                for sidecar in bench.sidecars.values():
                    sidecar.refusals.extend([refusal(Code.TARGET)] * 1000)
                for number in range(60):
                    await collect(bench.router, new_request(str(number)))
                used = sum(
                    1000 - len(each.refusals)
                    for each in bench.sidecars.values()
                )
                # One try each, ten initial retries and a fifth of the requests.
                self.assertLessEqual(used, 60 + 10 + 12)

        run(scenario())


class LeavingTest(TestCase):
    def assert_no_new_work(self, leave) -> None:
        async def scenario() -> None:
            async with Bench('t1', 't2') as bench:
                sidecar = bench.sidecars['t1']
                sidecar.chunk_interval_s = 5
                keys = [str(number) for number in range(6)]
                tasks = [
                    asyncio.create_task(collect(bench.router, new_request(key)))
                    for key in keys
                ]
                await asyncio.sleep(1)
                before = len(sidecar.ran)
                self.assertGreater(before, 0)
                await leave(bench)
                await asyncio.sleep(3)
                for key in ('x', 'y', 'z'):
                    await collect(bench.router, new_request(key))
                self.assertEqual(before, len(sidecar.ran))
                for data, _ in await asyncio.gather(*tasks):
                    self.assertEqual(COMPLETE_ANSWER, data)

        run(scenario())

    def test_target_leaving_by_the_host_list_gets_no_new_work(self) -> None:
        async def leave(bench: Bench) -> None:
            bench.host_list.states = (HostState('t1-host', 'klang-a', True),)

        self.assert_no_new_work(leave)

    def test_target_leaving_by_its_load_report_gets_no_new_work(self) -> None:
        async def leave(bench: Bench) -> None:
            bench.sidecars['t1'].leaving = True
            bench.sidecars['t1']._notify()

        self.assert_no_new_work(leave)

    def test_target_drained_by_configuration_gets_no_new_work(self) -> None:
        async def leave(bench: Bench) -> None:
            current = bench.configuration.current
            targets = dict(current.targets_by_name)
            targets['t1'] = targets['t1']._replace(drain=True)
            bench.configuration.set(current._replace(targets_by_name=targets))

        self.assert_no_new_work(leave)

    def test_target_leaving_the_fleet_gets_no_new_work(self) -> None:
        async def leave(bench: Bench) -> None:
            sidecar = bench.sidecars['t1']
            await bench.fleet.submit(Leave(sidecar.incarnation))

        self.assert_no_new_work(leave)


class StopTest(TestCase):
    def test_planned_stop_finishes_open_requests(self) -> None:
        async def scenario() -> None:
            async with Bench() as bench:
                for sidecar in bench.sidecars.values():
                    sidecar.chunk_interval_s = 3
                answer = asyncio.create_task(
                    collect(bench.router, new_request())
                )
                await asyncio.sleep(1)
                stop = asyncio.create_task(bench.router.stop(limit_s=60))
                await asyncio.sleep(0.1)
                _, refused = await collect(
                    bench.router, new_request('late', has_generated_key=True)
                )
                self.assertEqual(Code.NOT_READY, refused.failure.code)
                self.assertFalse(bench.router.ready)
                data, _ = await answer
                report = await stop
                self.assertEqual(COMPLETE_ANSWER, data)
                self.assertTrue(report.is_ended)
                self.assertTrue(bench.budgets.returned)
                self.assertEqual(1, len(bench.budgets.bills))
                own = bench.router.incarnation
                self.assertIn(Leave(own), bench.fleet.submitted)
                self.assertEqual(End(own), bench.fleet.submitted[-1])

        run(scenario())

    def test_stop_past_its_limit_reports_open_requests(self) -> None:
        async def scenario() -> None:
            async with Bench() as bench:
                for sidecar in bench.sidecars.values():
                    sidecar.chunk_interval_s = 9
                answer = asyncio.create_task(
                    collect(bench.router, new_request())
                )
                await asyncio.sleep(1)
                report = await bench.router.stop(limit_s=2)
                self.assertFalse(report.is_ended)
                self.assertEqual(1, report.open_requests)
                answer.cancel()
                await asyncio.gather(answer, return_exceptions=True)

        run(scenario())

    def test_status_has_state_and_version(self) -> None:
        async def scenario() -> None:
            async with Bench() as bench:
                context = CallContext(Incarnation('x/1'), 1, '')
                replies = bench.router.answer(AskStatus(), context)
                status = [reply async for reply in replies][0]
                self.assertIsInstance(status, Status)
                self.assertEqual(('ready', 1), (status.state, status.version))

        run(scenario())
