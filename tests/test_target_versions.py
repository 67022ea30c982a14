"""Tests of streams while targets of several software versions serve."""

import asyncio

import msgspec
import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.placement import Placement
from dandelioncleat.app.direct.target_directory import TargetDirectory
from dandelioncleat.app.direct.topic_follower import TopicChange
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.platform.documents import decode_target
from tests.builders.direct import (
    MODEL_HEADERS,
    Target,
    configuration,
    events,
    run_with_fleet,
)
from tests.builders.logs import captured_lines
from tests.builders.store_paths import FreshTopic

RESUMING = {'Request-Id': 'r-2', 'Last-Event-Id': '2', 'Resumes': 'r-1'}


async def list_target(fleet, target, version):
    """List a target and wait until the router knows it."""
    count = fleet.router.target_count(target.service)
    entry = target.entry(version=version)
    await fleet.put('servers', target.name, entry)
    await fleet.wait_until(
        lambda: fleet.router.target_count(target.service) > count
    )


async def delist(fleet, target):
    """Remove a target's entry and wait until the router knows it."""
    count = fleet.router.target_count(target.service)
    await fleet.put('servers', target.name, None)
    await fleet.wait_until(
        lambda: fleet.router.target_count(target.service) < count
    )


async def begin_at_first_version(fleet):
    """Let a stream begin and break off at the only target, at ``v1``."""
    fleet.llm.answers = [events(0, 2, cut=True)]
    response = await fleet.begin('/stream/a', **MODEL_HEADERS)
    async with response:
        await response.content.readuntil(b'id: 2\ndata: x\n\n')


class ResumedInsideAnswerTest(testtools.TestCase):
    """A router resumes a stream only at the version that began it."""

    async def _begin(self, fleet, others):
        """Break a stream off at ``v1`` once the other targets are listed."""
        go_on = asyncio.Event()
        fleet.llm.answers = [events(0, 2, until=go_on, cut=True)]
        call = asyncio.ensure_future(
            fleet.raw_answer('/stream/a', **MODEL_HEADERS)
        )
        await fleet.wait_until(lambda: fleet.llm.requests)
        for target, version in others:
            target.answers = [events(3, 5)]
            await list_target(fleet, target, version)
        go_on.set()
        return await call

    def test_stream_breaks_off_if_only_another_version_is_left(self):
        async def scenario(fleet):
            answer = await self._begin(fleet, [(fleet.llm2, 'v1.1')])
            return answer, len(fleet.llm2.requests)

        answer, others = run_with_fleet(scenario)
        self.assertIn(b'id: 2', answer.body)
        self.assertEqual((False, 0), (answer.looks_complete, others))

    def test_stream_is_resumed_at_its_own_version(self):
        async def scenario(fleet):
            third = Target('i-llm3', 'llm')
            await third.start()
            others = [(fleet.llm2, 'v1.1'), (third, 'v1')]
            try:
                answer = await self._begin(fleet, others)
            finally:
                third.close()
            return answer, len(fleet.llm2.requests)

        answer, others = run_with_fleet(scenario)
        self.assertIn(b'id: 5', answer.body)
        self.assertEqual((True, 0), (answer.looks_complete, others))


class ResumedByCallerTest(testtools.TestCase):
    """A stream that its caller resumes stays at its version, too."""

    def _resume(self, *, host=None, is_first_left=True, **headers):
        """Resume a broken stream beside a target of another version.

        :param host: where a router replaces the one that began the stream
        :param is_first_left: whether a target of the first version is left
        """

        async def scenario(fleet):
            await begin_at_first_version(fleet)
            await list_target(fleet, fleet.llm2, 'v1.1')
            if not is_first_left:
                await delist(fleet, fleet.llm)
            if host is not None:
                await fleet.wait_until(lambda: fleet.store.end('streams'))
                await fleet.replace_router(host)
            for target in (fleet.llm, fleet.llm2):
                target.answers = [events(3, 5)]
            sent = {**MODEL_HEADERS, **RESUMING, **headers}
            status, received, _ = await fleet.call('/stream/a', **sent)
            requests = [len(each.requests) for each in _engines(fleet)]
            return status, received.get('Retry-After'), requests

        # Without budgets: the killed host would keep all their tokens.
        document = configuration(prepaid=None)
        return run_with_fleet(scenario, document=document)

    def test_same_router(self):
        # The second prompt is preferred at the target of the other version.
        for parts in ('aa:60,bb:40', 'ab:60,bb:40', 'ad:60,bb:40'):
            status, _, requests = self._resume(**{'Prompt-Prefix': parts})
            self.assertEqual((200, [2, 0]), (status, requests))

    def test_router_that_replaces_the_one_that_began_it(self):
        for parts in ('aa:60,bb:40', 'ab:60,bb:40', 'ad:60,bb:40'):
            status, _, requests = self._resume(
                host='h2', **{'Prompt-Prefix': parts}
            )
            self.assertEqual((200, [2, 0]), (status, requests))

    def test_refused_once_its_version_is_gone(self):
        for host in (None, 'h2'):
            status, retry_after, requests = self._resume(
                host=host, is_first_left=False
            )
            self.assertEqual((503, [1, 0]), (status, requests))
            self.assertIsNotNone(retry_after)

    def test_refused_if_nobody_knows_its_version(self):
        status, retry_after, requests = self._resume(Resumes='r-0')
        self.assertEqual((503, [1, 0]), (status, requests))
        self.assertIsNotNone(retry_after)

    def test_refused_without_its_first_request_beside_another_version(self):
        status, _, requests = self._resume(Resumes=None)
        self.assertEqual((503, [1, 0]), (status, requests))


class UnnamedStreamTest(testtools.TestCase):
    """A caller that names no first request joins no two versions."""

    def _origin(self, *steps, silence_s=0):
        """Return the version that streams are taken to have begun at.

        :param steps: pairs of a wait in seconds and entries to apply
        """

        async def scenario():
            directory = TargetDirectory(
                decode_target, silence_s=lambda: silence_s
            )
            is_first = True
            for wait_s, documents in steps:
                await asyncio.sleep(wait_s)
                directory.apply(_listed(documents, is_snapshot=is_first))
                is_first = False
            placement = Placement(
                directory,
                topic=FreshTopic(),
                open_targets=None,
                data_centre='z1',
            )
            origin = placement.only_origin('llm')
            return origin and origin.software_version

        with captured_lines():
            return run(scenario())

    def test_stream_is_joined_after_the_old_version_has_left(self):
        steps = [(0, {'a': 'v1'}), (30, {'b': 'v1.1'}), (2, {'a': None})]
        self.assertIs(None, self._origin(*steps))
        self.assertIs(None, self._origin(*steps, (20, {})))
        self.assertEqual('v1.1', self._origin(*steps, (26, {})))

    def test_stream_is_joined_by_a_router_that_has_just_started(self):
        self.assertIs(None, self._origin((0, {'b': 'v1.1'})))
        self.assertIs(None, self._origin((0, {'b': 'v1.1'}), (20, {})))

    def test_stream_is_joined_after_a_target_started_again(self):
        steps = [(0, {'a': 'v1'}), (30, {'a': 'v1.1'}), (1, {})]
        self.assertIs(None, self._origin(*steps))

    def test_stream_is_joined_while_the_list_is_old(self):
        steps = [(0, {'a': 'v1'}), (30, {})]
        self.assertIs(None, self._origin(*steps, silence_s=5))

    def test_stream_is_resumed_if_one_version_has_served_alone(self):
        steps = [(0, {'a': 'v1', 'b': 'v1'}), (30, {'b': None})]
        self.assertEqual('v1', self._origin(*steps))

    def test_new_router_refuses_after_a_release(self):
        async def scenario(fleet):
            await begin_at_first_version(fleet)
            await list_target(fleet, fleet.llm2, 'v1.1')
            await delist(fleet, fleet.llm)
            await fleet.replace_router('h2')
            sent = {**MODEL_HEADERS, 'Request-Id': 'r-2', 'Last-Event-Id': '2'}
            status, received, _ = await fleet.call('/stream/a', **sent)
            return status, received.get('Retry-After'), fleet.llm2.requests

        document = configuration(prepaid=None)
        status, retry_after, requests = run_with_fleet(
            scenario, document=document
        )
        self.assertEqual((503, []), (status, requests))
        self.assertIsNotNone(retry_after)


def _listed(documents, *, is_snapshot):
    """Return a change of the list of targets; versions are given by id."""
    records = []
    for key, version in documents.items():
        target = Target(key, 'llm')
        target.address = '10.0.0.1:80'
        entry = target.entry(version=version)
        value = msgspec.json.encode(entry) if version else b''
        records.append(KeyedRecord(key, value, 0))
    return TopicChange(is_snapshot, tuple(records))


def _engines(fleet):
    return fleet.llm, fleet.llm2


class LogTest(testtools.TestCase):
    """Lines tell a target's version and which stream an attempt resumes."""

    def test_placement_of_a_resumed_stream(self):
        async def scenario(fleet):
            fleet.llm.answers = [events(0, 2), events(3, 5)]
            await fleet.call('/stream/a', **MODEL_HEADERS)
            resuming = {'Request-Id': 'r-2', 'Resumes': 'r-1'}
            resuming['Last-Event-Id'] = '2'
            await fleet.call('/stream/a', **MODEL_HEADERS, **resuming)

        with captured_lines() as lines:
            run_with_fleet(scenario)
        placed = [line for line in lines if line['event'] == 'request placed']
        self.assertEqual(
            ['v1', 'v1'], [line['software_version'] for line in placed]
        )
        self.assertEqual(
            [(None, None), ('2', 'r-1')],
            [
                (line['resume_after'], line['resumed_request'])
                for line in placed
            ],
        )
