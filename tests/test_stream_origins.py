"""Tests of the origins of streams, shared by routers over a store."""

import asyncio

import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.stream_origins import (
    FIND_LIMIT_S,
    KEYS_PER_HOST,
    MAX_OWN,
    ORIGINS_TOPIC,
    WRITE_INTERVAL_S,
    StreamOrigins,
)
from dandelioncleat.core.stream_origin import StreamOrigin, stream_key
from dandelioncleat.standin.keyed_store import MemoryKeyedStore, StoreFaults
from tests.builders.logs import captured_lines
from tests.builders.wallets import HostClock

FIRST = StreamOrigin('s', 'v1')
SECOND = StreamOrigin('s', 'v1.1')
WRITTEN_S = WRITE_INTERVAL_S + 0.1


class OriginFleet:
    """Routers that share a store; each can be killed."""

    def __init__(self):
        """Start without a router."""
        self.store = MemoryKeyedStore()
        self._tasks_by_host = {}

    def start(self, host):
        """Start a router's origins, after the last ones of the host."""
        self.kill(host)
        client = self.store.client()
        origins = StreamOrigins(client, host=host, clock=HostClock())
        self._tasks_by_host[host] = asyncio.ensure_future(origins.run())
        return origins, client

    def kill(self, host):
        """Kill a host's router."""
        task = self._tasks_by_host.pop(host, None)
        if task is not None:
            task.cancel()

    def close(self):
        """Kill every router."""
        for host in tuple(self._tasks_by_host):
            self.kill(host)


def run_with_routers(scenario):
    """Run a scenario with an empty fleet on virtual time."""

    async def with_fleet():
        fleet = OriginFleet()
        try:
            return await scenario(fleet)
        finally:
            fleet.close()

    return run(with_fleet())


class SharedOriginTest(testtools.TestCase):
    """A router finds where a stream began at another one."""

    def test_found_after_its_router_was_killed_and_replaced(self):
        async def scenario(fleet):
            first, _ = fleet.start('h1')
            other, _ = fleet.start('h2')
            first.note('o/r-1', FIRST)
            await asyncio.sleep(WRITTEN_S)
            successor, _ = fleet.start('h1')
            successor.note('o/r-2', SECOND)
            await asyncio.sleep(WRITTEN_S)
            return [
                await each.find(key)
                for each in (other, successor)
                for key in ('o/r-1', 'o/r-2')
            ]

        found = run_with_routers(scenario)
        self.assertEqual([FIRST, SECOND, FIRST, SECOND], found)

    def test_found_though_it_is_looked_for_before_it_is_written(self):
        async def scenario(fleet):
            first, _ = fleet.start('h1')
            other, _ = fleet.start('h2')
            first.note('o/r-1', FIRST)
            return await other.find('o/r-1')

        self.assertEqual(FIRST, run_with_routers(scenario))

    def test_found_after_the_history_was_dropped(self):
        async def scenario(fleet):
            first, _ = fleet.start('h1')
            other, _ = fleet.start('h2')
            first.note('o/r-1', FIRST)
            await asyncio.sleep(WRITTEN_S)
            await other.find('o/r-1')
            first.note('o/r-2', SECOND)
            await asyncio.sleep(WRITTEN_S)
            fleet.store.drop_history(ORIGINS_TOPIC)
            return await other.find('o/r-2')

        self.assertEqual(SECOND, run_with_routers(scenario))

    def test_found_after_the_store_came_back_from_an_older_copy(self):
        async def scenario(fleet):
            first, _ = fleet.start('h1')
            other, _ = fleet.start('h2')
            for number in range(4):
                first.note(f'o/r-{number}', FIRST)
                await asyncio.sleep(WRITTEN_S)
            await other.find('o/r-3')
            fleet.store.restore(age_s=2 * WRITTEN_S)
            # The next record tells its router that the store was restored.
            first.note('o/r-4', SECOND)
            await asyncio.sleep(2 * WRITTEN_S)
            fresh, _ = fleet.start('h3')
            return [
                await each.find(key)
                for each in (other, fresh)
                for key in ('o/r-3', 'o/r-4')
            ]

        found = run_with_routers(scenario)
        self.assertEqual([FIRST, SECOND, FIRST, SECOND], found)

    def test_records_of_an_outage_are_written_after_it(self):
        async def scenario(fleet):
            first, client = fleet.start('h1')
            other, _ = fleet.start('h2')
            client.is_cut_off = True
            for number in range(MAX_OWN + 1):
                first.note(f'o/r-{number}', FIRST)
            await asyncio.sleep(1)
            client.is_cut_off = False
            await asyncio.sleep(WRITTEN_S)
            return await other.find('o/r-0'), await other.find('o/r-1')

        self.assertEqual((None, FIRST), run_with_routers(scenario))

    def test_keys_of_a_host_are_used_again(self):
        async def scenario(fleet):
            first, _ = fleet.start('h1')
            for number in range(2 * KEYS_PER_HOST):
                first.note(f'o/r-{number}', FIRST)
                await asyncio.sleep(WRITTEN_S)
            page = await fleet.store.newest(ORIGINS_TOPIC)
            return len(page.records)

        self.assertLessEqual(run_with_routers(scenario), KEYS_PER_HOST)


class UnknownOriginTest(testtools.TestCase):
    """Without a record the origin is unknown, within a bounded time."""

    def _find(self, prepare):
        async def scenario(fleet):
            origins, _ = fleet.start('h1')
            await prepare(fleet)
            began_at = asyncio.get_running_loop().time()
            with captured_lines() as lines:
                found = await origins.find('o/r-1')
            passed_s = asyncio.get_running_loop().time() - began_at
            return found, passed_s, [line['event'] for line in lines]

        return run_with_routers(scenario)

    def test_no_record(self):
        async def nothing(_fleet):
            """Leave the store empty."""

        found, passed_s, events = self._find(nothing)
        self.assertIsNone(found)
        self.assertLessEqual(passed_s, FIND_LIMIT_S + 0.01)
        self.assertEqual(['origin of a stream unknown'], events)

    def test_store_in_an_outage(self):
        async def fail(fleet):
            fleet.store.faults = StoreFaults(outage=True)

        found, passed_s, events = self._find(fail)
        self.assertIsNone(found)
        self.assertLess(passed_s, FIND_LIMIT_S)
        self.assertEqual(['origin of a stream unknown'], events)

    def test_record_of_another_writer(self):
        async def write(fleet):
            await fleet.store.append(ORIGINS_TOPIC, (('h9/1', b'\xff'),))

        found, _, events = self._find(write)
        self.assertIsNone(found)
        self.assertIn('stream origins cannot be decoded', events)

    def test_equal_ids_of_two_organisations_are_two_streams(self):
        self.assertNotEqual(stream_key('o', 'r-1'), stream_key('p', 'r-1'))
