"""Whether a host's time of day is right, by the clocks of other hosts.

After a loss of power only the time of day says how long ago a process wrote its
last record. It may have jumped by seconds on some hosts, but hardly on most of
those that one host asks, and by the same time.
"""

from collections.abc import Sequence
from typing import NamedTuple

from dandelioncleat.core.holding import CLOCK_ERROR_S, Moment

# Maximum error of a clock that was checked: MAX_DIFFERENCE_S, an undetected
# STEP_S, and some tenths that a majority of right clocks differ from the true
# time.
CHECKED_ERROR_S = 0.5
MAX_DIFFERENCE_S = 0.25
# A larger change of the time of day against the monotonic clock is a step.
STEP_S = 0.1
# With a third of all clocks wrong by the same time, five of six wrong answers
# are less than two in a hundred checks, which also need a wrong clock here.
MIN_AGREEING = 5
MIN_AGREEING_SHARE = 0.8
# Clocks drift apart by less than a millisecond in this time.
MAX_AGE_S = 25.0


class ClockAnswer(NamedTuple):
    """The time of day that another host told.

    :param sent: when it was asked, on this host's clocks
    :param told_s: its time of day, in seconds since the epoch
    :param received: when it had answered, on this host's clocks
    """

    sent: Moment
    told_s: float
    received: Moment

    @property
    def agrees(self) -> bool:
        """Return whether the clocks differ by little for certain."""
        least = self.sent.wall - self.told_s
        most = self.received.wall - self.told_s
        return least >= -MAX_DIFFERENCE_S and most <= MAX_DIFFERENCE_S


class ClockEvidence:
    """The newest check of a host's time of day."""

    def __init__(self) -> None:
        """Start without a check."""
        self._checked_at: Moment | None = None

    def note(self, answers: Sequence[ClockAnswer], now: Moment) -> bool:
        """Note the answers of other hosts; return whether they agree."""
        agreeing = sum(answer.agrees for answer in answers)
        is_confirmed = (
            agreeing >= MIN_AGREEING
            and agreeing >= MIN_AGREEING_SHARE * len(answers)
        )
        self._checked_at = now if is_confirmed else None
        return is_confirmed

    def error_s(self, moment: Moment) -> float:
        """Return the maximum error of the time of day at a moment.

        The moment may be before or after the check, if the clock has made no
        step in between.
        """
        checked = self._checked_at
        if checked is None:
            return CLOCK_ERROR_S
        passed_s = moment.monotonic - checked.monotonic
        step_s = moment.wall - checked.wall - passed_s
        if abs(passed_s) > MAX_AGE_S or abs(step_s) > STEP_S:
            return CLOCK_ERROR_S
        return CHECKED_ERROR_S
