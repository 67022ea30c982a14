"""Tests of the record of requests that were reported as not run."""

from testtools import TestCase
from testtools.matchers import Equals

from dandelioncleat.core.identity import RequestKey
from dandelioncleat.core.not_run_replies import MAX_REPLIES, NotRunReplies

KEY = RequestKey('agents', 'k1')


class NotRunRepliesTest(TestCase):
    def test_bars_attempts_that_arrived_before_the_reply(self) -> None:
        replies = NotRunReplies()
        self.assertThat(replies.bars(KEY, 0), Equals(False))
        replies.note(KEY, 10)
        covered = [replies.bars(KEY, at) for at in (9, 10, 11)]
        self.assertThat(covered, Equals([True, False, False]))

    def test_expire_drops_old_replies(self) -> None:
        replies = NotRunReplies()
        replies.note(KEY, 10)
        replies.expire(10)
        self.assertThat(replies.bars(KEY, 9), Equals(True))
        replies.expire(11)
        self.assertThat(replies.bars(KEY, 9), Equals(False))

    def test_many_replies_evict_the_oldest(self) -> None:
        replies = NotRunReplies()
        for number in range(MAX_REPLIES + 1):
            replies.note(RequestKey('agents', str(number)), number)
        oldest = RequestKey('agents', '0')
        self.assertThat(replies.bars(oldest, -1), Equals(False))
