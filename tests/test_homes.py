"""Tests of homes and claims during takeovers and log outages."""

import asyncio

from testtools import TestCase

from dandelioncleat.app.claim_manager import OUTAGE_WAIT_S
from dandelioncleat.core.configuration import LogOutagePolicy
from dandelioncleat.core.failure import Code
from dandelioncleat.core.identity import RequestKey, request_key_of
from dandelioncleat.core.message import (
    Begin,
    NotHome,
    Placed,
    Refusal,
    Report,
    SealRun,
)
from dandelioncleat.core.slot import slot_of
from tests.builders.sidecar_fleet import (
    Node,
    SidecarFleet,
    new_attach,
    run_on_fleet,
    wait_until,
)

KEY = RequestKey('org', 'invoice')
SLOTS = 16
GUARDED = {'on_log_outage': LogOutagePolicy.GUARDED}


async def start_owner_of_all_slots(
    fleet: SidecarFleet, host: str = 'a'
) -> Node:
    """Start the first sidecar and wait until it owns every slot."""
    node = await fleet.start(host)
    await wait_until_owned(node)
    return node


def key_owned_by(home: Node) -> str:
    """Return a key whose slot a node owns."""
    for number in range(1000):
        request = RequestKey('org', f'invoice {number}')
        slot = home.claims.slot(slot_of(request, SLOTS))
        if slot.owner == home.incarnation:
            return request.key
    raise AssertionError('the node owns no slot')


async def wait_until_owned(node: Node) -> float:
    """Wait until a node owns every slot and return how long it took."""
    return await wait_until(lambda: node.owned_slots() == SLOTS)


class ClaimManagerTest(TestCase):
    """A non-idempotent request begins once."""

    def test_retries_find_the_one_run(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            home = await start_owner_of_all_slots(fleet)
            attach = new_attach('invoice', home)
            replies = await asyncio.gather(
                *[home.ask(attach) for _ in range(5)],
            )
            begun = [one for one in replies if isinstance(one, Begin)]
            self.assertEqual(1, len(begun))
            placed = [one for one in replies if isinstance(one, Placed)]
            self.assertEqual([begun[0].run] * 4, [one.run for one in placed])
            other = await home.ask(
                new_attach('invoice', home, organisation='other'),
            )
            self.assertIsInstance(other, Begin)
            conflict = await home.ask(new_attach('invoice', home, body='x'))
            self.assertEqual(Code.CONFLICT, conflict.code)

        run_on_fleet(scenario)

    def test_lost_log_responses_give_one_run(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            fleet.log.lost_answer_share = 0.5
            home = await start_owner_of_all_slots(fleet)
            for number in range(10):
                attach = new_attach(f'invoice {number}', home)
                self.assertIsInstance(await home.ask(attach), Begin)
                self.assertIsInstance(await home.ask(attach), Placed)

        run_on_fleet(scenario)

    def test_sealed_run_frees_the_request(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            home = await start_owner_of_all_slots(fleet)
            attach = new_attach('invoice', home)
            first = await home.ask(attach)
            sealed = await home.ask(SealRun(first.run, home.incarnation))
            self.assertFalse(sealed.ran)
            await home.ask(Report(first.run, 0, False))
            second = await home.ask(attach)
            self.assertIsInstance(second, Begin)
            self.assertEqual(2, second.run.attempt)

        run_on_fleet(scenario)

    def test_search_without_executor_claims_nothing(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            home = await start_owner_of_all_slots(fleet)
            reply = await home.ask(new_attach('invoice', None))
            self.assertEqual(Code.NOT_FOUND, reply.code)
            self.assertIsNone(home.claims.claim_of(KEY))

        run_on_fleet(scenario)

    def test_delayed_attempt_does_not_begin_after_not_found(
        self,
    ) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            home = await start_owner_of_all_slots(fleet)
            for key, idempotent in (('invoice', False), ('lookup', True)):
                await home.ask(new_attach(key, None, idempotent=idempotent))
                await asyncio.sleep(1)
                delayed = new_attach(
                    key, home, idempotent=idempotent, age_ms=5000
                )
                reply = await home.ask(delayed)
                self.assertEqual(Code.SUPERSEDED, reply.code)
                self.assertFalse(reply.ran)
                fresh = new_attach(key, home, idempotent=idempotent, age_ms=100)
                self.assertIsInstance(await home.ask(fresh), Begin)

        run_on_fleet(scenario)

    def test_not_ready_before_it_joined(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            fleet.log.outage = True
            node = await fleet.start('a', ready=False)
            await asyncio.sleep(1)
            reply = await node.ask(new_attach('invoice', node))
            self.assertEqual(Code.NOT_READY, reply.code)
            fleet.log.outage = False
            await wait_until_owned(node)
            reply = await node.ask(new_attach('invoice', node))
            self.assertIsInstance(reply, Begin)

        run_on_fleet(scenario)


class TakeoverTest(TestCase):
    """A paused owner permits no second run after its slots were taken."""

    def test_paused_owner_does_not_begin_a_run_after_takeover(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            old = await start_owner_of_all_slots(fleet)
            new = await fleet.start('b')
            begun = await old.ask(new_attach('invoice', new))
            fleet.partition(old)
            await wait_until_owned(new)
            retried = await new.ask(new_attach('invoice', new))
            self.assertEqual(Placed(begun.run, new.incarnation), retried)
            fresh = new_attach('another', new)
            late = asyncio.create_task(old.ask(fresh))
            await asyncio.sleep(1)
            self.assertIsInstance(await new.ask(fresh), Begin)
            fleet.reconnect(old)
            self.assertEqual(NotHome(new.incarnation), await late)

        run_on_fleet(scenario)

    def test_claimed_key_whose_executor_is_gone_does_not_run_again(
        self,
    ) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            old = await start_owner_of_all_slots(fleet)
            new = await fleet.start('b')
            await old.ask(new_attach('invoice', old))
            await fleet.kill(old)
            await wait_until_owned(new)
            successor = await fleet.start('a')
            reply = await new.ask(new_attach('invoice', new))
            self.assertIsInstance(reply, Placed | Refusal)
            self.assertNotIsInstance(reply, Begin)
            sealed = await successor.ask(
                SealRun(reply.run, old.incarnation),
            )
            self.assertTrue(sealed.ran)

        run_on_fleet(scenario)

    def test_slots_of_a_leaving_owner_are_handed_over(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            old = await start_owner_of_all_slots(fleet)
            new = await fleet.start('b')
            begun = await old.ask(new_attach('invoice', new))
            report = await old.sidecar.stop()
            self.assertTrue(report.is_clean)
            self.assertLess(await wait_until_owned(new), 10)
            reply = await new.ask(new_attach('invoice', new))
            self.assertEqual(begun.run, reply.run)

        run_on_fleet(scenario, **GUARDED)


class BalanceTest(TestCase):
    """Slots move to their preferred owners and stay open."""

    def check(self, **settings) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            first = await start_owner_of_all_slots(fleet)
            begun = await first.ask(new_attach('invoice', first))
            others = [await fleet.start(host) for host in ('b', 'c')]
            await asyncio.sleep(40)
            nodes = [first, *others]
            shares = [node.owned_slots() for node in nodes]
            self.assertEqual(SLOTS, sum(shares))
            self.assertGreater(min(shares), 0)
            for node in nodes:
                reply = await node.ask(new_attach(key_owned_by(node), node))
                self.assertIsInstance(reply, Begin)
            replies = [
                await node.ask(new_attach('invoice', node)) for node in nodes
            ]
            placed = [one for one in replies if isinstance(one, Placed)]
            self.assertEqual([begun.run], [one.run for one in placed])

        run_on_fleet(scenario, **settings)

    def test_slots_move_under_the_refuse_policy(self) -> None:
        self.check()

    def test_slots_move_under_the_guarded_policy(self) -> None:
        self.check(**GUARDED)

    def test_owner_with_unrecorded_runs_keeps_its_slots(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            first = await start_owner_of_all_slots(fleet)
            await asyncio.sleep(20)
            fleet.log.outage = True
            begun = await first.ask(new_attach('invoice', first))
            self.assertIsInstance(begun, Begin)
            second = await fleet.start('b', ready=False)
            await asyncio.sleep(30)
            fleet.log.outage = False
            await asyncio.sleep(60)
            self.assertGreater(second.owned_slots(), 0)
            replies = [
                await node.ask(new_attach('invoice', node))
                for node in (first, second)
            ]
            placed = [one for one in replies if isinstance(one, Placed)]
            self.assertEqual([begun.run], [one.run for one in placed])

        run_on_fleet(scenario, **GUARDED)


class RefuseTest(TestCase):
    """With the policy ``refuse``, nothing runs during a log outage."""

    def test_refused_request_runs_once_when_it_is_retried(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            home = await start_owner_of_all_slots(fleet)
            fleet.log.outage = True
            await asyncio.sleep(60)
            start = asyncio.get_running_loop().time()
            reply = await home.ask(new_attach('invoice', home))
            self.assertEqual((Code.LOG, False), (reply.code, reply.ran))
            waited_s = asyncio.get_running_loop().time() - start
            self.assertLessEqual(waited_s, OUTAGE_WAIT_S)
            fleet.log.outage = False
            await asyncio.sleep(2)
            attach = new_attach('invoice', home)
            self.assertIsInstance(await home.ask(attach), Begin)
            self.assertIsInstance(await home.ask(attach), Placed)

        run_on_fleet(scenario)

    def test_idempotent_requests_do_not_wait_for_the_log(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            home = await start_owner_of_all_slots(fleet)
            fleet.log.outage = True
            start = asyncio.get_running_loop().time()
            reply = await home.ask(new_attach('look', home, idempotent=True))
            self.assertIsInstance(reply, Begin)
            self.assertEqual(start, asyncio.get_running_loop().time())

        run_on_fleet(scenario)


class GuardedTest(TestCase):
    """With the policy ``guarded``, owners permit runs without the log."""

    async def begin_unrecorded_run(self, home: Node) -> Begin:
        """Begin a run whose claim is not in the log."""
        attach = new_attach(key_owned_by(home), home)
        begun = await home.ask(attach)
        self.assertIsInstance(begun, Begin)
        self.assertEqual(
            Placed(begun.run, home.incarnation), await home.ask(attach)
        )
        return begun

    def test_unrecorded_run_is_recorded_when_the_log_is_back(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            home = await start_owner_of_all_slots(fleet)
            await asyncio.sleep(20)
            fleet.log.outage = True
            begun = await self.begin_unrecorded_run(home)
            self.assertEqual(
                1, home.sidecar.homes.claim_manager.unrecorded_runs
            )
            fleet.log.outage = False
            await asyncio.sleep(5)
            request = request_key_of(begun.run)
            self.assertEqual(begun.run, home.claims.claim_of(request).run)
            self.assertEqual(
                0, home.sidecar.homes.claim_manager.unrecorded_runs
            )
            reply = await home.ask(new_attach(begun.run.key, home))
            self.assertEqual(begun.run, reply.run)

        run_on_fleet(scenario, **GUARDED)

    def test_owner_killed_with_unrecorded_run_leaves_slots_closed(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            old = await start_owner_of_all_slots(fleet)
            new = await fleet.start('b')
            await asyncio.sleep(20)
            fleet.log.outage = True
            begun = await self.begin_unrecorded_run(old)
            await fleet.kill(old)
            fleet.hosts.leaving_by_host.pop('a')
            await asyncio.sleep(10)
            fleet.log.outage = False
            await wait_until_owned(new)
            attach = new_attach(begun.run.key, new)
            reply = await new.ask(attach)
            self.assertEqual((Code.UNKNOWN, True), (reply.code, reply.ran))
            await asyncio.sleep(3600)
            self.assertEqual(Code.UNKNOWN, (await new.ask(attach)).code)
            await asyncio.sleep(3700)
            self.assertIsInstance(await new.ask(attach), Begin)

        run_on_fleet(scenario, **GUARDED)

    def test_owner_killed_without_an_outage_leaves_slots_open(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            old = await start_owner_of_all_slots(fleet)
            new = await fleet.start('b')
            await asyncio.sleep(60)
            key = key_owned_by(old)
            await fleet.kill(old)
            fleet.hosts.leaving_by_host.pop('a')
            self.assertLess(await wait_until_owned(new), 15)
            reply = await new.ask(new_attach(key, new))
            self.assertIsInstance(reply, Begin)

        run_on_fleet(scenario, **GUARDED)

    def test_owner_killed_after_recording_leaves_slots_open(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            old = await start_owner_of_all_slots(fleet)
            new = await fleet.start('b')
            await asyncio.sleep(20)
            fleet.log.outage = True
            begun = await self.begin_unrecorded_run(old)
            fleet.log.outage = False
            await asyncio.sleep(30)
            await fleet.kill(old)
            fleet.hosts.leaving_by_host.pop('a')
            await wait_until_owned(new)
            reply = await new.ask(new_attach('another', new))
            self.assertIsInstance(reply, Begin)
            reply = await new.ask(new_attach(begun.run.key, new))
            self.assertEqual(begun.run, reply.run)

        run_on_fleet(scenario, **GUARDED)

    def test_partitioned_owner_waits_for_its_declared_guard_time(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            old = await start_owner_of_all_slots(fleet)
            await fleet.start('b')
            await asyncio.sleep(20)
            fleet.peers.cut_off_hosts.add('a')
            fleet.log.outage = True
            attach = new_attach(key_owned_by(old), old)
            reply = await old.ask(attach)
            self.assertEqual((Code.LOG, False), (reply.code, reply.ran))
            await asyncio.sleep(45)
            reply = await old.ask(attach)
            self.assertIsInstance(reply, Begin)

        run_on_fleet(scenario, **GUARDED)

    def test_takeover_in_progress_prevents_unrecorded_runs(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            old = await start_owner_of_all_slots(fleet)
            new = await fleet.start('b')
            await asyncio.sleep(20)
            notices = new.sidecar.homes.notices
            notices.begin_takeover(frozenset((old.incarnation,)))
            fleet.log.outage = True
            attach = new_attach(key_owned_by(old), old)
            reply = await old.ask(attach)
            self.assertEqual(Code.LOG, reply.code)
            notices.end_takeover()
            reply = await old.ask(attach)
            self.assertIsInstance(reply, Begin)

        run_on_fleet(scenario, **GUARDED)

    def test_sidecar_unknown_to_the_owner_takes_slots_over_closed(
        self,
    ) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            old = await start_owner_of_all_slots(fleet)
            await asyncio.sleep(20)
            old.log.connected.clear()
            new = await fleet.start('b')
            await asyncio.sleep(5)
            await fleet.kill(old)
            fleet.hosts.leaving_by_host.pop('a')
            self.assertGreater(await wait_until_owned(new), 55)
            reply = await new.ask(new_attach('invoice', new))
            self.assertEqual((Code.UNKNOWN, True), (reply.code, reply.ran))

        run_on_fleet(scenario, **GUARDED)

    def test_owner_not_on_the_host_list_permits_nothing(
        self,
    ) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            old = await start_owner_of_all_slots(fleet)
            await asyncio.sleep(20)
            fleet.partition(old)
            fleet.hosts.leaving_by_host.pop('a')
            await asyncio.sleep(60)
            reply = await old.ask(new_attach('invoice', old))
            self.assertEqual((Code.LOG, False), (reply.code, reply.ran))
            fleet.reconnect(old)

        run_on_fleet(scenario, **GUARDED)
