"""Tests of a sidecar's lifecycle: joining, draining, leaving, stopping."""

import asyncio
from contextlib import aclosing

from msgspec import structs
from testtools import TestCase

from dandelioncleat.core.failure import Code
from dandelioncleat.core.message import (
    AskStatus,
    Begin,
    Chunk,
    Placed,
    Resume,
    WatchLoad,
)
from dandelioncleat.core.record import Retire
from dandelioncleat.ports.target import Piece
from tests.builders.sidecar import (
    ROUTER,
    new_configuration,
    new_dispatch,
    run_id,
)
from tests.builders.sidecar_fleet import (
    CONTEXT,
    Node,
    SidecarFleet,
    new_attach,
    run_on_fleet,
)


def dispatch_for(node: Node, key: str = 'key', **options):
    """Return a dispatch that a node may run."""
    return new_dispatch(key=key, executor=node.incarnation, **options)


class JoinTest(TestCase):
    """A sidecar takes work only after it has joined the fleet."""

    def test_refuses_until_it_has_joined(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            fleet.log.outage = True
            node = await fleet.start('a', ready=False)
            await asyncio.sleep(5)
            refusal = await node.ask(dispatch_for(node))
            self.assertEqual(Code.NOT_READY, refusal.code)
            status = await node.ask(AskStatus())
            self.assertEqual('starting', status.state)
            fleet.log.outage = False
            await asyncio.sleep(5)
            answer = node.read(dispatch_for(node, 'later'))
            await asyncio.sleep(0)
            node.target.answer(run_id('later'), b'x')
            self.assertTrue((await answer)[-1].complete)

        run_on_fleet(scenario, 'llm')

    def test_target_learns_a_growing_fencing_number(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            first = await fleet.start('a')
            second = await fleet.start('b')
            self.assertGreater(first.target.fencing_number, 0)
            self.assertGreater(
                second.target.fencing_number, first.target.fencing_number
            )
            answer = second.read(dispatch_for(second))
            await asyncio.sleep(0.01)
            second.target.answer(run_id(), b'x')
            await answer
            self.assertEqual(
                second.target.fencing_number, second.target.calls[0].fence
            )

        run_on_fleet(scenario, 'llm')

    def test_successor_ends_a_predecessor_that_is_fenced(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            current = fleet.configuration.current
            service = current.services_by_name['llm']
            services = {'llm': service._replace(checks_fencing=True)}
            fleet.configuration.set(current._replace(services_by_name=services))
            first = await fleet.start('a')
            await fleet.kill(first)
            second = await fleet.start('a')
            members = second.fleet.fold.members_by_incarnation
            self.assertTrue(members[first.incarnation].ended)

        run_on_fleet(scenario, 'llm')

    def test_successor_without_fencing_checks_does_not_end_a_predecessor(
        self,
    ) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            first = await fleet.start('a')
            await fleet.kill(first)
            second = await fleet.start('a')
            members = second.fleet.fold.members_by_incarnation
            self.assertFalse(members[first.incarnation].ended)

        run_on_fleet(scenario, 'llm')


class RetirementTest(TestCase):
    """A retired holder is drained by every sidecar that could serve it."""

    def test_retired_holder_is_drained_once_its_runs_are_billed(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            node = await fleet.start('a')
            answer = node.read(dispatch_for(node))
            await asyncio.sleep(0.1)
            await node.fleet.submit(Retire(ROUTER, 'gone'))
            await asyncio.sleep(1)
            fold = node.fleet.fold
            self.assertFalse(fold.retirement_complete(ROUTER))
            await asyncio.sleep(20)
            self.assertEqual('retired', (await answer)[-1].reason)
            self.assertTrue(fold.retirement_complete(ROUTER))
            self.assertIn('ledger-0', fleet.log.stream_names())
            refusal = await node.ask(dispatch_for(node, 'later'))
            self.assertEqual(Code.FENCED, refusal.code)

        run_on_fleet(scenario, 'llm')


class LeavingTest(TestCase):
    """Each of the signals stops new work and lets open runs finish."""

    def check(self, signal) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            node = await fleet.start('a', target='llm-1')
            answer = node.read(dispatch_for(node))
            await asyncio.sleep(0.1)
            loads = node.sidecar.answer(WatchLoad(), CONTEXT)
            async with aclosing(loads):
                self.assertFalse((await anext(loads)).leaving)
                await signal(fleet, node)
                async with asyncio.timeout(3):
                    async for load in loads:
                        if load.leaving:
                            break
            refusal = await node.ask(dispatch_for(node, 'new'))
            self.assertEqual(Code.LEAVING, refusal.code)
            node.target.answer(run_id(), b'whole')
            self.assertTrue((await answer)[-1].complete)

        run_on_fleet(scenario, 'llm')

    def test_host_list_stops_new_work(self) -> None:
        async def signal(fleet: SidecarFleet, node: Node) -> None:
            fleet.hosts.leaving_by_host['a'] = True

        self.check(signal)

    def test_drain_by_configuration_stops_new_work(self) -> None:
        async def signal(fleet: SidecarFleet, node: Node) -> None:
            fleet.configuration.set(new_configuration(drain=True))

        self.check(signal)

    def test_own_stop_stops_new_work(self) -> None:
        async def signal(fleet: SidecarFleet, node: Node) -> None:
            self.stop = asyncio.create_task(node.sidecar.stop())
            await asyncio.sleep(0.1)

        self.check(signal)


class StopTest(TestCase):
    """A planned stop loses nothing; one cut short reports what it lost."""

    def test_open_run_ends_and_its_bill_is_in_the_log(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            watcher = await fleet.start('b')
            node = await fleet.start('a')
            answer = node.read(dispatch_for(node))
            await asyncio.sleep(0.1)
            stop = asyncio.create_task(node.sidecar.stop())
            await asyncio.sleep(5)
            self.assertFalse(stop.done())
            node.target.answer(run_id(), b'whole')
            self.assertTrue((await answer)[-1].complete)
            self.assertTrue((await stop).is_clean)
            await asyncio.sleep(1)
            members = watcher.fleet.fold.members_by_incarnation
            self.assertTrue(members[node.incarnation].ended)
            self.assertIn('ledger-0', fleet.log.stream_names())
            self.assertTrue(node.task.done())

        run_on_fleet(scenario, 'llm')

    def test_answer_is_fetched_after_its_router_died(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            node = await fleet.start('a')
            answer = node.read(dispatch_for(node))
            await asyncio.sleep(0.1)
            answer.cancel()
            stop = asyncio.create_task(node.sidecar.stop())
            await asyncio.sleep(0.1)
            node.target.answer(run_id(), b'whole')
            await asyncio.sleep(2)
            resume = Resume(run_id(), node.incarnation, 0)
            messages = await node.read(resume)
            self.assertEqual(b'whole', messages[0].data)
            self.assertTrue((await stop).is_clean)

        run_on_fleet(scenario, 'llm')

    def test_stop_past_its_limit_cuts_and_reports_open_runs(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            node = await fleet.start('a')
            answer = node.read(dispatch_for(node))
            await asyncio.sleep(0.1)
            report = await node.sidecar.stop(limit_s=3)
            self.assertEqual((run_id(),), report.cut)
            self.assertIn('1 runs cut', report.text)
            self.assertFalse((await answer)[-1].complete)

        run_on_fleet(scenario, 'llm')

    def test_second_stop_ends_at_once_and_counts_lost_bills(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            node = await fleet.start('a')
            fleet.log.outage = True
            answer = node.read(dispatch_for(node))
            await asyncio.sleep(0.1)
            node.target.answer(run_id(), b'x')
            await answer
            first = asyncio.create_task(node.sidecar.stop())
            await asyncio.sleep(1)
            self.assertFalse(first.done())
            report = await node.sidecar.stop()
            self.assertEqual(1, report.unbilled)
            self.assertEqual(report, await first)

        run_on_fleet(scenario, 'llm')


class LoadTest(TestCase):
    """Routers see what runs here and when the target is down."""

    def test_changes_of_the_load_are_reported(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            node = await fleet.start('a', target='llm-1')
            await asyncio.sleep(1)
            loads = node.sidecar.answer(WatchLoad(), CONTEXT)
            async with aclosing(loads):
                load = await anext(loads)
                self.assertEqual((2, 0), (load.slots, load.running))
                self.assertGreaterEqual(load.age_ms, 500)
                answer = node.read(dispatch_for(node))
                load = await anext(loads)
                self.assertEqual(1, load.running)
                node.target.crash()
                await answer
                while load.slots:
                    load = await anext(loads)
                self.assertEqual((), load.prefixes)

        run_on_fleet(scenario, 'llm')


class HomeReportTest(TestCase):
    """The home learns from the executor how a run ended."""

    def test_interrupted_run_is_replaced_and_finished_one_is_kept(self) -> None:
        async def scenario(fleet: SidecarFleet) -> None:
            home = await fleet.start('a')
            executor = await fleet.start('b')
            options = {'service': 'llm', 'idempotent': True}
            attach = new_attach('key', executor, **options)
            first = await home.ask(attach)
            await self.end(executor, first, crash=True)
            second = await home.ask(attach)
            self.assertIsInstance(second, Begin)
            self.assertEqual(2, second.run.attempt)
            executor.target.down = False
            await self.end(executor, second)
            self.assertIsInstance(await home.ask(attach), Placed)

        run_on_fleet(scenario, 'llm')

    async def end(self, node: Node, begun: Begin, *, crash=False) -> None:
        """Execute a permitted run to its end or until the target crashes."""
        dispatch = structs.replace(dispatch_for(node), run=begun.run)
        answer = node.read(dispatch)
        await asyncio.sleep(0.1)
        if crash:
            node.target.feed(begun.run, Piece(b'half', 1))
            node.target.crash()
        else:
            node.target.answer(begun.run, b'whole')
        messages = await answer
        self.assertIsInstance(messages[0], Chunk)
        await asyncio.sleep(1)
