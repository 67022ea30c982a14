"""Weighs the runs that targets outlived against crashes under their kind.

Of a request that crashes targets some runs are outlived, where its targets
drop them. A sound one whose callers leave is outlived by nearly all.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable

from dandelioncleat.core.crash_suspect import CrashSuspect

# Runs that were outlived longer ago than this tell nothing.
OUTLIVED_AGE_S = 10.0
# So many outlived runs for each crash clear a suspect.
RUNS_PER_CRASH = 3
MAX_TIMES = 64
MAX_SUSPECTS = 4_000


class OutlivedRuns:
    """Keeps when runs of each suspect were outlived, for a bounded number."""

    def __init__(self, *, least: int = 1) -> None:
        """Start without a run.

        :param least: fewer runs of this router never clear a suspect
        """
        self._least = least
        self._times_by_suspect: OrderedDict[str, deque[float]] = OrderedDict()

    def note(self, suspects: Iterable[CrashSuspect], now: float) -> None:
        """Note that a target has outlived a run.

        :param now: event loop time in seconds
        """
        for suspect in suspects:
            times = self._times_by_suspect.setdefault(
                suspect.key, deque(maxlen=MAX_TIMES)
            )
            times.append(now)
            self._times_by_suspect.move_to_end(suspect.key)
        while len(self._times_by_suspect) > MAX_SUSPECTS:
            self._times_by_suspect.popitem(last=False)

    def clear(
        self, suspect: CrashSuspect, now: float, *, crashes: int, routers: int
    ) -> bool:
        """Return whether crashes beside a suspect had another cause.

        :param now: event loop time in seconds
        :param crashes: crashes that all routers know, without the next one
        :param routers: number of routers, which get about equal parts
        """
        times = self._times_by_suspect.get(suspect.key, ())
        recent = sum(now - at < OUTLIVED_AGE_S for at in times)
        if recent < self._least:
            return False
        return recent * max(1, routers) >= RUNS_PER_CRASH * (crashes + 1)
