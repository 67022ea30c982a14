"""Tests of the list of targets during a store outage."""

import asyncio

import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.target_directory import (
    RELIST_GRACE_S,
    TargetDirectory,
)
from dandelioncleat.app.direct.topic_follower import (
    TopicChange,
    TopicFollower,
)
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.standin.keyed_store import MemoryKeyedStore


def decode(key, value):
    """Return the entry of a target of one service."""
    born = int(value)
    return TargetEntry(key, 's', '10.0.0.1:80', 'z', 8, False, born)


class ExpiredEntryTest(testtools.TestCase):
    """Entries that expired in a store outage may come back."""

    def _targets_after(self, wait_s, *, returns=False, silence_s=9.0):
        """Return the target count after an entry expired in an outage."""

        async def scenario():
            directory = TargetDirectory(decode, silence_s=lambda: 0)
            directory.apply(_listed(b'1'))
            directory.apply(_listed(b'')._replace(silence_s=silence_s))
            if returns:
                directory.apply(_listed(b'1'))
            await asyncio.sleep(wait_s)
            return len(directory.available('s'))

        return run(scenario())

    def test_entry_that_expired_in_an_outage_is_kept_for_a_moment(self):
        self.assertEqual(1, self._targets_after(RELIST_GRACE_S / 2))

    def test_entry_that_stays_missing_after_the_grace_time_is_removed(self):
        self.assertEqual(0, self._targets_after(RELIST_GRACE_S * 1.1))

    def test_entry_that_came_back_stays(self):
        left = self._targets_after(RELIST_GRACE_S * 1.1, returns=True)
        self.assertEqual(1, left)

    def test_entry_that_leaves_without_an_outage_is_removed_at_once(self):
        self.assertEqual(0, self._targets_after(0, silence_s=0.1))


class OutageTest(testtools.TestCase):
    """The follower of the list tells the directory of an outage."""

    def _targets_after(self, outage_s):
        """Return the target count after an entry lapsed behind a cut."""

        async def scenario():
            store = MemoryKeyedStore()
            client = store.client()
            directory = TargetDirectory(decode, silence_s=lambda: 0)
            follower = TopicFollower(client, 's', on_change=directory.apply)
            await store.append('s', (('i', b'1'),))
            task = asyncio.ensure_future(follower.run())
            await asyncio.sleep(1)
            client.is_cut_off = True
            await store.append('s', (('i', b''),))
            await asyncio.sleep(outage_s)
            client.is_cut_off = False
            await asyncio.sleep(1)
            task.cancel()
            return len(directory.available('s'))

        return run(scenario())

    def test_entry_that_lapsed_in_an_outage_is_not_removed_at_once(self):
        self.assertEqual(1, self._targets_after(6))

    def test_entry_that_was_removed_without_an_outage_is_gone(self):
        self.assertEqual(0, self._targets_after(0.1))


def _listed(value):
    return TopicChange(False, (KeyedRecord('i', value, 0),))
