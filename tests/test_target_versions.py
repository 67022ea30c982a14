"""Tests of streams while targets of several software versions serve."""

import asyncio

import testtools

from tests.builders.direct import (
    MODEL_HEADERS,
    Target,
    configuration,
    events,
    run_with_fleet,
)
from tests.builders.logs import captured_lines

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
