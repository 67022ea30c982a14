"""Tests of records of other writers that can't be read."""

import asyncio

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.process_directory import (
    PROCESSES_TOPIC,
    ProcessDirectory,
    ProcessEntry,
    ProcessRole,
)
from dandelioncleat.app.direct.shared_crash_records import (
    CRASHES_TOPIC,
    SharedCrashRecords,
)
from dandelioncleat.app.direct.shared_limits import LIMITS_TOPIC, SharedLimits
from dandelioncleat.app.direct.stream_origins import (
    ORIGINS_TOPIC,
    StreamOrigins,
)
from dandelioncleat.app.direct.topic_follower import TopicFollower
from dandelioncleat.core.decoding import UnreadableError, decode_bytes
from dandelioncleat.core.envelope import ledger_codec
from dandelioncleat.core.host_choice import HostChoice
from dandelioncleat.core.stream_origin import decode_origins
from dandelioncleat.platform.documents import decode_deployment, decode_target
from dandelioncleat.standin.keyed_store import MemoryKeyedStore
from tests.builders.direct import run_with_fleet
from tests.builders.unreadable import DEEP_JSON, deep_row
from tests.builders.wallets import HostClock, new_hosts

ROUTER = ProcessEntry(ProcessRole.ROUTER, 'h1', 'z1', '10.0.0.1:1')


class DeepEntryTest(testtools.TestCase):
    """An entry that is nested too deep to be read names no target."""

    def test_router_serves_on_after_an_entry_that_is_nested_too_deep(self):
        async def scenario(fleet):
            await fleet.store.append('servers', (('i-other', DEEP_JSON),))
            await fleet.store.append('op', (('config', DEEP_JSON),))
            await fleet.list_second_engine()
            return (await fleet.call('/safe/a'))[0]

        self.assertEqual(200, run_with_fleet(scenario))

    def test_router_starts_with_an_entry_that_is_nested_too_deep(self):
        async def scenario(fleet):
            await fleet.store.append('servers', (('i-other', DEEP_JSON),))
            await fleet.replace_router('h2')
            return (await fleet.call('/safe/a'))[0]

        self.assertEqual(200, run_with_fleet(scenario))


class DeepRecordTest(testtools.TestCase):
    """A record of the fleet that is nested too deep has no effect."""

    def _assert_outlived(self, topic, value, new_reader):
        async def scenario():
            store = MemoryKeyedStore()
            await store.append(topic, (('o/h9', value),))
            reader = asyncio.ensure_future(new_reader(store).run())
            await asyncio.sleep(1)
            await store.append(topic, (('o/h8', value),))
            await asyncio.sleep(1)
            is_running = not reader.done()
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)
            return is_running

        self.assertTrue(run(scenario()))

    def test_process_entry(self):
        value = deep_row('router', 'h9', 'z1', '10.0.0.9:1', 1.0)
        self._assert_outlived(
            PROCESSES_TOPIC,
            value,
            lambda store: ProcessDirectory(
                store, ROUTER, configured_gateways=()
            ),
        )

    def test_crash_record(self):
        self._assert_outlived(
            CRASHES_TOPIC,
            deep_row('suspect', 'i-1/0', 1.0, 1, True),
            lambda store: SharedCrashRecords(
                store, host='h1', clock=HostClock(), on_crash=lambda start: None
            ),
        )

    def test_limit(self):
        self._assert_outlived(
            LIMITS_TOPIC,
            deep_row(),
            lambda store: SharedLimits(
                store,
                host='h1',
                fleet=HostChoice(),
                listed_starts=set,
                on_change=lambda start, per_s: None,
            ),
        )

    def test_stream_origins(self):
        async def scenario():
            store = MemoryKeyedStore()
            await store.append(ORIGINS_TOPIC, (('h9/1', deep_row()),))
            origins = StreamOrigins(store, host='h1', clock=HostClock())
            return await origins.find('o/r-1')

        self.assertIsNone(run(scenario()))

    def test_ceiling_and_usage_mark(self):
        async def scenario():
            hosts, store = await new_hosts(1, {'o': 10_000})
            ceiling = deep_row('o', 'h9', 10, 0, False)
            mark = deep_row('o', 'h9', 1, 1, 1.0, (1.0, 1.0), 1.0, 1, 1, 1.5, 0)
            await store.append('ceilings', (('o/h9', ceiling),))
            await store.append('usage', (('o/h9', mark),))
            await asyncio.sleep(3)
            outcome = await hosts[0].spend('o', 5_000)
            await hosts[0].kill()
            return outcome

        self.assertEqual('reserved', run(scenario()))

    def test_entry_of_a_log(self):
        data = b'\x91' + deep_row(('h', 'z', 1), 1, ())
        self.assertRaises(UnreadableError, ledger_codec().decode, data)


class RaisingRecordTest(testtools.TestCase):
    """A record that raises an error when it is applied costs that record."""

    def _applied(self, *values_by_append):
        """Return the values that a follower applied of some appends."""

        async def scenario():
            store = MemoryKeyedStore()
            applied = {}

            def apply(change):
                for record in change.records:
                    if record.value == b'bad':
                        raise ArithmeticError('an error of some step')
                    applied[record.key] = record.value

            follower = TopicFollower(store, 't', on_change=apply)
            await store.append('t', values_by_append[0])
            task = asyncio.ensure_future(follower.run())
            for values in values_by_append[1:]:
                await asyncio.sleep(1)
                await store.append('t', values)
            await asyncio.sleep(1)
            is_running = not task.done()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return applied, is_running

        return run(scenario())

    def test_in_a_snapshot(self):
        records = (('a', b'1'), ('b', b'bad'), ('c', b'1'))
        self.assertEqual(({'a': b'1', 'c': b'1'}, True), self._applied(records))

    def test_among_changes(self):
        applied = self._applied(
            (('a', b'1'),), (('b', b'bad'), ('c', b'1')), (('a', b'2'),)
        )
        self.assertEqual(({'a': b'2', 'c': b'1'}, True), applied)


class AnyBytesTest(testtools.TestCase):
    """No bytes raise anything but the error of unreadable bytes."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_bytes(self, data):
        self._decode_all(data)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.recursive(
            st.none() | st.integers() | st.text(max_size=9) | st.floats(),
            lambda inner: (
                st.lists(inner, max_size=4)
                | st.dictionaries(st.text(max_size=9), inner, max_size=4)
            ),
        )
    )
    def test_documents(self, document):
        try:
            rows = msgspec.msgpack.encode(document)
        except OverflowError:
            rows = b''
        self._decode_all(rows)
        self._decode_all(msgspec.json.encode(document))

    def _decode_all(self, data):
        decode_deployment(data)
        decode_target('i-1', data)
        for decode in (decode_origins, ledger_codec().decode):
            try:
                decode(data)
            except UnreadableError:
                continue

    def test_decoder_that_recurses_too_deep(self):
        self.assertRaises(
            UnreadableError, decode_bytes, msgspec.json.decode, DEEP_JSON
        )
