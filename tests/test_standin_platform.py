"""Tests of the host list and the weight store stand-ins."""

import asyncio

import testtools

from dandelioncleat.core.failure import FailureError
from dandelioncleat.standin.host_list import MemoryHostList
from dandelioncleat.standin.weight_store import WeightStore


class MemoryHostListTest(testtools.TestCase):
    """Contents, lag and outage of the host list."""

    def test_shows_live_and_leaving_hosts(self):
        async def scenario():
            hosts = MemoryHostList()
            hosts.set_live('a', 'dc')
            hosts.set_live('b', 'dc')
            hosts.set_live('c', 'dc')
            hosts.set_leaving('b')
            hosts.remove('c')
            return await hosts.hosts()

        self.assertEqual(
            (('a', 'dc', False), ('b', 'dc', True)), asyncio.run(scenario())
        )

    def test_a_lagging_list_shows_the_earlier_state(self):
        async def scenario():
            hosts = MemoryHostList()
            hosts.set_live('a', 'dc')
            hosts.lag_s = 60
            hosts.set_leaving('a')
            return await hosts.hosts()

        self.assertFalse(asyncio.run(scenario())[0].leaving)

    def test_an_outage_fails_reads(self):
        hosts = MemoryHostList()
        hosts.outage = True
        self.assertRaises(FailureError, asyncio.run, hosts.hosts())


class WeightStoreTest(testtools.TestCase):
    """Concurrent downloads share the store's rate."""

    def test_downloads_share_the_rate(self):
        async def scenario():
            loop = asyncio.get_running_loop()
            store = WeightStore(bytes_s=1000, sizes_by_name={'w': 20})
            started_at = loop.time()
            await asyncio.gather(*(store.fetch('w') for _ in range(3)))
            return loop.time() - started_at

        self.assertThat(
            asyncio.run(scenario()), testtools.matchers.GreaterThan(0.059)
        )
