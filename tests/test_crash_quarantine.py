"""Tests of requests that crash the targets that run them."""

import asyncio
import sys

import testtools

from dandelioncleat.adapters.system_clock import SystemClock
from dandelioncleat.app.direct.delivered_runs import OUTLIVED_S
from dandelioncleat.app.direct.lost_runs import WatchedRun
from dandelioncleat.app.direct.shared_crash_records import CRASHES_TOPIC
from dandelioncleat.core.crash_cause import MIN_CRASHES, find_causes
from dandelioncleat.core.crash_records import RECORD_AGE_S, CrashRecord
from dandelioncleat.core.crash_suspect import REQUEST_DEPTH
from dandelioncleat.core.direct_request import (
    ModelPrompt,
    PromptPart,
)
from dandelioncleat.ports.direct_target import TargetStatus
from dandelioncleat.standin.keyed_store import StoreFaults
from tests.builders.direct import (
    KEY,
    MODEL_HEADERS,
    aborted,
    close_delimited,
    crashed,
    crashed_after,
    event_bytes,
    run_with_fleet,
    text_answer,
)
from tests.builders.logs import captured_lines
from tests.builders.quarantine import (
    FakeTargets,
    list_start,
    new_quarantine,
    request,
    run_of,
    run_with_quarantines,
    target,
    wait_for_crash,
)


def record(start):
    """Return the record of a crash under one request."""
    return CrashRecord('d', start, 10, REQUEST_DEPTH, False)


class SharedQuarantineTest(testtools.TestCase):
    """A request that crashed targets at several routers is refused by all."""

    def _refusing_after(self, crashes, *, lives=False, **options):
        async def scenario(fleet):
            await fleet.crash(crashes, lives=lives)
            return fleet.refusing(), fleet.refusing(b'another')

        return run_with_quarantines(scenario, **options)

    def test_all_routers_refuse_it_after_three_crashes(self):
        self.assertEqual((3, 0), self._refusing_after(MIN_CRASHES))

    def test_two_crashes_are_not_enough(self):
        crashes = MIN_CRASHES - 1
        self.assertEqual((0, 0), self._refusing_after(crashes))

    def test_reset_connections_are_no_crash(self):
        refusing = self._refusing_after(
            9, lives=True, status=TargetStatus.ANSWERED
        )
        self.assertEqual((0, 0), refusing)

    def test_losses_at_one_start_count_once_and_are_probed_once(self):
        async def scenario(fleet):
            for number in range(9):
                fleet.routers[0].note_lost(run_of(number), target(1))
            await asyncio.sleep(1)
            return fleet.refusing()

        self.assertEqual(0, run_with_quarantines(scenario))

    def test_a_router_that_starts_later_refuses_it(self):
        async def scenario(fleet):
            await fleet.crash(MIN_CRASHES)
            late = new_quarantine(fleet.store, FakeTargets(), host='late')
            task = asyncio.ensure_future(late.run())
            await asyncio.sleep(1)
            task.cancel()
            return late.find(request(9)) is not None

        self.assertTrue(run_with_quarantines(scenario))

    def test_a_router_that_starts_again_keeps_what_its_host_recorded(self):
        async def scenario(fleet):
            await fleet.crash(MIN_CRASHES - 1)
            fleet.store.faults = StoreFaults(slow_s=0.3)
            successor = new_quarantine(fleet.store, FakeTargets(), host='h0')
            task = asyncio.ensure_future(successor.run())
            successor.note_lost(run_of(8), target(8))
            await asyncio.sleep(3)
            task.cancel()
            return successor.find(request(9)) is not None, fleet.refusing()

        self.assertEqual((True, 1), run_with_quarantines(scenario, count=1))

    def test_crashes_in_an_outage_are_shared_after_it(self):
        async def scenario(fleet):
            fleet.store.faults = StoreFaults(outage=True)
            await fleet.crash(MIN_CRASHES)
            during = fleet.refusing()
            fleet.store.faults = StoreFaults()
            await asyncio.sleep(1)
            return during, fleet.refusing()

        self.assertEqual((0, 3), run_with_quarantines(scenario))

    def test_a_success_withdraws_the_records_everywhere(self):
        async def scenario(fleet):
            await fleet.crash(MIN_CRASHES - 1)
            fleet.routers[2].note_delivered(run_of(5), target(99))
            await asyncio.sleep(1)
            left = (await fleet.store.newest(CRASHES_TOPIC)).records
            await fleet.crash(MIN_CRASHES - 1)
            return len(left), fleet.refusing()

        self.assertEqual((0, 0), run_with_quarantines(scenario))

    def test_records_expire(self):
        async def scenario(fleet):
            await fleet.crash(MIN_CRASHES)
            await asyncio.sleep(RECORD_AGE_S + 60)
            left = (await fleet.store.newest(CRASHES_TOPIC)).records
            return fleet.refusing(), len(left)

        self.assertEqual((0, 0), run_with_quarantines(scenario))


class LogTest(testtools.TestCase):
    """The line of a probe names the lost requests and what it found."""

    def _line(self, *, prompt=None, **options):
        lost = request(7)._replace(prompt=prompt)

        async def scenario(fleet):
            fleet.routers[0].note_lost(WatchedRun(lost), target(1))
            await asyncio.sleep(1)
            fleet.routers[0].note_entry(target(1))

        with captured_lines() as lines:
            run_with_quarantines(scenario, **options)
        line = next(each for each in lines if 'digests_by_request' in each)
        self.parts_by_request = line['parts_by_request']
        return line['event'], line['digests_by_request']

    def test_crash(self):
        self.assertEqual(
            ('target crashed', {'r-7': request(1).digest}), self._line()
        )

    def test_parts_of_the_lost_prompts(self):
        parts = (PromptPart('aa', 60), PromptPart('bb', 40))
        self._line(prompt=ModelPrompt('m', 100, 50, parts))
        self.assertEqual({'r-7': ['aa', 'bb']}, self.parts_by_request)

    def test_target_that_still_listens(self):
        self.assertEqual(
            ('target did not crash', {'r-7': request(1).digest}),
            self._line(status=TargetStatus.ANSWERED),
        )


class CrashCauseTest(testtools.TestCase):
    """The records of all hosts count together."""

    def test_equal_starts_count_once(self):
        records = [record('i/1'), record('i/2'), record('i/1'), record('i/2')]
        self.assertEqual({}, find_causes(records))
        causes = find_causes([*records, record('i/3')])
        self.assertEqual({'d': (3, 10)}, causes)


class RouterTest(testtools.TestCase):
    """The router recognises crashes, and refuses what causes them."""

    def test_a_crash_is_recorded_and_the_third_quarantines(self):
        async def scenario(fleet):
            for number in range(MIN_CRASHES):
                await list_start(fleet, number)
                fleet.app.answers = [crashed(fleet.app)]
                await fleet.call('/once/a')
                await wait_for_crash(fleet, fleet.app, number)
                await fleet.app.start()
            await list_start(fleet, MIN_CRASHES)
            fleet.app.answers = [text_answer('ok')] * 2
            other = await fleet.call('/once/b')
            again = await fleet.call('/once/a')
            return other[0], again, len(fleet.app.requests)

        other, again, sent = run_with_fleet(scenario)
        self.assertEqual((200, 503, 4), (other, again[0], sent))
        self.assertEqual(b'crashes_targets', again[2])


class ErrorAnswerTest(testtools.TestCase):
    """An error of a target is no success of the request."""

    def _withdrawn_by(self, status):
        """Return how many records an answer with a status withdraws."""

        async def scenario(fleet):
            await list_start(fleet, 0)
            fleet.app.answers = [crashed(fleet.app)]
            await fleet.call('/once/a')
            await wait_for_crash(fleet, fleet.app, 0)
            await fleet.app.start()
            await list_start(fleet, 1)
            fleet.app.answers = [text_answer('no', status)]
            with captured_lines() as lines:
                await fleet.call('/once/a')
                await asyncio.sleep(2 * OUTLIVED_S)
            return [
                line['records']
                for line in lines
                if line['event'] == 'crash records withdrawn'
            ]

        return run_with_fleet(scenario)

    def test_error_withdraws_no_record(self):
        self.assertEqual([], self._withdrawn_by(404))

    def test_success_withdraws_the_record(self):
        self.assertEqual([1], self._withdrawn_by(200))


class EndOfConnectionTest(testtools.TestCase):
    """A crash may close the connection of an answer without a length."""

    def _crash_last(self, last_answer):
        """Crash two targets plainly and one at the end of an answer."""

        async def scenario(fleet):
            answers = [crashed(fleet.llm)] * (MIN_CRASHES - 1)
            for number, answer in enumerate((*answers, last_answer(fleet.llm))):
                await list_start(fleet, number, fleet.llm)
                fleet.llm.answers = [answer]
                await fleet.raw_answer('/single/a', **MODEL_HEADERS)
                await wait_for_crash(fleet, fleet.llm, number)
                await fleet.llm.start()
            await list_start(fleet, MIN_CRASHES, fleet.llm)
            again = await fleet.call('/single/a', **MODEL_HEADERS)
            return again[0], again[2]

        return run_with_fleet(scenario)

    def test_crash_between_two_events_counts(self):
        answer = close_delimited(event_bytes(0, 2))
        self.assertEqual(
            (503, b'crashes_targets'),
            self._crash_last(lambda target: crashed_after(target, answer)),
        )

    def test_whole_answer_of_a_target_that_lives_withdraws_the_records(self):
        async def scenario(fleet):
            fleet.routers[0].note_lost(run_of(1), target(1))
            await asyncio.sleep(1)
            fleet.targets.found = TargetStatus.ANSWERED
            fleet.routers[1].note_closed(run_of(2), target(2))
            await asyncio.sleep(1)
            fleet.routers[1].note_entry(target(2))
            await asyncio.sleep(1)
            return len((await fleet.store.newest(CRASHES_TOPIC)).records)

        self.assertEqual(0, run_with_quarantines(scenario))


class SentAgainTest(testtools.TestCase):
    """A request that is quarantined while it runs is not sent again."""

    def test_request_is_not_sent_on_once_it_is_quarantined(self):
        async def scenario(fleet):
            await fleet.list_second_engine()
            held = asyncio.Event()
            engines = (fleet.llm, fleet.llm2)
            for engine in engines:
                engine.answers = [aborted(until=held)]
            call = asyncio.ensure_future(
                fleet.call('/stream/a', **MODEL_HEADERS)
            )
            await fleet.wait_until(
                lambda: any(engine.requests for engine in engines)
            )
            await _quarantine_elsewhere(fleet, '/stream/a')
            held.set()
            answer = await call
            return answer[0], sum(len(each.requests) for each in engines)

        self.assertEqual((502, 1), run_with_fleet(scenario))


async def _quarantine_elsewhere(fleet, path):
    """Let a request crash targets at another router, and wait until known."""
    other = new_quarantine(
        fleet.store, FakeTargets(), host='h2', clock=SystemClock()
    )
    task = asyncio.ensure_future(other.run())
    # What is recorded with it tells when the router has read the records.
    fleet.app.answers = [text_answer('no', 500)] * 1000
    for number in range(MIN_CRASHES):
        for each in (path, '/once/marker'):
            lost = request(number, path=each)._replace(key=KEY)
            other.note_lost(WatchedRun(lost), target(number))
    async with asyncio.timeout(20):
        while (  # noqa: ASYNC110
            await fleet.call('/once/marker')
        )[0] != 503:
            await asyncio.sleep(0.01)
    task.cancel()


class DeliveredBodyTest(testtools.TestCase):
    """A body is not kept while its target has yet to outlive the answer.

    Beside a crowd with large bodies a router needed 10 MB more.
    """

    def test_body_is_forgotten_at_once(self):
        async def scenario(fleet):
            body = bytes(1000)
            references = sys.getrefcount(body)
            fleet.routers[0].note_delivered(run_of(1, body=body), target(1))
            return sys.getrefcount(body) - references

        self.assertEqual(0, run_with_quarantines(scenario))
