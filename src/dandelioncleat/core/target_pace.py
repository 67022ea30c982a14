"""How fast a target works, against the other targets of its service.

Targets share their machines with others, and their machines differ. A target
says how long work takes there at the moment of an answer, which holds for some
hundred milliseconds. How fast its machine is shows in how long prompts take to
the first token.
"""

from collections.abc import Iterable
from math import exp
from statistics import median

# The time in which a slow spell that a target told is mostly over, in seconds.
SPELL_S = 0.4
# Weight of the newest prompt in the average of a target.
NEWEST_WEIGHT = 0.3
# A prompt takes some time whatever its length, and however short its queue is.
FIXED_WORK_TOKENS = 500
# Few prompts say little about a machine, and a target that is hardly used can't
# show that it is faster than it was.
SURE_PROMPTS = 3
MIN_RELATIVE = 0.6
MAX_RELATIVE = 1.7


def slowness_now(told: float, age_s: float) -> float:
    """Return how slow a target is, some time after it told that.

    :param told: how long work took there against the usual, 1 if as long
    :param age_s: time since it told that, in seconds
    """
    return 1 + (told - 1) * exp(-max(0, age_s) / SPELL_S)


class TargetPace:
    """Averages the time to the first token of a target's prompts."""

    def __init__(self) -> None:
        """Start without a prompt."""
        self._prompts = 0
        self._s_per_token = float(0)

    @property
    def s_per_token(self) -> float | None:
        """Return the seconds for a token of work, ``None`` if unknown."""
        return self._s_per_token if self._prompts else None

    def note(self, passed_s: float, work_tokens: float) -> None:
        """Add a prompt.

        :param passed_s: time from its sending to its first token
        :param work_tokens: tokens that were to be read until then
        """
        newest = passed_s / (FIXED_WORK_TOKENS + max(0, work_tokens))
        self._prompts += 1
        weight = max(NEWEST_WEIGHT, 1 / self._prompts)
        self._s_per_token += weight * (newest - self._s_per_token)

    def relative(self, usual: float | None) -> float:
        """Return how long work takes against the usual, 1 if as long.

        :param usual: seconds for a token of work at most targets
        """
        if not self._prompts or not usual:
            return 1
        found = self._s_per_token / usual
        bounded = min(MAX_RELATIVE, max(MIN_RELATIVE, found))
        trust = self._prompts / (self._prompts + SURE_PROMPTS)
        return 1 + trust * (bounded - 1)


def usual_pace(paces: Iterable[TargetPace]) -> float | None:
    """Return the seconds for a token of work at most targets."""
    known = [each.s_per_token for each in paces if each.s_per_token is not None]
    return median(known) if known else None
