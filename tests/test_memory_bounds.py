"""Tests of what a process keeps and reads of one peer."""

import asyncio

import testtools

from dandelioncleat.adapters.read_limit import (
    LINES_PER_S,
    MAX_LINES,
    LineBudget,
)
from dandelioncleat.core.held_bytes import (
    FREE_BYTES,
    HeldBytes,
    HeldMessage,
)
from tests.builders.direct import run_with_fleet

# A pool of 1 MiB.
MEMORY_MB = 12
MIB = 1024 * 1024


class HeldBytesTest(testtools.TestCase):
    """Messages of all peers share one pool."""

    def _hold(self, pool, peer, size, **options):
        message = HeldMessage(pool, peer, **options)
        return message.grow_to(size), message

    def test_one_peer_leaves_room_for_others(self):
        pool = HeldBytes(MEMORY_MB)
        first, _ = self._hold(pool, 'a', MIB // 2)
        second, _ = self._hold(pool, 'a', MIB // 2)
        other, _ = self._hold(pool, 'b', MIB // 2)
        self.assertEqual((True, False, True), (first, second, other))

    def test_pool_is_bounded_over_all_peers(self):
        pool = HeldBytes(MEMORY_MB)
        kept = [self._hold(pool, str(n), MIB // 4)[0] for n in range(9)]
        self.assertLess(sum(kept), 5)
        self.assertLessEqual(pool.held, MIB)

    def test_short_messages_need_no_room(self):
        pool = HeldBytes(MEMORY_MB)
        self._hold(pool, 'a', MIB, is_shared=False)
        self.assertTrue(self._hold(pool, 'a', FREE_BYTES)[0])

    def test_what_is_released_can_be_held_again(self):
        pool = HeldBytes(MEMORY_MB)
        _, message = self._hold(pool, 'a', MIB // 2)
        message.release()
        message.release()
        self.assertEqual(0, pool.held)
        self.assertTrue(self._hold(pool, 'a', MIB // 2)[0])


class LineBudgetTest(testtools.TestCase):
    """Only a peer that sends far more lines than others is held up."""

    def test_events_that_come_at_once_after_a_stall(self):
        self.assertEqual(0, LineBudget().pause_s(b'\n' * MAX_LINES, 10))

    def test_lines_beyond_the_budget_are_read_later(self):
        budget = LineBudget()
        budget.pause_s(b'\n' * MAX_LINES, 10)
        pause_s = budget.pause_s(b'\n' * LINES_PER_S, 10)
        self.assertEqual(1, pause_s)
        self.assertEqual(0, budget.pause_s(b'', 11))

    def test_large_bodies_have_few_lines(self):
        budget = LineBudget()
        pauses = [budget.pause_s(b'x' * 8192, 10) for _ in range(1000)]
        self.assertEqual(0, max(pauses))


class SurplusTest(testtools.TestCase):
    """What follows a whole answer does not fail it."""

    def _call(self, surplus):
        async def scenario(fleet):
            fleet.app.answers = [_whole_and(surplus)]
            answer = await fleet.call('/once/a')
            return answer[0], answer[2]

        return run_with_fleet(scenario)

    def test_bytes_that_are_no_answer(self):
        self.assertEqual((200, b'ok'), self._call(b'\x00\xff' * 500))

    def test_another_answer(self):
        other = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno'
        self.assertEqual((200, b'ok'), self._call(other))


def _whole_and(surplus):
    async def answer(request):
        request.transport.write(
            b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: s.1\r\n'
            b'Content-Length: 2\r\n\r\nok' + surplus
        )
        await asyncio.Event().wait()

    return answer
