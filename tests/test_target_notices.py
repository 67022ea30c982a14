"""Tests of targets that leave, or that ask for a pause."""

import asyncio
import re

import testtools
from aiohttp import web

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.target_directory import TargetDirectory
from dandelioncleat.app.direct.topic_follower import TopicChange
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.core.target_notice import TargetNotice
from dandelioncleat.platform.notices import target_notice
from tests.builders.direct import (
    MODEL_HEADERS,
    events,
    run_with_fleet,
    text_answer,
)
from tests.builders.logs import captured_lines

LEAVING = {'Server-Leaving': '1'}
PAUSE = {'Not-Run': '1', 'Retry-After': '2.5'}


def decode(key, value):
    """Return an entry from its start time, its state and its sequence.

    The state is ``r`` or ``d``; the sequence is 0 if there is none.
    """
    started_at, state, sequence = re.fullmatch(
        rb'(\d+)([rd])(\d*)', value
    ).groups()
    return TargetEntry(
        key,
        's',
        '10.0.0.1:80',
        'z',
        8,
        state == b'd',
        int(started_at),
        sequence=int(sequence or 0),
    )


class NoticeTest(testtools.TestCase):
    """Notices are read from the headers of any answer."""

    def test_retry_after_counts_on_503_only(self):
        for status, text, pause_s in (
            (503, '2.5', 2.5),
            (503, 'soon', None),
            (503, 'inf', None),
            (503, '-1', None),
            (429, '2', None),
            (200, '2', None),
        ):
            notice = target_notice(status, {'Retry-After': text})
            self.assertEqual(TargetNotice(False, pause_s), notice)

    def test_any_answer_may_say_that_the_target_leaves(self):
        for status in (200, 429, 500, 503):
            self.assertTrue(target_notice(status, LEAVING).is_leaving)
        self.assertFalse(target_notice(200, {'Server-Leaving': '0'}).is_leaving)


class UnknownNoticeTest(testtools.TestCase):
    """A notice that is not decoded doesn't pass unseen."""

    def test_it_is_logged_once_with_its_text(self):
        async def scenario(fleet):
            fleet.app.answers = [text_answer('ok', **{'Server-Mood': '3'})] * 2
            await fleet.call('/safe/a')
            await fleet.call('/safe/b')

        with captured_lines() as lines:
            run_with_fleet(scenario)
        event = 'unknown notice of a target'
        found = [line for line in lines if line['event'] == event]
        self.assertEqual(
            [('i-app', 'server-mood', '3')],
            [(each['target'], each['name'], each['text']) for each in found],
        )


class LeavingTargetTest(testtools.TestCase):
    """A target that says that it leaves gets nothing more."""

    def test_it_gets_no_request_though_its_entry_says_ready(self):
        async def scenario(fleet):
            fleet.app.answers = [text_answer('ok', **LEAVING)]
            first = await fleet.call('/safe/a')
            await fleet.put('servers', 'i-app', fleet.app.entry('ready'))
            second = await fleet.call('/safe/b')
            return first[0], second[0], len(fleet.app.requests)

        self.assertEqual((200, 503, 1), run_with_fleet(scenario))

    def test_its_running_stream_goes_on(self):
        async def scenario(fleet):
            go_on = asyncio.Event()
            fleet.llm.answers = [events(0, 3, until=go_on), _leaving_stream]
            call = asyncio.ensure_future(
                fleet.call('/stream/a', **MODEL_HEADERS)
            )
            await fleet.wait_until(lambda: fleet.llm.requests)
            await fleet.call('/single/a', **MODEL_HEADERS)
            go_on.set()
            status, _, body = await call
            count = fleet.router.target_count('llm')
            return status, body.count(b'id: '), count

        self.assertEqual((200, 4, 0), run_with_fleet(scenario))

    def test_its_next_start_gets_requests(self):
        async def scenario(fleet):
            fleet.app.answers = [text_answer('ok', **LEAVING)]
            await fleet.call('/safe/a')
            entry = {**fleet.app.entry(), 'born': 7}
            await fleet.put('servers', 'i-app', entry)
            await fleet.wait_until(lambda: fleet.router.target_count('app'))
            return (await fleet.call('/safe/b'))[0]

        self.assertEqual(200, run_with_fleet(scenario))

    def test_a_poll_of_cache_events_says_so_too(self):
        async def scenario(fleet):
            fleet.llm.poll_headers = LEAVING
            await fleet.wait_until(lambda: not fleet.router.target_count('llm'))
            return (await fleet.call('/stream/a', **MODEL_HEADERS))[0]

        self.assertEqual(503, run_with_fleet(scenario))


class TargetStartTest(testtools.TestCase):
    """What a target said holds for its start, whatever the list says."""

    def _available_after(self, *values, notice=None):
        async def scenario():
            directory = TargetDirectory(decode, silence_s=lambda: 0)
            directory.apply(_listed(values[0]))
            if notice is not None:
                state = directory.available('s')[0]
                state.wishes.apply(notice, 0)
            for value in values[1:]:
                directory.apply(_listed(value))
            return len(directory.available('s'))

        return run(scenario())

    def test_leaving_survives_a_lapsed_entry(self):
        notice = TargetNotice(is_leaving=True)
        self.assertEqual(
            0, self._available_after(b'1r', b'', b'1r1', notice=notice)
        )
        self.assertEqual(
            1, self._available_after(b'1r', b'', b'2r', notice=notice)
        )

    def test_a_late_heartbeat_does_not_bring_back_a_target_that_left(self):
        for late in (b'1r3', b'1r5'):
            self.assertEqual(0, self._available_after(b'1r5', b'', late))

    def test_a_new_start_of_a_target_that_left_is_used_at_once(self):
        self.assertEqual(1, self._available_after(b'1r5', b'', b'2r0'))

    def test_draining_is_not_taken_back(self):
        self.assertEqual(0, self._available_after(b'1d', b'1r'))
        self.assertEqual(0, self._available_after(b'1d', b'', b'1r1'))
        self.assertEqual(1, self._available_after(b'1d', b'2r'))


class PauseTest(testtools.TestCase):
    """A target that asks for a pause gets nothing until it has passed."""

    def test_it_gets_no_second_request(self):
        async def scenario(fleet):
            fleet.app.answers = [text_answer('full', 503, **PAUSE)]
            first = await fleet.call('/safe/a')
            second = await fleet.call('/safe/b')
            return first, second, len(fleet.app.requests)

        first, second, sent = run_with_fleet(scenario)
        self.assertEqual((503, 503, 1), (first[0], second[0], sent))
        for _, headers, body in (first, second):
            self.assertEqual(b'targets_paused', body)
            self.assertTrue(2 < float(headers['Retry-After']) <= 2.5)

    def test_another_target_gets_the_request(self):
        async def scenario(fleet):
            await fleet.list_second_engine()
            for target in (fleet.llm, fleet.llm2):
                target.answers = [_refuse_or_serve(fleet)] * 6
            statuses = [
                (await fleet.call('/stream/a', **MODEL_HEADERS))[0]
                for _ in range(5)
            ]
            sent = sorted((len(fleet.llm.requests), len(fleet.llm2.requests)))
            return statuses, sent

        statuses, sent = run_with_fleet(scenario)
        self.assertEqual(([200] * 5, [1, 5]), (statuses, sent))

    def test_an_answer_without_the_id_of_its_request_asks_for_one(self):
        async def scenario(fleet):
            fleet.app.answers = [text_answer('ok'), _unnamed_pause]
            # The second request is sent on the connection of the first.
            for name in 'abc':
                status, _, body = await fleet.call(f'/safe/{name}')
            return status, body, len(fleet.app.requests)

        self.assertEqual((503, b'targets_paused', 2), run_with_fleet(scenario))

    def test_an_ordinary_refusal_is_no_pause(self):
        async def scenario(fleet):
            fleet.app.answers = [text_answer('full', 503, **{'Not-Run': '1'})]
            first = await fleet.call('/safe/a')
            second = await fleet.call('/safe/b')
            return first[0], second[0], len(fleet.app.requests)

        self.assertEqual((200, 200, 3), run_with_fleet(scenario))

    def test_it_is_not_polled(self):
        async def scenario(fleet):
            fleet.llm.poll_status = 503
            fleet.llm.poll_headers = {'Retry-After': '30'}
            await fleet.wait_until(lambda: fleet.llm.polls)
            answer = await fleet.call('/stream/a', **MODEL_HEADERS)
            return answer[0], fleet.llm.polls, len(fleet.llm.requests)

        self.assertEqual((503, 1, 0), run_with_fleet(scenario))


async def _unnamed_pause(_request):
    return web.Response(status=503, headers=PAUSE)


async def _leaving_stream(request):
    answer = await text_answer('ok', **LEAVING)(request)
    return answer


def _refuse_or_serve(fleet):
    """Return an answer: the first target that is asked wants a pause."""

    async def answer(request):
        asked = len(fleet.llm.requests) + len(fleet.llm2.requests)
        if asked == 1:
            return await text_answer('full', 503, **PAUSE)(request)
        return await events(0, 1)(request)

    return answer


def _listed(value):
    return TopicChange(False, (KeyedRecord('i', value, 0),))
