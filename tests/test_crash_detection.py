"""Tests of how the crash of a target is told from other losses."""

import asyncio

import testtools

from dandelioncleat.app.direct.delivered_runs import OUTLIVED_S
from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.core.crash_cause import MIN_CRASHES, find_causes
from dandelioncleat.core.crash_records import CrashRecord
from dandelioncleat.core.crash_suspect import REQUEST_DEPTH
from dandelioncleat.platform.targets import HttpTargets
from dandelioncleat.ports.direct_target import TargetStatus
from tests.builders.addresses import refused_address, silent_address
from tests.builders.quarantine import (
    request,
    run_of,
    run_with_quarantines,
    target,
)


class RestartedTargetTest(testtools.TestCase):
    """A target that is back before it is probed has crashed all the same."""

    def _refusing(self, times, status=TargetStatus.ANSWERED, **options):
        async def scenario(fleet):
            await fleet.crash_and_restart(times, **options)
            return fleet.refusing()

        return run_with_quarantines(scenario, status=status)

    def test_target_that_is_listed_again_at_once(self):
        self.assertEqual(3, self._refusing(MIN_CRASHES, after_s=0))

    def test_target_that_is_listed_again_while_it_is_probed(self):
        self.assertEqual(3, self._refusing(MIN_CRASHES, after_s=0.02))

    def test_target_that_is_listed_again_later(self):
        self.assertEqual(3, self._refusing(MIN_CRASHES, after_s=1.4))

    def test_two_crashes_are_not_enough(self):
        self.assertEqual(0, self._refusing(MIN_CRASHES - 1))

    def test_restart_of_a_target_that_was_leaving_is_no_crash(self):
        self.assertEqual(0, self._refusing(MIN_CRASHES, is_leaving=True))

    def test_request_that_succeeded_meanwhile_is_not_recorded(self):
        async def scenario(fleet):
            fleet.routers[0].note_lost(run_of(1), target(1))
            await asyncio.sleep(0.1)
            fleet.routers[0].note_delivered(run_of(2), target(99))
            await asyncio.sleep(OUTLIVED_S)
            fleet.routers[0].note_entry(target(2))
            await asyncio.sleep(1)
            return await fleet.records()

        status = TargetStatus.ANSWERED
        self.assertEqual(0, run_with_quarantines(scenario, status=status))

    def test_request_that_had_just_succeeded_is_not_recorded(self):
        async def scenario(fleet):
            fleet.routers[0].note_delivered(run_of(1), target(99))
            await asyncio.sleep(1)
            fleet.routers[0].note_lost(run_of(2), target(1))
            await asyncio.sleep(1)
            return await fleet.records()

        self.assertEqual(0, run_with_quarantines(scenario))


class AddressOfACrashedTargetTest(testtools.TestCase):
    """Something may listen at the address of a target that has crashed."""

    def _refusing(self, status):
        async def scenario(fleet):
            await fleet.crash(MIN_CRASHES)
            return fleet.refusing()

        return run_with_quarantines(scenario, status=status)

    def test_another_target_answers(self):
        self.assertEqual(3, self._refusing(TargetStatus.OTHER))

    def test_nothing_answers_on_an_accepted_connection(self):
        self.assertEqual(3, self._refusing(TargetStatus.SILENT))

    def test_no_connection_can_be_opened(self):
        self.assertEqual(0, self._refusing(TargetStatus.UNKNOWN))


class LivingTargetTest(testtools.TestCase):
    """A target that goes on to write its entry has not crashed."""

    def _records(self, *, entry_after_s, status=TargetStatus.SILENT):
        async def scenario(fleet):
            router = fleet.routers[0]
            router.note_lost(run_of(1), target(1))
            await asyncio.sleep(entry_after_s)
            router.note_entry(target(1))
            await asyncio.sleep(1)
            return await fleet.records()

        return run_with_quarantines(scenario, status=status)

    def test_presumed_crash_is_withdrawn(self):
        self.assertEqual(0, self._records(entry_after_s=0.8))

    def test_entry_that_may_be_older_than_the_loss_proves_nothing(self):
        self.assertEqual(1, self._records(entry_after_s=0.3))

    def test_whole_answer_of_a_restarted_target_withdraws_nothing(self):
        async def scenario(fleet):
            await fleet.crash(1)
            before = await fleet.records()
            fleet.targets.found = TargetStatus.ANSWERED
            fleet.routers[1].note_closed(run_of(2), target(5))
            await asyncio.sleep(0.2)
            fleet.routers[1].note_entry(target(6))
            await asyncio.sleep(1)
            return before, await fleet.records()

        self.assertEqual((1, 2), run_with_quarantines(scenario))


class SentAfterACrashTest(testtools.TestCase):
    """What is sent to the address of a crashed target did not crash it."""

    def _records(self, **options):
        async def scenario(fleet):
            router = fleet.routers[0]
            router.note_lost(
                router.watch(request(1), is_after_loss=False), target(1)
            )
            await asyncio.sleep(0.01)
            later = request(2, path='/safe/b')
            run = router.watch(later, is_after_loss=False)
            router.note_lost(run, target(1), **options)
            await asyncio.sleep(1)
            return await fleet.records()

        return run_with_quarantines(scenario, status=TargetStatus.SILENT)

    def test_run_that_was_closed_unanswered_is_not_recorded(self):
        self.assertEqual(1, self._records(has_begun=False))

    def test_run_at_a_target_that_was_known_to_have_crashed(self):
        async def scenario(fleet):
            router = fleet.routers[0]
            run = router.watch(
                request(1), is_after_loss=False, is_after_crash=True
            )
            router.note_lost(run, target(1), has_begun=False)
            await asyncio.sleep(1)
            return await fleet.records()

        status = TargetStatus.SILENT
        self.assertEqual(0, run_with_quarantines(scenario, status=status))

    def test_run_that_was_answered_is_recorded(self):
        self.assertEqual(2, self._records(has_begun=True))


class StatusTest(testtools.TestCase):
    """What is at an address is found out within a second."""

    def _status(self, address_of):
        async def scenario():
            targets = HttpTargets()
            try:
                async with address_of() as address:
                    entry = target(1)._replace(address=address)
                    async with asyncio.timeout(1):
                        return await targets.status(entry, '/health')
            finally:
                await targets.close()

        return asyncio.run(scenario())

    def test_nothing_listens(self):
        self.assertEqual(TargetStatus.REFUSED, self._status(refused_address))

    def test_connection_is_accepted_and_closed(self):
        status = self._status(lambda: silent_address(closes=True))
        self.assertEqual(TargetStatus.SILENT, status)

    def test_connection_is_accepted_and_mute(self):
        self.assertEqual(TargetStatus.SILENT, self._status(silent_address))


class SeveralCausesTest(testtools.TestCase):
    """Requests that crash targets at the same time are all refused."""

    def test_request_whose_crashes_another_one_had_explained(self):
        records = [
            CrashRecord(suspect, f'i/{start}', 10 + start, REQUEST_DEPTH, False)
            for suspect, starts in (('a', range(4)), ('b', range(3)))
            for start in starts
        ]
        self.assertEqual({'a', 'b'}, find_causes(records).keys())

    def test_request_that_ran_beside_the_crashes_of_a_part(self):
        records = [
            CrashRecord(suspect, f'i/{start}', 10 + start, depth, True)
            for suspect, depth in (('part', 1), ('request', REQUEST_DEPTH))
            for start in range(3 + depth % 2)
        ]
        self.assertEqual({'part'}, find_causes(records).keys())


class AvoidedTargetTest(testtools.TestCase):
    """Routers avoid a target that any of them has found to have crashed."""

    def _is_avoided(self, *signs_at):
        state = TargetState(target(1), kv_tokens=0)
        state.crash_mark.note_crash(10)
        for at in signs_at:
            state.crash_mark.note_sign_of_life(at)
        return state.is_paused(20)

    def test_it_is_avoided_until_it_writes_its_entry(self):
        self.assertTrue(self._is_avoided())
        self.assertFalse(self._is_avoided(11))

    def test_entry_that_may_be_older_proves_nothing(self):
        self.assertTrue(self._is_avoided(10.2))

    def test_crash_that_is_blamed_on_nothing(self):
        async def scenario(fleet):
            fleet.routers[0].note_delivered(run_of(1), target(99))
            await asyncio.sleep(OUTLIVED_S)
            fleet.routers[0].note_lost(run_of(2), target(1))
            await asyncio.sleep(1)
            return await fleet.records(), fleet.listed.crashed_starts

        self.assertEqual((0, {'i/1'}), run_with_quarantines(scenario))
