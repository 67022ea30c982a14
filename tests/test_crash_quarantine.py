"""Tests of requests that crash the targets that run them."""

import asyncio

import testtools

from dandelioncleat.adapters.system_clock import SystemClock
from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.crash_quarantine import CrashQuarantine
from dandelioncleat.app.direct.shared_crash_records import CRASHES_TOPIC
from dandelioncleat.core.crash_records import (
    QUARANTINE_CRASHES,
    QUARANTINE_S,
    CrashRecord,
    CrashRecords,
)
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import (
    DirectRequest,
    ModelPrompt,
    PromptPart,
)
from dandelioncleat.standin.keyed_store import MemoryKeyedStore, StoreFaults
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
from tests.builders.quarantine import list_start, wait_for_crash
from tests.builders.wallets import HostClock


def request(number, path='/safe/a', body=b'{}'):
    """Return a caller's attempt; repeats differ in their id only."""
    return DirectRequest(
        f'r-{number}', 'POST', 'api.example', path, (), body, key='k'
    )


def target(started_at):
    """Return the entry of one start of a target."""
    return TargetEntry('i', 's', '10.0.0.1:80', 'z', 8, False, started_at)


class FakeTargets:
    """Targets of which all refuse connections, or none does."""

    def __init__(self, *, have_crashed=True):
        """Set whether the targets have crashed."""
        self.have_crashed = have_crashed
        self.probes = 0

    async def refuses_connections(self, entry):
        """Return whether the targets have crashed."""
        self.probes += 1
        return self.have_crashed


class QuarantineFleet:
    """The quarantines of some routers that share a store."""

    def __init__(self, count, targets):
        """Start the routers."""
        self.store = MemoryKeyedStore()
        self.targets = targets
        self.routers = [
            CrashQuarantine(
                self.store.client(), targets, host=f'h{n}', clock=HostClock()
            )
            for n in range(count)
        ]
        self._tasks = [
            asyncio.ensure_future(router.run()) for router in self.routers
        ]

    async def crash(self, times, body=b'{}'):
        """Let a request crash targets, each time at another router."""
        for number in range(times):
            router = self.routers[number % len(self.routers)]
            router.note_lost(request(number, body=body), target(number))
            await asyncio.sleep(1)

    def refusing(self, body=b'{}'):
        """Return how many routers refuse the request."""
        again = request(99, body=body)
        return sum(each.find(again) is not None for each in self.routers)

    async def end(self):
        """Stop the routers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def run_with_quarantines(scenario, *, have_crashed=True, count=3):
    """Run a scenario with some routers and return its result."""

    async def play():
        fleet = QuarantineFleet(count, FakeTargets(have_crashed=have_crashed))
        await asyncio.sleep(1)
        try:
            return await scenario(fleet)
        finally:
            await fleet.end()

    return run(play())


class SharedQuarantineTest(testtools.TestCase):
    """A request that crashed targets at several routers is refused by all."""

    def _refusing_after(self, crashes, **options):
        async def scenario(fleet):
            await fleet.crash(crashes)
            return fleet.refusing(), fleet.refusing(b'another')

        return run_with_quarantines(scenario, **options)

    def test_all_routers_refuse_it_after_three_crashes(self):
        self.assertEqual((3, 0), self._refusing_after(QUARANTINE_CRASHES))

    def test_two_crashes_are_not_enough(self):
        crashes = QUARANTINE_CRASHES - 1
        self.assertEqual((0, 0), self._refusing_after(crashes))

    def test_reset_connections_are_no_crash(self):
        self.assertEqual((0, 0), self._refusing_after(9, have_crashed=False))

    def test_losses_at_one_start_count_once_and_are_probed_once(self):
        async def scenario(fleet):
            for number in range(9):
                fleet.routers[0].note_lost(request(number), target(1))
            await asyncio.sleep(1)
            return fleet.refusing()

        self.assertEqual(0, run_with_quarantines(scenario))

    def test_a_router_that_starts_later_refuses_it(self):
        async def scenario(fleet):
            await fleet.crash(QUARANTINE_CRASHES)
            late = CrashQuarantine(
                fleet.store.client(),
                FakeTargets(),
                host='late',
                clock=HostClock(),
            )
            task = asyncio.ensure_future(late.run())
            await asyncio.sleep(1)
            task.cancel()
            return late.find(request(9)) is not None

        self.assertTrue(run_with_quarantines(scenario))

    def test_a_router_that_starts_again_keeps_what_its_host_recorded(self):
        async def scenario(fleet):
            await fleet.crash(QUARANTINE_CRASHES - 1)
            fleet.store.faults = StoreFaults(slow_s=0.3)
            successor = CrashQuarantine(
                fleet.store.client(),
                FakeTargets(),
                host='h0',
                clock=HostClock(),
            )
            task = asyncio.ensure_future(successor.run())
            successor.note_lost(request(8), target(8))
            await asyncio.sleep(3)
            task.cancel()
            return successor.find(request(9)) is not None, fleet.refusing()

        self.assertEqual((True, 1), run_with_quarantines(scenario, count=1))

    def test_crashes_in_an_outage_are_shared_after_it(self):
        async def scenario(fleet):
            fleet.store.faults = StoreFaults(outage=True)
            await fleet.crash(QUARANTINE_CRASHES)
            during = fleet.refusing()
            fleet.store.faults = StoreFaults()
            await asyncio.sleep(1)
            return during, fleet.refusing()

        self.assertEqual((0, 3), run_with_quarantines(scenario))

    def test_a_success_withdraws_the_records_everywhere(self):
        async def scenario(fleet):
            await fleet.crash(QUARANTINE_CRASHES - 1)
            fleet.routers[2].note_delivered(request(5))
            await asyncio.sleep(1)
            left = (await fleet.store.newest(CRASHES_TOPIC)).records
            await fleet.crash(QUARANTINE_CRASHES - 1)
            return len(left), fleet.refusing()

        self.assertEqual((0, 0), run_with_quarantines(scenario))

    def test_records_expire(self):
        async def scenario(fleet):
            await fleet.crash(QUARANTINE_CRASHES)
            await asyncio.sleep(QUARANTINE_S + 60)
            left = (await fleet.store.newest(CRASHES_TOPIC)).records
            return fleet.refusing(), len(left)

        self.assertEqual((0, 0), run_with_quarantines(scenario))


class LogTest(testtools.TestCase):
    """The line of a probe names the lost requests and what it found."""

    def _line(self, *, prompt=None, **options):
        lost = request(7)._replace(prompt=prompt)

        async def scenario(fleet):
            fleet.routers[0].note_lost(lost, target(1))
            await asyncio.sleep(1)

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
            self._line(have_crashed=False),
        )


class CrashRecordsTest(testtools.TestCase):
    """The records of all hosts count together."""

    def test_equal_starts_count_once(self):
        records = CrashRecords()
        for start in ('i/1', 'i/2', 'i/1', 'i/2'):
            records.put(CrashRecord('d', start, 10))
        self.assertIsNone(records.quarantine('d', 10))
        records.put(CrashRecord('d', 'i/3', 10))
        found = records.quarantine('d', 11)
        self.assertEqual((3, QUARANTINE_S - 1), found)


class RouterTest(testtools.TestCase):
    """The router recognises crashes, and refuses what causes them."""

    def test_a_crash_is_recorded_and_the_third_quarantines(self):
        async def scenario(fleet):
            for number in range(QUARANTINE_CRASHES):
                await list_start(fleet, number)
                fleet.app.answers = [crashed(fleet.app)]
                await fleet.call('/once/a')
                await wait_for_crash(fleet, fleet.app, number)
                await fleet.app.start()
            await list_start(fleet, QUARANTINE_CRASHES)
            fleet.app.answers = [text_answer('ok')] * 2
            other = await fleet.call('/once/b')
            again = await fleet.call('/once/a')
            return other[0], again, len(fleet.app.requests)

        other, again, sent = run_with_fleet(scenario)
        self.assertEqual((200, 503, 4), (other, again[0], sent))
        self.assertEqual(b'crashes_targets', again[2])


class EndOfConnectionTest(testtools.TestCase):
    """A crash may close the connection of an answer without a length."""

    def _crash_last(self, last_answer):
        """Crash two targets plainly and one at the end of an answer."""

        async def scenario(fleet):
            answers = [crashed(fleet.llm)] * (QUARANTINE_CRASHES - 1)
            for number, answer in enumerate((*answers, last_answer(fleet.llm))):
                await list_start(fleet, number, fleet.llm)
                fleet.llm.answers = [answer]
                await fleet.raw_answer('/single/a', **MODEL_HEADERS)
                await wait_for_crash(fleet, fleet.llm, number)
                await fleet.llm.start()
            await list_start(fleet, QUARANTINE_CRASHES, fleet.llm)
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
            fleet.routers[0].note_lost(request(1), target(1))
            await asyncio.sleep(1)
            fleet.targets.have_crashed = False
            fleet.routers[1].note_closed(request(2), target(2))
            await asyncio.sleep(1)
            return len((await fleet.store.newest(CRASHES_TOPIC)).records)

        self.assertEqual(0, run_with_quarantines(scenario))


class SentAgainTest(testtools.TestCase):
    """A request that is quarantined while it runs is not sent again."""

    def test_request_is_not_sent_on_once_it_is_quarantined(self):
        async def scenario(fleet):
            await fleet.put('servers', 'i-llm2', fleet.llm2.entry())
            await fleet.wait_until(lambda: fleet.router.target_count('llm') > 1)
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
    other = CrashQuarantine(
        fleet.store.client(), FakeTargets(), host='h2', clock=SystemClock()
    )
    task = asyncio.ensure_future(other.run())
    # What is recorded with it tells when the router has read the records.
    fleet.app.answers = [text_answer('no', 500)] * 1000
    for number in range(QUARANTINE_CRASHES):
        for each in (path, '/once/marker'):
            lost = request(number, path=each)._replace(key=KEY)
            other.note_lost(lost, target(number))
    async with asyncio.timeout(20):
        while (  # noqa: ASYNC110
            await fleet.call('/once/marker')
        )[0] != 503:
            await asyncio.sleep(0.01)
    task.cancel()
