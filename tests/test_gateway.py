"""Tests of the gateways to a store that a host can't reach itself."""

import asyncio

import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.failover_store import PathName
from dandelioncleat.core.failure import (
    Code,
    FailureError,
    failure_error,
)
from dandelioncleat.core.gateway_choice import (
    AVOID_S,
    GatewayChoice,
    GatewayEndpoint,
)
from dandelioncleat.ports.store import (
    Appended,
    ConflictError,
    FencedError,
    OutdatedReadError,
    Producer,
)
from dandelioncleat.standin.keyed_store import MemoryKeyedStore, StoreFaults
from tests.builders.gateways import GatewayNetwork

RECORDS = (('k', b'1'),)


class GatewayChoiceTest(testtools.TestCase):
    """Hosts order gateways by data centre and reachability."""

    places = tuple(
        GatewayEndpoint(f'z{number % 2}', f'g{number}') for number in range(6)
    )

    def test_the_own_data_centre_comes_first(self):
        choice = GatewayChoice(host='h', data_centre='z1')
        order = choice.order(self.places, 0)
        self.assertEqual(
            ['z1'] * 3 + ['z0'] * 3, [each.data_centre for each in order]
        )

    def test_first_gateways_of_many_hosts_are_spread(self):
        firsts = {
            GatewayChoice(host=f'h{n}', data_centre='z1')
            .order(self.places, 0)[0]
            .address
            for n in range(40)
        }
        self.assertEqual(3, len(firsts))

    def test_gateway_that_did_not_answer_comes_last_for_a_while(self):
        choice = GatewayChoice(host='h', data_centre='z1')
        first = choice.order(self.places, 0)[0]
        choice.note_failure(first.address, 0)
        self.assertEqual(first, choice.order(self.places, 1)[-1])
        self.assertEqual(first, choice.order(self.places, AVOID_S)[0])

    def test_gateway_that_answers_again_comes_first(self):
        choice = GatewayChoice(host='h', data_centre='z1')
        first = choice.order(self.places, 0)[0]
        choice.note_failure(first.address, 0)
        choice.note_answer(first.address)
        self.assertEqual(first, choice.order(self.places, 1)[0])


class GatewayStoreTest(testtools.TestCase):
    """A store behind a gateway answers as it does directly."""

    def _run_scenario(self, scenario, count=1):
        async def start():
            store = MemoryKeyedStore()
            network = GatewayNetwork(store, count)
            return await scenario(network.store('h'), store, network)

        return run(start())

    def test_records_pass_unchanged(self):
        async def scenario(store, backend, network):
            end = await store.append('t', (('k', b'\x00\xff'), ('l', b'')))
            page = await store.read('t', start=0, wait_s=0)
            return end, page == await backend.read('t', start=0, wait_s=0)

        self.assertEqual((Appended(2, 0), True), self._run_scenario(scenario))

    def test_newest_records_pass_unchanged(self):
        async def scenario(store, backend, network):
            await backend.append('t', RECORDS)
            return await store.newest('t') == await backend.newest('t')

        self.assertTrue(self._run_scenario(scenario))

    def test_append_at_an_outdated_end_raises_conflict(self):
        async def scenario(store, backend, network):
            await store.append('t', RECORDS, at=0)
            await store.append('t', RECORDS, at=0)

        self.assertRaises(ConflictError, self._run_scenario, scenario)

    def test_append_with_an_outdated_epoch_raises_fenced(self):
        async def scenario(store, backend, network):
            await backend.append('t', (), producer=Producer('p', 2, 0))
            await store.append('t', RECORDS, producer=Producer('p', 1, 1))

        self.assertRaises(FencedError, self._run_scenario, scenario)

    def test_read_of_dropped_records_raises_outdated_read(self):
        async def scenario(store, backend, network):
            await backend.append('t', RECORDS)
            backend.drop_history('t')
            await store.read('t', start=0, wait_s=0)

        self.assertRaises(OutdatedReadError, self._run_scenario, scenario)

    def test_unreachable_gateways_are_skipped(self):
        async def scenario(store, backend, network):
            network.clients[0].is_cut_off = True
            network.partitioned.add('g1')
            return await store.append('t', RECORDS)

        self.assertEqual(Appended(1, 0), self._run_scenario(scenario, count=3))

    def test_call_without_any_gateway_fails(self):
        async def scenario(store, backend, network):
            await store.append('t', RECORDS)

        error = self.assertRaises(FailureError, self._run_scenario, scenario, 0)
        self.assertEqual('log', error.failure.code)


class FailoverStoreTest(testtools.TestCase):
    """A host uses a gateway while it can't reach the store directly."""

    def _run_scenario(self, scenario, count=2):
        async def start():
            store = MemoryKeyedStore()
            network = GatewayNetwork(store, count)
            direct = store.client()
            path = network.path('h', direct)
            return await scenario(path, direct, store)

        return run(start())

    def test_appends_without_the_direct_path_use_a_gateway(self):
        async def scenario(path, direct, store):
            direct.is_cut_off = True
            ends = [await path.append('t', RECORDS) for _ in range(3)]
            return ends, path.preferred

        self.assertEqual(
            (
                [Appended(number, 0) for number in (1, 2, 3)],
                PathName.GATEWAY,
            ),
            self._run_scenario(scenario),
        )

    def test_direct_path_without_an_answer_is_waited_for_only_once(self):
        async def scenario(path, direct, store):
            direct.append = _hang
            await path.append('t', RECORDS)
            started = asyncio.get_running_loop().time()
            await path.append('t', RECORDS)
            return asyncio.get_running_loop().time() - started

        self.assertLess(self._run_scenario(scenario), 0.1)

    def test_long_poll_follows_a_path_change(self):
        async def scenario(path, direct, store):
            direct.read = _hang
            reading = asyncio.ensure_future(
                path.read('t', start=0, wait_s=30.0)
            )
            await asyncio.sleep(0.1)
            direct.is_cut_off = True
            await path.append('other', RECORDS)
            await store.append('t', RECORDS)
            page = await asyncio.wait_for(reading, 1)
            return page.records[0].value

        self.assertEqual(b'1', self._run_scenario(scenario))

    def test_read_on_both_paths_keeps_the_preferred_path(self):
        async def scenario(path, direct, store):
            reading = asyncio.ensure_future(
                path.read('t', start=0, wait_s=30.0)
            )
            await asyncio.sleep(0.1)
            direct.append = _fail
            await path.append('other', RECORDS)
            # Both reads wait now, and the direct one is answered first.
            await asyncio.sleep(0.1)
            await store.append('t', RECORDS)
            await reading
            return path.preferred

        self.assertEqual(PathName.GATEWAY, self._run_scenario(scenario))

    def test_direct_path_that_answers_again_is_preferred(self):
        async def scenario(path, direct, store):
            direct.is_cut_off = True
            await path.append('t', RECORDS, producer=Producer('p', 1, 1))
            direct.is_cut_off = False
            await asyncio.sleep(2)
            await path.append('t', RECORDS, producer=Producer('p', 1, 2))
            page = await store.newest('t')
            return path.preferred, page.end

        self.assertEqual((PathName.DIRECT, 2), self._run_scenario(scenario))

    def test_an_append_on_both_paths_is_done_once(self):
        async def scenario(path, direct, store):
            store.faults = StoreFaults(slow_s=0.2)
            end = await path.append('t', RECORDS, producer=Producer('p', 1, 1))
            await asyncio.sleep(5)
            store.faults = StoreFaults()
            return end, (await store.newest('t')).end

        self.assertEqual((Appended(1, 0), 1), self._run_scenario(scenario))

    def test_call_to_a_store_that_is_down_on_both_paths_fails(self):
        async def scenario(path, direct, store):
            store.faults = StoreFaults(outage=True)
            await path.newest('t')

        self.assertRaises(FailureError, self._run_scenario, scenario)


async def _fail(*arguments, **options):
    raise failure_error(Code.LOG, step='append', peer='store', text='busy')


async def _hang(*arguments, **options):
    await asyncio.Event().wait()
