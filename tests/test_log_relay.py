"""Tests of reading shared streams through relays."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from dandelioncleat.adapters import virtual_time
from dandelioncleat.app.configuration import (
    CONFIGURATION_STREAM,
    ConfigurationKeeper,
)
from dandelioncleat.app.log_relay import LogRelay
from dandelioncleat.app.relay_handler import new_relay_handler
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import (
    Accepted,
    AskEntries,
    AskStatus,
    Refusal,
    StreamEntry,
)
from dandelioncleat.core.relay import LiveRouter, relays_of
from dandelioncleat.core.stream_tail import MAX_ENTRIES, StreamTail
from dandelioncleat.standin.log import MemoryLog
from tests.builders.configuration import build_document, build_patch
from tests.test_configuration_keeper import reach, running

MAX_PROPAGATION_S = 3.0


class Links:
    """Calls relays by address, unless they are partitioned."""

    def __init__(self):
        self.relays_by_address = {}
        self.partitioned = set()

    async def call(self, address, message, *, timeout_s):
        if address in self.partitioned:
            await asyncio.sleep(timeout_s)
            raise failure_error(
                Code.UNREACHABLE, step='call', peer=address, text='parted'
            )
        return await self.relays_by_address[address].answer(message)


class PartitionedLog:
    """Forwards calls to a log until it is partitioned from it."""

    def __init__(self, log):
        self.partitioned = False
        self._log = log

    async def append(self, stream, data):
        return await self._log.append(stream, data)

    async def read(self, stream, **options):
        page = await self._log.read(stream, **options)
        if self.partitioned:
            await asyncio.Event().wait()
        return page


class Fleet:
    """Processes of one data centre that share a log."""

    def __init__(self, size):
        self.log = MemoryLog()
        self.links = Links()
        self.routers = tuple(
            LiveRouter(Incarnation(f'router-{n}/1'), 'klang-a', f'router-{n}')
            for n in range(size)
        )
        self.logs = [PartitionedLog(self.log) for _ in self.routers]
        self.relays = [
            self._relay(router, log)
            for router, log in zip(self.routers, self.logs, strict=True)
        ]
        self.keepers = [
            ConfigurationKeeper(log=relay, producer=router.incarnation)
            for relay, router in zip(self.relays, self.routers, strict=True)
        ]

    def _relay(self, router, log):
        relay = LogRelay(
            log=log,
            incarnation=router.incarnation,
            data_centre=router.data_centre,
            peers=self.links,
            streams=(CONFIGURATION_STREAM,),
        )
        relay.routers = lambda: self.routers
        self.links.relays_by_address[router.address] = relay
        return relay

    def relaying_routers(self):
        return relays_of('klang-a', self.routers)

    async def settle(self, version):
        """Wait until every keeper has a version; return the time it took."""
        started = asyncio.get_running_loop().time()
        await asyncio.gather(
            *(reach(keeper, version) for keeper in self.keepers)
        )
        return asyncio.get_running_loop().time() - started


class RelayTest(TestCase):
    """A few routers read the log for the whole fleet."""

    def test_only_relays_wait_at_the_log(self):
        async def scenario():
            fleet = Fleet(8)
            async with running(*fleet.keepers):
                await fleet.keepers[0].submit(build_patch(build_document()))
                elapsed_s = await fleet.settle(1)
                for relay in fleet.relays:
                    relay.reads_by_source.update(log=0, relay=0)
                await asyncio.sleep(60)
                readers = [
                    router.address
                    for router, relay in zip(
                        fleet.routers, fleet.relays, strict=True
                    )
                    if relay.reads_by_source['log']
                ]
            return elapsed_s, readers, fleet

        elapsed_s, readers, fleet = virtual_time.run(scenario())
        self.assertLess(elapsed_s, MAX_PROPAGATION_S)
        expected = {router.address for router in fleet.relaying_routers()}
        self.assertEqual(expected, set(readers))

    def test_configuration_arrives_in_time_if_relays_are_partitioned(self):
        async def scenario():
            fleet = Fleet(8)
            async with running(*fleet.keepers):
                await asyncio.sleep(5)
                relays = [router.address for router in fleet.relaying_routers()]
                fleet.links.partitioned.update(relays)
                await fleet.keepers[0].submit(build_patch(build_document()))
                return await fleet.settle(1)

        self.assertLess(virtual_time.run(scenario()), MAX_PROPAGATION_S)

    def test_relays_partitioned_from_the_log_are_bypassed_in_time(self):
        async def scenario():
            fleet = Fleet(6)
            async with running(*fleet.keepers):
                await asyncio.sleep(5)
                for log, router in zip(fleet.logs, fleet.routers, strict=True):
                    log.partitioned = router in fleet.relaying_routers()
                connected = [
                    keeper
                    for keeper, log in zip(
                        fleet.keepers, fleet.logs, strict=True
                    )
                    if not log.partitioned
                ]
                fleet.keepers = connected
                await connected[0].submit(build_patch(build_document()))
                return await fleet.settle(1)

        self.assertLess(virtual_time.run(scenario()), MAX_PROPAGATION_S)

    def test_slow_log_is_still_read(self):
        async def scenario():
            fleet = Fleet(4)
            fleet.log.slow_s = 5
            async with running(*fleet.keepers):
                await fleet.keepers[0].submit(build_patch(build_document()))
                await fleet.settle(1)
                return [keeper.ready for keeper in fleet.keepers]

        self.assertEqual([True] * 4, virtual_time.run(scenario()))

    def test_process_that_learns_of_a_newer_peer_asks_it(self):
        async def scenario():
            fleet = Fleet(2)
            ahead, behind = fleet.keepers
            fleet.relays[1].routers = lambda: ()
            async with running(behind, ahead):
                await asyncio.sleep(1)
                fleet.logs[1].partitioned = True
                await ahead.submit(build_patch(build_document()))
                behind.note_peer_version(1, 'router-0/1')
                before = behind.ready
                fleet.relays[1].note_newer_peer(
                    CONFIGURATION_STREAM, 'router-0'
                )
                await reach(behind, 1)
                return before, behind.ready

        self.assertEqual((False, True), virtual_time.run(scenario()))


class new_relay_handlerTest(TestCase):
    """Messages other than relay reads go to the process's own handler."""

    def test_handler_answers_relay_reads_and_forwards_other_messages(self):
        class Inner:
            async def answer(self, message, context):
                yield Accepted()
                yield Accepted()

        async def scenario():
            fleet = Fleet(2)
            handler = new_relay_handler(fleet.relays[0], Inner())
            ask = AskEntries('other', 0, 1, 0)
            return [
                [type(reply) async for reply in handler.answer(message, None)]
                for message in (ask, AskStatus())
            ]

        expected = [[Refusal], [Accepted, Accepted]]
        self.assertEqual(expected, virtual_time.run(scenario()))


class TailTest(TestCase):
    """The newest entries are kept without gaps."""

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        st.lists(st.tuples(st.integers(0, 50), st.integers(0, 9))),
        st.integers(0, 70),
    )
    def test_tail_returns_what_a_read_would(self, reads, start):
        tail = StreamTail()
        for first, count in reads:
            tail.note(
                first,
                [
                    StreamEntry(offset, 0, b'%d' % offset)
                    for offset in range(first, first + count)
                ],
            )
        entries = tail.from_offset(start, 5)
        if entries is not None:
            expected = list(range(start, min(start + 5, tail.end)))
            self.assertEqual(expected, [e.offset for e in entries])

    def test_tail_is_bounded(self):
        tail = StreamTail()
        entries = [StreamEntry(n, 0, b'') for n in range(MAX_ENTRIES + 5)]
        tail.note(0, entries)
        self.assertEqual((5, MAX_ENTRIES + 5), (tail.start, tail.end))
        self.assertIsNone(tail.from_offset(4, 1))


class RelayChoiceTest(TestCase):
    """Relays stay where they are when other routers come and go."""

    def test_relays_in_the_own_data_centre_are_preferred(self):
        routers = [
            LiveRouter(Incarnation(f'r{n}/1'), centre, f'r{n}')
            for n, centre in enumerate(['a', 'a', 'a', 'b'])
        ]
        chosen = relays_of('a', routers)
        self.assertEqual({'a'}, {router.data_centre for router in chosen})
        self.assertEqual((routers[3],), relays_of('b', routers))
        self.assertEqual(4, len(relays_of('c', routers)))
        rest = [router for router in routers if router in chosen]
        self.assertEqual(chosen, relays_of('a', rest))
