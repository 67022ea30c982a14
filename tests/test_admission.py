"""Tests of the admission queue, organisation limits and the retry budget."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful
from testtools import TestCase

from dandelioncleat.core.admission import (
    AdmissionQueue,
    QueuedRequest,
    RunningCounts,
)
from dandelioncleat.core.failure import Code
from dandelioncleat.core.retry import (
    INITIAL_RETRIES,
    MAX_DELAY_S,
    RetryBudget,
    backoff_s,
)

LATE = 1000.0


class QueueTest(TestCase):
    def offer(self, queue: AdmissionQueue, *waiting: QueuedRequest) -> list:
        return [queue.offer(each, now=0, slots=2) for each in waiting]

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(st.integers(0, 9)), st.integers(0, 6))
    def test_full_queue_keeps_the_first_by_rank(
        self, priorities, limit
    ) -> None:
        queue = AdmissionQueue(limit)
        arrived = [
            QueuedRequest(ticket, priority, LATE)
            for ticket, priority in enumerate(priorities)
        ]
        results = self.offer(queue, *arrived)
        expected = sorted(arrived, key=lambda each: each.rank)[:limit]
        self.assertEqual(expected, queue.in_order())
        for result in results:
            if not is_successful(result):
                self.assertEqual(Code.CAPACITY, result.failure().code)

    def test_request_with_too_long_a_wait_is_refused_at_once(self) -> None:
        queue = AdmissionQueue(10)
        queue.note_service_time(4)
        self.assertTrue(
            is_successful(self.offer(queue, QueuedRequest(1, 0, 3))[0])
        )
        # One request is ahead of it, so that its estimated wait is 4 s.
        self.assertFalse(
            is_successful(self.offer(queue, QueuedRequest(2, 0, 3))[0])
        )

    def test_waiting_request_is_too_late_after_losing_slots(self) -> None:
        queue = AdmissionQueue(10)
        queue.note_service_time(4)
        first, second = QueuedRequest(1, 0, 5), QueuedRequest(2, 0, 5)
        self.offer(queue, first, second)
        self.assertEqual([], queue.too_late(now=0, slots=2))
        self.assertEqual([second], queue.too_late(now=0, slots=1))
        self.assertEqual([], queue.too_late(now=9, slots=0))

    def test_retry_delay_grows_with_the_queue(self) -> None:
        queue = AdmissionQueue(10)
        queue.note_service_time(4)
        before = queue.retry_after_s(slots=2)
        self.offer(queue, QueuedRequest(1, 0, LATE), QueuedRequest(2, 0, LATE))
        self.assertGreater(queue.retry_after_s(slots=2), before)


class RunningCountsTest(TestCase):
    def test_organisation_is_at_its_limit_until_a_request_ends(self) -> None:
        counts = RunningCounts()
        counts.begin('a')
        self.assertFalse(counts.is_at_limit('a', 2))
        counts.begin('a')
        self.assertTrue(counts.is_at_limit('a', 2))
        self.assertFalse(counts.is_at_limit('a', 0))
        self.assertFalse(counts.is_at_limit('b', 1))
        counts.end('a')
        self.assertFalse(counts.is_at_limit('a', 2))


class RetryTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(st.booleans(), max_size=400), st.floats(0, 1))
    def test_retries_stay_below_their_share(self, steps, share) -> None:
        budget = RetryBudget()
        requests = retries = 0
        for is_request in steps:
            if is_request:
                requests += 1
                budget.note_request(share)
            else:
                retries += budget.take()
        self.assertLessEqual(retries, INITIAL_RETRIES + share * requests + 1e-6)

    def test_delay_grows_and_stays_bounded(self) -> None:
        source = random.Random(1)
        delays = [backoff_s(attempt, source) for attempt in range(1, 20)]
        self.assertGreater(delays[4], delays[0])
        self.assertLessEqual(max(delays), MAX_DELAY_S)
