"""Tests of streams at a router whose list of targets stood still."""

import asyncio
from types import SimpleNamespace

import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.placement import Placement
from dandelioncleat.app.direct.resumption import resumption_refusal
from dandelioncleat.app.direct.target_directory import TargetDirectory
from dandelioncleat.app.direct.topic_follower import TopicFollower
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest, RefusalReason
from dandelioncleat.core.stream_origin import StreamOrigin
from dandelioncleat.standin.keyed_store import MemoryKeyedStore
from tests.builders.logs import captured_lines
from tests.builders.store_paths import StorePath


class OutOfStepTest(testtools.TestCase):
    """A router whose list stood still joins no streams of two versions."""

    def _refusal(self, *, is_silent, resumed_request=None):
        """Resume a stream just after a target of another version has joined.

        :param is_silent: whether the router's path to the store is silent
        """

        async def scenario():
            store = MemoryKeyedStore()
            path = StorePath(store)
            directory = TargetDirectory(_entry, silence_s=lambda: 0)
            follower = TopicFollower(
                path, 's', on_change=directory.apply, read_wait_s=2
            )
            await store.append('s', (('a', b'v1'),))
            following = asyncio.create_task(follower.run())
            await asyncio.sleep(30.5)
            if is_silent:
                path.fall_silent()
            # The router stands still: its follower reads nothing.
            following.cancel()
            await store.append('s', (('b', b'v1.1'),))
            placement = Placement(
                directory, topic=follower, open_targets=None, data_centre='z'
            )
            context = _resuming(resumed_request)
            refusal = await resumption_refusal(
                context, origins=_Origins(), placement=placement
            )
            return refusal and refusal.reason, context.origin

        with captured_lines():
            return run(scenario())

    def test_unnamed_stream_after_a_target_of_another_version_joined(self):
        for is_silent in (False, True):
            reason, origin = self._refusal(is_silent=is_silent)
            self.assertEqual(RefusalReason.STREAM_UNKNOWN, reason)
            self.assertIs(None, origin)

    def test_named_stream_is_resumed_without_the_store(self):
        reason, origin = self._refusal(is_silent=True, resumed_request='r-1')
        self.assertEqual((None, 'v1'), (reason, origin.software_version))


class _Origins:
    """Knows that all streams began at ``v1``."""

    async def find(self, key):
        return StreamOrigin('s', 'v1')


def _entry(key, value):
    return TargetEntry(
        key, 's', '10.0.0.1:80', 'z', 8, False, 1, value.decode()
    )


def _resuming(resumed_request):
    """Return the context of a request that resumes a stream."""
    context = SimpleNamespace(
        request=DirectRequest(
            'r-2',
            'POST',
            'h',
            '/a',
            (),
            b'',
            resume_after='2',
            resumed_request=resumed_request,
        ),
        admitted=SimpleNamespace(service=SimpleNamespace(name='s')),
        stream_key=str,
        origin=None,
    )
    context.fits = lambda entry: context.origin.fits(entry)
    return context
