"""Tests of how old the knowledge of a topic is, and how soon it is renewed."""

import asyncio

import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.topic_age import TopicAge
from dandelioncleat.app.direct.topic_follower import (
    SHORT_READ_WAIT_S,
    TopicFollower,
)
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.ports.store import KeyedPage
from dandelioncleat.standin.keyed_store import MemoryKeyedStore
from tests.builders.gateways import GatewayNetwork
from tests.builders.logs import captured_lines
from tests.builders.store_paths import StorePath

RECORDS = (('k', b'1'),)
EMPTY = KeyedPage(0, ())
ONE = KeyedPage(1, (KeyedRecord('k', b'1', 0),))
# A router has this long from the store's confirmation of a version on.
APPLY_LIMIT_S = 2.0


class TopicAgeTest(testtools.TestCase):
    """An answer is as old as the moment at which the store made it."""

    def _age_s(self, page, *, handled_at):
        now = 10.0
        age = TopicAge(lambda: now)
        now = handled_at
        age.note_page(page, sent_at=10.0, wait_s=2.0)
        return age.age_s

    def test_answer_that_lay_in_a_socket_is_taken_as_new(self):
        self.assertEqual(3.0, self._age_s(EMPTY, handled_at=15.0))
        self.assertEqual(5.0, self._age_s(ONE, handled_at=15.0))

    def test_empty_page_proves_what_held_after_its_wait(self):
        self.assertEqual(0, self._age_s(EMPTY, handled_at=12.0))

    def test_late_page_does_not_make_knowledge_older(self):
        now = 10.0
        age = TopicAge(lambda: now)
        age.note_snapshot(9.0)
        age.note_page(ONE, sent_at=8.0, wait_s=2.0)
        self.assertEqual(1.0, age.age_s)


class ConfirmTest(testtools.TestCase):
    """A topic is read again if what is known is too old."""

    def _confirm(self, *, before=None, after=None, max_age_s=0.0):
        """Return whether it was confirmed, the time it took, and the records.

        :param before: called with the path before the record is written
        :param after: called with the path after that
        """

        async def scenario():
            store = MemoryKeyedStore()
            path = StorePath(store)
            seen = []
            follower = TopicFollower(
                path,
                't',
                on_change=lambda change: seen.extend(change.records),
                read_wait_s=30,
            )
            await follower.read_snapshot()
            await asyncio.sleep(1)
            if before is not None:
                before(path)
            await store.append('t', RECORDS)
            started_at = _now()
            is_confirmed = await follower.confirm(max_age_s=max_age_s)
            took_s = _now() - started_at
            again = await follower.confirm(max_age_s=max_age_s)
            return is_confirmed, again, took_s, len(seen)

        with captured_lines():
            return run(scenario())

    def test_what_was_written_until_now_is_read(self):
        is_confirmed, _, took_s, count = self._confirm()
        self.assertEqual((True, 1), (is_confirmed, count))
        self.assertLess(took_s, 0.1)

    def test_recent_knowledge_is_not_read_again(self):
        answer = self._confirm(max_age_s=1.5)
        self.assertEqual((True, True, 0, 0), answer)

    def test_silent_store_is_waited_for_only_once(self):
        is_confirmed, again, took_s, _ = self._confirm(
            before=StorePath.fall_silent
        )
        self.assertEqual((False, False), (is_confirmed, again))
        self.assertLess(took_s, 0.5)

    def test_many_requests_share_a_read(self):
        async def scenario():
            store = MemoryKeyedStore()
            reads = []

            class Counting(StorePath):
                async def read(self, topic, *, start, wait_s):
                    reads.append(start)
                    return await super().read(topic, start=start, wait_s=wait_s)

            follower = TopicFollower(
                Counting(store), 't', on_change=lambda change: None
            )
            await follower.read_snapshot()
            await asyncio.sleep(2)
            answers = await asyncio.gather(
                *(follower.confirm(max_age_s=1) for _ in range(50))
            )
            return all(answers), len(reads)

        self.assertEqual((True, 1), run(scenario()))


class SilentPathTest(testtools.TestCase):
    """A change is read in time while the path to the store is silent."""

    def _reading_time_s(self, change_path, *, gateways=3, change_after_s=0.0):
        """Return how long after its confirmation a record is read.

        :param change_path: called with the direct path and the gateways
        :param change_after_s: time until the record is written, in seconds
        """

        async def scenario():
            store = MemoryKeyedStore()
            direct = StorePath(store)
            network = GatewayNetwork(store, gateways)
            is_read = asyncio.Event()
            follower = TopicFollower(
                network.path('h', direct),
                't',
                on_change=lambda change: is_read.set(),
                read_wait_s=SHORT_READ_WAIT_S,
            )
            following = asyncio.create_task(follower.run())
            await asyncio.sleep(3.1)
            is_read.clear()
            change_path(direct, network)
            await asyncio.sleep(change_after_s)
            await store.append('t', RECORDS)
            written_at = _now()
            await is_read.wait()
            following.cancel()
            return _now() - written_at

        with captured_lines():
            return run(scenario())

    def test_direct_path_is_silent(self):
        took_s = self._reading_time_s(lambda direct, _: direct.fall_silent())
        self.assertLess(took_s, APPLY_LIMIT_S / 2)

    def test_two_of_the_gateways_are_silent_as_well(self):
        def change_path(direct, network):
            direct.fall_silent()
            network.partitioned |= {'g0', 'g1'}

        took_s = self._reading_time_s(change_path)
        self.assertLess(took_s, APPLY_LIMIT_S)

    def test_gateways_stay_silent_after_the_direct_path_answers_again(self):
        def change_path(direct, network):
            direct.fall_silent()
            network.partitioned |= {'g0', 'g1', 'g2'}
            asyncio.get_running_loop().call_later(2.9, direct.open)

        took_s = self._reading_time_s(change_path, change_after_s=3.0)
        self.assertLess(took_s, APPLY_LIMIT_S)

    def test_preferred_gateway_falls_silent(self):
        def change_path(direct, network):
            direct.fall_silent()
            loop = asyncio.get_running_loop()
            loop.call_later(2.9, direct.open)
            loop.call_later(3, network.partitioned.update, {'g0', 'g1', 'g2'})

        took_s = self._reading_time_s(change_path, change_after_s=3.1)
        self.assertLess(took_s, APPLY_LIMIT_S)


def _now():
    return asyncio.get_running_loop().time()
