"""Tests of crashes under runs that nobody waits for any more."""

import asyncio

import testtools

from dandelioncleat.app.direct.abandoned_runs import MAX_RUNS, AbandonedRuns
from dandelioncleat.app.direct.delivered_runs import OUTLIVED_S
from dandelioncleat.core.crash_cause import (
    MIN_CRASHES,
    find_causes,
)
from dandelioncleat.core.crash_records import CrashRecord
from dandelioncleat.core.crash_suspect import REQUEST_DEPTH, request_suspect
from dandelioncleat.core.direct_request import ModelPrompt, PromptPart
from dandelioncleat.core.outlived_runs import OutlivedRuns
from dandelioncleat.core.quarantine_trial import QuarantineTrials
from dandelioncleat.ports.answer_watch import AnswerWatch
from dandelioncleat.ports.direct_target import TargetStatus
from tests.builders.direct import (
    crashed,
    never_answered,
    run_with_fleet,
    text_answer,
)
from tests.builders.quarantine import (
    abandon,
    request,
    run_of,
    run_with_quarantines,
    target,
    wait_for_crash,
)


class RestartedTargetTest(testtools.TestCase):
    """A target that starts again has crashed under what it was given."""

    def _refusing(self, times=MIN_CRASHES, *, after_s=0.4, **options):
        async def scenario(fleet):
            for number in range(times):
                router = fleet.routers[number % len(fleet.routers)]
                abandon(router, number, target(2 * number), **options)
                await asyncio.sleep(after_s)
                fleet.list_start(2 * number + 1)
                await asyncio.sleep(0.2)
            return fleet.refusing()

        return run_with_quarantines(scenario, status=TargetStatus.ANSWERED)

    def test_request_is_refused_after_four_crashes(self):
        self.assertEqual(3, self._refusing())

    def test_target_that_is_back_two_seconds_later(self):
        self.assertEqual(3, self._refusing(after_s=2))

    def test_three_crashes_are_not_enough(self):
        self.assertEqual(0, self._refusing(MIN_CRASHES - 1))

    def test_restart_of_a_target_that_was_leaving_is_no_crash(self):
        self.assertEqual(0, self._refusing(is_leaving=True))

    def test_run_that_ended_long_ago(self):
        self.assertEqual(0, self._refusing(after_s=30))

    def test_prompt_part(self):
        async def scenario(fleet):
            for number in range(MIN_CRASHES):
                parts = (PromptPart('bad', 60), PromptPart(f'p{number}', 40))
                prompt = ModelPrompt('m', 100, 50, parts)
                abandon(
                    fleet.routers[0],
                    number,
                    target(2 * number),
                    path=f'/safe/{number}',
                    prompt=prompt,
                )
                await asyncio.sleep(0.4)
                fleet.list_start(2 * number + 1)
                await asyncio.sleep(0.2)
            parts = (PromptPart('bad', 60), PromptPart('p9', 40))
            again = request(9, path='/safe/9')._replace(
                prompt=ModelPrompt('m', 100, 50, parts)
            )
            return sum(each.find(again) is not None for each in fleet.routers)

        status = TargetStatus.ANSWERED
        self.assertEqual(3, run_with_quarantines(scenario, status=status))


class SignOfACrashTest(testtools.TestCase):
    """A crash is found out before its target is back."""

    def _records(self, notice, **options):
        """Return the records of a run that was given up 0.4 s before."""

        async def scenario(fleet):
            abandon(fleet.routers[0], 1, target(1))
            await asyncio.sleep(0.4)
            notice(fleet)
            await asyncio.sleep(1)
            return await fleet.records()

        return run_with_quarantines(scenario, **options)

    def test_connection_that_is_refused(self):
        records = self._records(
            lambda fleet: fleet.routers[0].note_unreachable(target(1))
        )
        self.assertEqual(1, records)

    def test_connection_that_broke_off_at_a_target_that_lives(self):
        records = self._records(
            lambda fleet: fleet.routers[0].note_unreachable(target(1)),
            status=TargetStatus.ANSWERED,
        )
        self.assertEqual(0, records)

    def test_run_that_breaks_off_at_the_same_time(self):
        records = self._records(
            lambda fleet: fleet.routers[0].note_lost(
                run_of(2, path='/safe/b'), target(1)
            )
        )
        self.assertEqual(2, records)

    def test_run_that_breaks_off_at_another_router(self):
        records = self._records(
            lambda fleet: fleet.routers[1].note_lost(
                run_of(2, path='/safe/b'), target(1)
            )
        )
        self.assertEqual(2, records)

    def test_presumed_crash_is_withdrawn(self):
        async def scenario(fleet):
            abandon(fleet.routers[0], 1, target(1))
            await asyncio.sleep(0.4)
            fleet.routers[0].note_unreachable(target(1))
            await asyncio.sleep(0.4)
            presumed = await fleet.records()
            await asyncio.sleep(0.4)
            fleet.routers[0].note_entry(target(1))
            await asyncio.sleep(1)
            return presumed, await fleet.records()

        status = TargetStatus.SILENT
        self.assertEqual((1, 0), run_with_quarantines(scenario, status=status))


class SoundRequestTest(testtools.TestCase):
    """A request whose callers leave is sound if its targets live on."""

    def _refusing(self, between, *, times=9):
        """Let a target crash beside each run, and do something between."""

        async def scenario(fleet):
            for number in range(times):
                abandon(fleet.routers[0], number, target(2 * number))
                await asyncio.sleep(0.4)
                fleet.list_start(2 * number + 1)
                await asyncio.sleep(0.2)
                await between(fleet, 1000 + number)
            return fleet.refusing()

        return run_with_quarantines(scenario, status=TargetStatus.ANSWERED)

    def test_target_that_has_outlived_the_request(self):
        async def outlive(fleet, number):
            other = target(1)._replace(id='other')
            abandon(fleet.routers[1], number, other)
            await asyncio.sleep(3)
            fleet.routers[1].note_entry(other)
            await asyncio.sleep(0.2)

        self.assertEqual(0, self._refusing(outlive))

    def test_success(self):
        async def succeed(fleet, number):
            fleet.routers[1].note_delivered(run_of(number), target(99))
            await asyncio.sleep(OUTLIVED_S + 0.2)

        self.assertEqual(0, self._refusing(succeed))

    def test_entry_that_is_too_early_proves_nothing(self):
        async def write_entry(fleet, number):
            other = target(number)._replace(id='other')
            abandon(fleet.routers[1], number, other)
            await asyncio.sleep(1)
            fleet.routers[1].note_entry(other)

        self.assertEqual(3, self._refusing(write_entry))

    def test_targets_that_lost_their_power_together_count_once(self):
        records = [
            CrashRecord('d', f'i/{start}', 10, REQUEST_DEPTH, False, True)
            for start in range(MIN_CRASHES)
        ]
        self.assertEqual({}, find_causes(records))


class OutlivedRunsTest(testtools.TestCase):
    """Outlived runs clear a suspect if they are far more than its crashes."""

    def _is_cleared(self, runs, *, crashes, routers=1, age_s=0):
        outlived = OutlivedRuns()
        suspect = request_suspect(request(1))
        for _ in range(runs):
            outlived.note([suspect], 10)
        return outlived.clear(
            suspect, 10 + age_s, crashes=crashes, routers=routers
        )

    def test_three_runs_for_each_crash(self):
        self.assertTrue(self._is_cleared(9, crashes=2))
        self.assertFalse(self._is_cleared(8, crashes=2))

    def test_other_routers_get_as_many(self):
        self.assertTrue(self._is_cleared(3, crashes=2, routers=3))

    def test_old_runs_tell_nothing(self):
        self.assertFalse(self._is_cleared(9, crashes=2, age_s=11))


class ClosedRunTest(testtools.TestCase):
    """A target that closes the connection of a run may still go on with it.

    Most drop it. A request that crashed the others was neither blamed where
    another run broke off, nor was a sound one cleared by those that dropped it.
    """

    def _runs(self, *, closed_at):
        """Return the runs of one that ended at 1 s."""
        runs = AbandonedRuns()
        runs.add(
            run_of(1),
            target(1),
            now=1,
            leaves=lambda: False,
            watch=_closed(closed_at),
        )
        return runs

    def _suspected(self, *, closed_at, lost_at):
        runs = self._runs(closed_at=closed_at)
        return len(runs.near(target(1).start, lost_at, now=2))

    def test_target_has_outlived_it(self):
        for closed_at in (None, 1.1):
            runs = self._runs(closed_at=closed_at)
            self.assertEqual(1, len(runs.take_survived(target(1).start, 5)))
            self.assertEqual(0, len(runs))

    def test_it_is_blamed_for_a_crash_soon_after(self):
        self.assertEqual(1, self._suspected(closed_at=1.1, lost_at=[1.5]))

    def test_it_is_not_blamed_for_a_later_crash(self):
        self.assertEqual(0, self._suspected(closed_at=1.1, lost_at=[1.7]))
        self.assertEqual(1, self._suspected(closed_at=None, lost_at=[1.7]))

    def test_connection_that_closes_in_a_crash_drops_nothing(self):
        self.assertEqual(1, self._suspected(closed_at=1.5, lost_at=[1.5]))
        self.assertEqual(1, self._suspected(closed_at=1.5, lost_at=[]))

    def _refusing(self, *, outlived_each):
        """Let targets crash soon after they closed a run's connection.

        :param outlived_each: runs whose connections other targets closed, for
            each crash and at the same router
        """

        async def scenario(fleet):
            for number in range(MIN_CRASHES):
                router = fleet.routers[number % len(fleet.routers)]
                await _outlive(router, outlived_each)
                watch = _closed(asyncio.get_running_loop().time())
                abandon(router, number, target(2 * number), watch=watch)
                await asyncio.sleep(0.4)
                fleet.list_start(2 * number + 1)
                await asyncio.sleep(0.2)
            return fleet.refusing()

        return run_with_quarantines(scenario, status=TargetStatus.ANSWERED)

    def test_request_is_refused_though_some_targets_drop_it(self):
        self.assertEqual(3, self._refusing(outlived_each=0))
        self.assertEqual(3, self._refusing(outlived_each=1))

    def test_sound_request_that_nearly_all_targets_outlive(self):
        self.assertEqual(0, self._refusing(outlived_each=3))

    def _records(self, *, is_closed):
        """Return the records of a crash, and after others outlived runs."""

        async def scenario(fleet):
            abandon(fleet.routers[0], 1, target(0))
            await asyncio.sleep(0.4)
            fleet.list_start(1)
            await asyncio.sleep(1)
            before = await fleet.records()
            await _outlive(fleet.routers[0], 9, is_closed=is_closed)
            await asyncio.sleep(1)
            return before, await fleet.records()

        return run_with_quarantines(scenario, status=TargetStatus.ANSWERED)

    def test_outlived_it_clears_nothing_that_is_known(self):
        self.assertEqual((1, 1), self._records(is_closed=True))
        self.assertEqual((1, 0), self._records(is_closed=False))


def _closed(closed_at):
    """Return the watch of a run whose connection its target closed."""
    watch = AnswerWatch()
    watch.dropped_at = closed_at
    return watch


async def _outlive(router, count, *, is_closed=True):
    """Let targets live on after they closed the connections of runs, or not."""
    others = [target(1)._replace(id=f'other-{each}') for each in range(count)]
    closed_at = asyncio.get_running_loop().time() if is_closed else None
    for other in others:
        abandon(router, 1, other, watch=_closed(closed_at))
    await asyncio.sleep(3)
    for other in others:
        router.note_entry(other)


class TrialTest(testtools.TestCase):
    """A request that is blamed for abandoned runs is tried soon."""

    def _tries(self, *, is_doubtful, after_s):
        trials = QuarantineTrials('h')
        trials.begin('d', 0, is_known=False, is_doubtful=is_doubtful)
        return [
            moment
            for moment in range(after_s)
            if trials.take('d', moment, cores_by_host={'h': 1})
        ]

    def test_it_is_tried_soon_and_then_as_seldom_as_others(self):
        tries = self._tries(is_doubtful=True, after_s=600)
        self.assertEqual([8, 128], tries)

    def test_request_that_crashes_interrupted(self):
        tries = self._tries(is_doubtful=False, after_s=600)
        self.assertEqual([30, 150], tries)


class BoundTest(testtools.TestCase):
    """Many callers that leave take a bounded memory."""

    def test_runs_are_bounded(self):
        runs = AbandonedRuns()
        for number in range(2 * MAX_RUNS):
            runs.add(
                run_of(number, path=f'/safe/{number}'),
                target(number // 100),
                now=1,
                leaves=lambda: False,
            )
        self.assertEqual(MAX_RUNS, len(runs))

    def test_equal_runs_are_kept_once(self):
        runs = AbandonedRuns()
        for number in range(9):
            runs.add(run_of(number), target(1), now=1, leaves=lambda: False)
        self.assertEqual(1, len(runs))

    def test_old_runs_are_dropped(self):
        runs = AbandonedRuns()
        for now in (0, 100):
            path = f'/safe/{now}'
            lost = run_of(now, path=path)
            runs.add(lost, target(now), now=now, leaves=lambda: False)
        self.assertEqual(1, len(runs))


class RouterTest(testtools.TestCase):
    """The router notes the runs that end while their target goes on."""

    def _answer(self, path, give_up):
        async def scenario(fleet):
            for number in range(MIN_CRASHES):
                await _list_again(fleet, number)
                fleet.app.answers = [never_answered(), crashed(fleet.app)]
                await give_up(fleet, path)
                await fleet.call(f'/once/other-{number}')
                await wait_for_crash(fleet, fleet.app, number + 1)
                await fleet.app.start()
            await _list_again(fleet, MIN_CRASHES)
            fleet.app.answers = [text_answer('ok')]
            again = await fleet.call(path)
            return again[0], again[2]

        return run_with_fleet(scenario)

    def test_caller_has_left(self):
        for path in ('/safe/a', '/once/a'):
            self.assertEqual(
                (503, b'crashes_targets'), self._answer(path, _leave)
            )

    def test_time_is_over(self):
        self.assertEqual(
            (503, b'crashes_targets'), self._answer('/once/a', _wait)
        )


async def _leave(fleet, path):
    before = len(fleet.app.requests)
    call = asyncio.ensure_future(fleet.call(path))
    await fleet.wait_until(lambda: len(fleet.app.requests) > before)
    fleet.app.cancelled.clear()
    call.cancel()
    await fleet.app.cancelled.wait()


async def _wait(fleet, path):
    await fleet.call(path, **{'Deadline-Ms': '300'})


async def _list_again(fleet, started_at):
    """List a later start of the target, without a leave before."""
    entry = {**fleet.app.entry(), 'born': started_at + 1, 'sequence': 1}
    await fleet.put('servers', fleet.app.name, entry)
    await asyncio.sleep(0.5)
