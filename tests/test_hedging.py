"""Tests of requests that are sent to a second target as the first is slow."""

import asyncio
from types import SimpleNamespace

import testtools

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.direct.attempt import AttemptOutcome
from dandelioncleat.app.direct.hedging import Hedging, HedgingParts
from dandelioncleat.core.deployment import CallKind
from dandelioncleat.core.direct_request import CompleteResponse, ResponseHead
from dandelioncleat.core.hedge_policy import MIN_TIMES, HedgePolicy
from dandelioncleat.ports.telemetry import NullTelemetry
from tests.builders.contexts import new_context
from tests.builders.direct import RecordedReply
from tests.builders.limited_fleet import run_limited_fleet
from tests.builders.logs import captured_lines

SHARE = 0.05


def answer(body):
    """Return a complete answer of a target."""
    return CompleteResponse(ResponseHead(200, 'OK', ()), body)


class PolicyTest(testtools.TestCase):
    """When, and how often, a request is hedged."""

    def _policy(self, *, share=SHARE, answers=100, requests=100):
        policy = HedgePolicy(share)
        for number in range(answers):
            policy.note_answer(0.01 + number / 1000, 1.0)
        for _ in range(requests):
            policy.note_request(1.0)
        return policy

    def test_a_request_is_hedged_after_most_answers_would_have_come(self):
        found = self._policy().delay(5, 1.0)
        self.assertAlmostEqual(0.105, found.delay_s, places=2)
        self.assertEqual(100, found.answers)

    def test_it_is_off_without_a_share(self):
        self.assertIs(None, self._policy(share=0).delay(5, 1.0))

    def test_few_answers_tell_nothing(self):
        policy = self._policy(answers=MIN_TIMES - 1)
        self.assertIs(None, policy.delay(5, 1.0))

    def test_answers_of_long_ago_tell_nothing(self):
        self.assertIs(None, self._policy().delay(5, 12.0))

    def test_there_is_no_hedge_in_the_last_moment_of_a_caller(self):
        self.assertIs(None, self._policy().delay(0.12, 1.0))

    def test_a_share_of_all_requests_is_hedged_at_most(self):
        policy = self._policy(requests=100)
        self.assertEqual(5, sum(policy.take(1.0) for _ in range(50)))
        self.assertEqual(0, sum(policy.take(10.9) for _ in range(50)))
        self.assertEqual(0, sum(policy.take(11.1) for _ in range(50)))


class _Scripted:
    """Attempts that end as told, after some time."""

    def __init__(self, *scripts):
        """Initialise with a time, an outcome and a body for each attempt."""
        self.scripts = list(scripts)
        self.begun = 0
        self.cancelled = 0

    async def __call__(self, context, state, reply):
        """Run the next attempt."""
        after_s, outcome, body = self.scripts[self.begun]
        self.begun += 1
        context.begin_attempt(state.entry.id)
        try:
            await asyncio.sleep(after_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if outcome is AttemptOutcome.NOT_RUN:
            context.note_not_run()
            return outcome
        context.tried_targets.add(state.entry.id)
        if outcome is AttemptOutcome.DELIVERED:
            context.sent_head = answer(body).head
            context.has_output = True
            await reply.send_complete(answer(body))
        elif outcome is AttemptOutcome.FAILED:
            context.failed_answer = answer(body)
        return outcome


def _state(name):
    return SimpleNamespace(entry=SimpleNamespace(id=name))


class HedgedAttemptTest(testtools.TestCase):
    """The first whole answer is the caller's, and the other run is stopped."""

    def _play(self, *scripts, is_idle=True, may_retry=True, **route):
        """Return the attempts, the reply, the outcome and the context."""

        async def scenario():
            attempts = _Scripted(*scripts)
            reply = RecordedReply()
            context = new_context(**route)
            hedging = _hedging(is_idle=is_idle, may_retry=may_retry)
            outcome = await hedging.run(
                context, _state('a'), reply, attempt=attempts
            )
            # A run that was stopped must not answer later.
            await asyncio.sleep(9)
            return attempts, reply, outcome, context

        with captured_lines():
            return run(scenario())

    def test_the_second_target_answers_for_a_slow_one(self):
        attempts, reply, outcome, context = self._play(
            (4, AttemptOutcome.DELIVERED, b'a'),
            (0.01, AttemptOutcome.DELIVERED, b'b'),
        )
        self.assertEqual((b'b', 'finished'), (reply.body, reply.end))
        self.assertEqual((2, 1), (attempts.begun, attempts.cancelled))
        self.assertEqual(AttemptOutcome.DELIVERED, outcome)
        self.assertEqual((2, {'a', 'b'}), (context.arrivals, context.sent_to))

    def test_the_first_target_answers_after_all(self):
        attempts, reply, _, context = self._play(
            (0.2, AttemptOutcome.DELIVERED, b'a'),
            (4, AttemptOutcome.DELIVERED, b'b'),
        )
        self.assertEqual((b'a', 1), (reply.body, attempts.cancelled))
        self.assertEqual(2, context.arrivals)

    def test_both_answer_at_the_same_moment(self):
        _, reply, outcome, _ = self._play(
            (0.6, AttemptOutcome.DELIVERED, b'a'),
            (0.5, AttemptOutcome.DELIVERED, b'b'),
        )
        self.assertIn(reply.body, (b'a', b'b'))
        self.assertEqual(AttemptOutcome.DELIVERED, outcome)

    def test_the_first_fails_after_the_hedge_was_sent(self):
        _, reply, outcome, _ = self._play(
            (0.3, AttemptOutcome.FAILED, b'error'),
            (1, AttemptOutcome.DELIVERED, b'b'),
        )
        self.assertEqual(
            (b'b', AttemptOutcome.DELIVERED), (reply.body, outcome)
        )

    def test_both_fail(self):
        _, reply, outcome, context = self._play(
            (0.3, AttemptOutcome.LOST, b''),
            (0.3, AttemptOutcome.FAILED, b'error'),
        )
        self.assertEqual((None, AttemptOutcome.LOST), (reply.end, outcome))
        self.assertEqual(b'error', context.failed_answer.body)

    def test_a_quick_answer_is_not_hedged(self):
        attempts, _, _, _ = self._play((0.01, AttemptOutcome.DELIVERED, b'a'))
        self.assertEqual((1, 0), (attempts.begun, attempts.cancelled))

    def test_nothing_is_hedged_that_must_not_run_twice(self):
        for changes in (
            {'kind': CallKind.ONCE},
            {'kind': CallKind.STREAM, 'is_resumable': True},
            {'attempts': 1},
        ):
            attempts, _, _, _ = self._play(
                (2, AttemptOutcome.DELIVERED, b'a'), **changes
            )
            self.assertEqual(1, attempts.begun, changes)

    def test_nothing_is_hedged_without_room_or_a_retry(self):
        for changes in ({'is_idle': False}, {'may_retry': False}):
            attempts, _, _, _ = self._play(
                (2, AttemptOutcome.DELIVERED, b'a'), **changes
            )
            self.assertEqual(1, attempts.begun, changes)

    def test_a_caller_that_leaves_stops_both_runs(self):
        async def scenario():
            attempts = _Scripted(
                (4, AttemptOutcome.DELIVERED, b'a'),
                (4, AttemptOutcome.DELIVERED, b'b'),
            )
            serving = asyncio.ensure_future(
                _hedging().run(
                    new_context(),
                    _state('a'),
                    RecordedReply(),
                    attempt=attempts,
                )
            )
            await asyncio.sleep(1)
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
            return attempts.begun, attempts.cancelled

        with captured_lines():
            self.assertEqual((2, 2), run(scenario()))


class _SlowReply(RecordedReply):
    """The reply to a caller that reads slowly."""

    async def send_complete(self, answer):
        """Take long to send a complete answer."""
        await asyncio.sleep(9)


class EndedRaceTest(testtools.TestCase):
    """A stop that ends both runs is told of what the second one has done."""

    def _context_at_end(self, *scripts, after_s, reply=None):
        """Return a request's context after both runs were stopped."""

        async def scenario():
            context = new_context()
            serving = asyncio.ensure_future(
                _hedging().run(
                    context,
                    _state('a'),
                    reply or RecordedReply(),
                    attempt=_Scripted(*scripts),
                )
            )
            await asyncio.sleep(after_s)
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
            return context

        with captured_lines():
            return run(scenario())

    def test_a_request_whose_second_run_is_under_way_may_have_run(self):
        context = self._context_at_end(
            (0.3, AttemptOutcome.NOT_RUN, b''),
            (4, AttemptOutcome.DELIVERED, b'b'),
            after_s=1,
        )
        self.assertTrue(context.may_have_run)
        self.assertEqual({'a', 'b'}, context.sent_to)

    def test_an_answer_of_the_second_run_is_not_answered_again(self):
        context = self._context_at_end(
            (4, AttemptOutcome.DELIVERED, b'a'),
            (0.1, AttemptOutcome.DELIVERED, b'b'),
            after_s=1,
            reply=_SlowReply(),
        )
        self.assertTrue(context.has_sent_head)


def _hedging(*, is_idle=True, may_retry=True):
    """Return hedging that has seen many quick answers."""
    placement = SimpleNamespace(
        has_idle_candidate=lambda _context: is_idle,
        choose=lambda _context: SimpleNamespace(state=_state('b'), wait_s=0),
    )
    retries = SimpleNamespace(take=lambda _context: may_retry)
    hedging = Hedging(
        HedgingParts(placement, retries, NullTelemetry()), share=SHARE
    )
    policy = hedging._policy('s')
    for _ in range(100):
        policy.note_request(0)
        policy.note_answer(0.02, 0)
    return hedging


class LoadTest(testtools.TestCase):
    """Load of a fleet with a slow target, or with slow targets only."""

    def _play(self, share, *, slow):
        """Return late answers, extra arrivals and requests.

        :param slow: how many of four targets take a second
        """

        async def scenario(fleet):
            for target in fleet.targets[:slow]:
                target.answer_s = 1.0
            await fleet.play()
            await asyncio.sleep(2)
            late = sum(
                each.ended_at - each.began_at > 0.4 for each in fleet.ended
            )
            extra = len(fleet.arrivals_beyond_the_first())
            ended = {each.reply.end for each in fleet.ended}
            self.assertEqual({'finished'}, ended)
            return late, extra, len(fleet.ended)

        return run_limited_fleet(
            scenario,
            routers=2,
            targets=4,
            rate=40,
            duration_s=20,
            hedge_share=share,
        )

    def test_few_late_answers_become_fewer_within_the_limit(self):
        late, extra, _ = self._play(0, slow=1)
        self.assertEqual(0, extra)
        hedged_late, hedged_extra, requests = self._play(0.3, slow=1)
        self.assertTrue(hedged_late < late, f'{hedged_late} of {late}')
        self.assertTrue(0 < hedged_extra <= 0.3 * requests)

    def test_slow_targets_alone_get_little_more(self):
        _, extra, requests = self._play(SHARE, slow=4)
        self.assertTrue(extra <= SHARE * requests, f'{extra} of {requests}')
