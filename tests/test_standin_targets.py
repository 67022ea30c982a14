"""Tests of the engine and service stand-ins, called in memory."""

import asyncio

import testtools

from dandelioncleat.core.failure import Code, FailureError
from dandelioncleat.core.identity import RequestKey
from dandelioncleat.ports.target import Piece
from dandelioncleat.standin.engine import Engine, EngineSettings
from dandelioncleat.standin.memory_target import (
    MemoryModelTarget,
    MemoryPlainTarget,
)
from dandelioncleat.standin.service import PlainService, ServiceSettings
from tests.builders.standins import answer_of, model_call, new_run, plain_call

FAST = EngineSettings(
    slots=2,
    prefill_tokens_s=100000,
    decode_tokens_s=10000,
    kv_tokens=10000,
    restart_s=0.05,
    abandon_s=0,
)


def new_target(**changes):
    return MemoryModelTarget(Engine(FAST._replace(**changes), seed=1))


async def failure_of(target, call):
    try:
        await answer_of(target, call)
    except FailureError as error:
        return error.failure
    raise AssertionError('the call did not fail')


class EngineTest(testtools.TestCase):
    """Batching, limits, the prefix cache and simulated faults."""

    def test_answers_completely_and_counts_the_tokens(self):
        async def scenario():
            target = new_target()
            answers = await asyncio.gather(
                *(answer_of(target, model_call(f'k{i}')) for i in range(5))
            )
            return target.engine, answers

        engine, answers = asyncio.run(scenario())
        for text, tokens, end in answers:
            self.assertEqual((5, 'stop'), (tokens, end.reason))
            self.assertEqual(5, len(text.split()))
            self.assertEqual(10, end.prompt_tokens)
        self.assertEqual([15] * 5, [run.tokens for run in engine.runs])

    def test_the_cap_limits_the_answer(self):
        text, tokens, end = asyncio.run(
            answer_of(new_target(), model_call(cap=3))
        )
        self.assertEqual((3, 'length'), (tokens, end.reason))

    def test_streams_share_the_decode_rate(self):
        async def scenario(count):
            target = new_target(slots=8, decode_tokens_s=1000)
            stated = {'prompt_tokens': 1, 'output_tokens': 60}
            calls = [model_call(f'k{i}', stated=stated) for i in range(count)]
            await asyncio.gather(*(answer_of(target, c) for c in calls))
            run = target.engine.runs[0]
            return run.ended_at - run.started_at

        alone = asyncio.run(scenario(1))
        shared = asyncio.run(scenario(4))
        self.assertThat(shared, testtools.matchers.GreaterThan(2 * alone))

    def test_the_lowest_priority_value_runs_first(self):
        async def scenario():
            target = new_target(slots=1)
            calls = [
                model_call('first'),
                model_call('late', priority=5),
                model_call('urgent', priority=1),
            ]
            await asyncio.gather(*(answer_of(target, c) for c in calls))
            runs = sorted(target.engine.runs, key=lambda run: run.started_at)
            return [run.run.key for run in runs]

        self.assertEqual(['first', 'urgent', 'late'], asyncio.run(scenario()))

    def test_memory_limits_concurrent_runs(self):
        async def scenario():
            target = new_target(kv_tokens=200)
            tasks = [
                asyncio.create_task(answer_of(target, model_call(f'k{i}')))
                for i in range(2)
            ]
            await asyncio.sleep(0)
            load = await target.load()
            await asyncio.gather(*tasks)
            too_large = await answer_of(
                target, model_call('big', stated={'prompt_tokens': 101})
            )
            return load, too_large

        load, (_, _, end) = asyncio.run(scenario())
        self.assertEqual((1, 1), (load.running, load.queued))
        self.assertEqual(413, end.status)

    def test_a_cached_prefix_skips_prefill(self):
        prompt = 'x' * 4096

        async def scenario():
            target = new_target(prefill_tokens_s=10000)
            for key in ('cold', 'warm'):
                await answer_of(target, model_call(key, prompt, stated={}))
            cold, warm = target.engine.runs
            events = await target.cache_events(0)
            return cold, warm, events

        cold, warm, events = asyncio.run(scenario())
        self.assertEqual(1024, warm.prompt_tokens)
        self.assertThat(
            warm.ended_at - warm.started_at,
            testtools.matchers.LessThan(cold.ended_at - cold.started_at),
        )
        self.assertEqual(5, len(events.stored))
        self.assertFalse(events.gap)

    def test_the_cache_evicts_the_oldest(self):
        async def scenario():
            target = new_target(kv_tokens=400)
            for key in 'abc':
                stated = {'prompt_tokens': 200, 'prefix': key}
                await answer_of(target, model_call(key, stated=stated))
            return await target.cache_events(0)

        events = asyncio.run(scenario())
        self.assertEqual(3, len(events.stored))
        self.assertEqual(events.stored[:2], events.evicted)

    def test_cache_events_come_late_and_with_gaps(self):
        async def scenario():
            target = new_target()
            target.engine.cache_feed.lag_s = 60
            await answer_of(target, model_call(prompt='x' * 300, stated={}))
            late = await target.cache_events(0)
            target.engine.cache_feed.lag_s = 0
            target.engine.cache_feed.gap_share = 1
            await answer_of(target, model_call('k2', 'y' * 300, stated={}))
            return late, await target.cache_events(0)

        late, gapped = asyncio.run(scenario())
        self.assertEqual((0, ()), (late.end, late.stored))
        self.assertTrue(gapped.gap)
        self.assertEqual((2, 1), (gapped.end, len(gapped.stored)))

    def test_the_load_report_lags(self):
        async def scenario():
            target = new_target()
            target.engine.load_reports.lag_s = 60
            await answer_of(target, model_call())
            first = await target.load()
            return first

        load = asyncio.run(scenario())
        self.assertEqual(1, load.running)
        self.assertThat(load.age_s, testtools.matchers.GreaterThan(0))

    def test_a_cancelled_run_ends_with_its_counts(self):
        async def scenario():
            target = new_target(decode_tokens_s=500)
            stated = {'prompt_tokens': 10, 'output_tokens': 90}
            events = target.run(model_call(stated=stated))
            await anext(events)
            await target.cancel(new_run())
            remaining = [event async for event in events]
            return remaining[-1], target.engine.runs[0]

        end, run = asyncio.run(scenario())
        self.assertEqual('cancelled', end.reason)
        self.assertEqual(run.output_tokens, end.output_tokens)
        self.assertThat(run.output_tokens, testtools.matchers.LessThan(90))

    def test_a_stream_resumes_and_an_abandoned_one_is_cancelled(self):
        async def scenario():
            target = new_target(abandon_s=0.02)
            call = model_call(stated={'output_tokens': 40})
            events = target.run(call)
            first = await anext(events)
            await events.aclose()
            text, tokens, _ = await answer_of(target, call)
            abandoned = target.run(model_call('k2', cap=5000))
            await anext(abandoned)
            await abandoned.aclose()
            await asyncio.sleep(0.04)
            return first, text, tokens, target.engine.runs

        first, text, tokens, runs = asyncio.run(scenario())
        self.assertIsInstance(first, Piece)
        self.assertTrue(text.encode().startswith(first.data))
        self.assertEqual((40, 2), (tokens, len(runs)))
        self.assertIn(runs[1].reason, ('stop', 'cancelled'))

    def test_a_poison_prompt_aborts_all_runs_until_the_restart(self):
        async def scenario():
            target = new_target()
            other = asyncio.create_task(
                failure_of(target, model_call(stated={'output_tokens': 1000}))
            )
            await asyncio.sleep(0)
            poison = model_call('bad', stated={'poison': True})
            failures = [await failure_of(target, poison), await other]
            failures.append(await failure_of(target, model_call('k3')))
            await asyncio.sleep(0.06)
            return failures, await answer_of(target, model_call('k4'))

        failures, (_, tokens, _) = asyncio.run(scenario())
        self.assertEqual(
            ['read', 'read', 'connect'], [each.step for each in failures]
        )
        self.assertEqual(5, tokens)

    def test_an_old_fencing_number_is_refused_if_checked(self):
        async def scenario(checks):
            target = new_target(checks_fencing=checks)
            checked = await target.fence(7)
            try:
                await answer_of(target, model_call(fence=6))
            except FailureError as error:
                return checked, error.failure.code
            return checked, None

        self.assertEqual((True, Code.FENCED), asyncio.run(scenario(True)))
        self.assertEqual((False, None), asyncio.run(scenario(False)))


class PlainServiceTest(testtools.TestCase):
    """Run counts, slots and crashes of the plain service."""

    def test_counts_runs_that_are_not_repeatable(self):
        async def scenario():
            target = MemoryPlainTarget(PlainService(ServiceSettings()))
            for method in ('POST', 'POST', 'GET'):
                answer = await answer_of(target, plain_call(method=method))
            return answer, target.service.counts()

        (text, _, end), counts = asyncio.run(scenario())
        self.assertEqual({RequestKey('o1', 'k1'): 2}, counts)
        self.assertEqual(200, end.status)
        self.assertIn('"key":"k1"', text)

    def test_slots_limit_concurrent_calls(self):
        async def scenario():
            settings = ServiceSettings(slots=1, service_ms=20)
            target = MemoryPlainTarget(PlainService(settings))
            tasks = [
                asyncio.create_task(answer_of(target, plain_call(key)))
                for key in 'ab'
            ]
            await asyncio.sleep(0.005)
            load = await target.load()
            await asyncio.gather(*tasks)
            return load

        load = asyncio.run(scenario())
        self.assertEqual((1, 1), (load.running, load.queued))

    def test_a_crash_aborts_calls_in_progress(self):
        async def scenario():
            target = MemoryPlainTarget(
                PlainService(ServiceSettings(service_ms=1000))
            )
            running = asyncio.create_task(failure_of(target, plain_call()))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            bad = plain_call('bad', body=b'{"standin":{"poison":true}}')
            poison = await failure_of(target, bad)
            return (
                await running,
                poison,
                await failure_of(target, plain_call('later')),
            )

        failures = asyncio.run(scenario())
        self.assertEqual(
            ['read', 'read', 'connect'], [each.step for each in failures]
        )
