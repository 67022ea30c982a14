"""Tells what crashes targets from what merely ran beside it.

Load pattern: prompts with one part that crashes each target that answers them
come several times a second, at any router, among sound prompts that share
their other parts. Each crash interrupts up to a target's slots of sound runs.

A success withdraws the records of all that it holds, so a cause keeps its
records and popular parts lose theirs at once. Between two successes:

- What a target has written as it crashes may be lost on the way, so parts are
  suspects whether or not a byte of the answer has arrived. It takes one more
  crash then, as the target may not have begun to run the request.
- What has succeeded before is hardly the cause: it is blamed only for what
  nothing else explains.
- Crashes that come together, as in a power loss, blame nothing: of the crashes
  under a part some must be of runs that were sent after an earlier one.
- A cause explains its crashes. They don't count against what ran beside it,
  nor against a part that all prompts of a route begin with.
- A request doesn't explain the crashes under another one: several may crash
  targets at the same time, and a sound one that ran beside them succeeds when
  it is sent again.
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from dandelioncleat.core.crash_records import CrashRecord
from dandelioncleat.core.crash_suspect import REQUEST_DEPTH

# What runs beside a cause may lose two targets in a row to it.
MIN_CRASHES = 3
# A part whose runs waited may not have begun at the target, so it takes one
# more.
MIN_WAITING_CRASHES = 4
# Several causes at the same time explain parts of what each has done.
CERTAIN_CRASHES = 7
# A part belongs to many callers, so its crashes have to follow each other.
MIN_REPEATS = 2
# Targets that crash within this time crash together.
TOGETHER_S = 0.1


class CrashCause(NamedTuple):
    """What crashes targets.

    :param crashes: number of target starts that crashed under it
    :param last_at: time of day of the last crash, in seconds
    """

    crashes: int
    last_at: float


class _Evidence(NamedTuple):
    """The crashes under one suspect that nothing else explains.

    ``at_by_start`` gives the time of day of each crash, in seconds.
    ``abandoned_starts`` crashed after all runs of the suspect had ended there,
    ``waiting_starts`` before any byte of their answers had arrived.
    ``is_known`` says that the suspect has succeeded before.
    """

    suspect: str
    depth: int
    at_by_start: Mapping[str, float]
    repeated_starts: frozenset[str]
    abandoned_starts: frozenset[str] = frozenset()
    waiting_starts: frozenset[str] = frozenset()
    is_known: bool = False

    @property
    def starts(self) -> frozenset[str]:
        """Return the target starts that crashed."""
        return frozenset(self.at_by_start)

    @property
    def weight(self) -> tuple[bool, int, int]:
        """Return how likely the suspect is the cause.

        What has never succeeded comes first, then the number of crashes
        counts, then how specific the suspect is.
        """
        moments = self._moments(self.at_by_start)
        return not self.is_known, moments, self.depth

    @property
    def is_request(self) -> bool:
        """Return whether the suspect is a whole request."""
        return self.depth == REQUEST_DEPTH

    @property
    def is_conclusive(self) -> bool:
        """Return whether the suspect must be the cause."""
        if self.is_request:
            interrupted = len(self.starts - self.abandoned_starts)
            abandoned = self._moments(self.abandoned_starts)
            # Those of runs that had ended count once if they come together, as
            # a power loss takes many targets.
            return interrupted + abandoned >= MIN_CRASHES
        begun = self._moments(self.starts - self.waiting_starts)
        moments = self._moments(self.at_by_start)
        if begun < MIN_CRASHES and moments < MIN_WAITING_CRASHES:
            return False
        return self._moments(self.repeated_starts) >= MIN_REPEATS

    @property
    def is_certain(self) -> bool:
        """Return whether a part must be a cause, whatever others explain."""
        if self.is_request or self.is_known:
            return False
        moments = self._moments(self.at_by_start)
        return moments >= CERTAIN_CRASHES and self.is_conclusive

    def without(self, starts: frozenset[str]) -> '_Evidence':
        """Return what is left if something else explains some crashes."""
        return self._replace(
            at_by_start={
                start: at
                for start, at in self.at_by_start.items()
                if start not in starts
            },
            repeated_starts=self.repeated_starts - starts,
            abandoned_starts=self.abandoned_starts - starts,
            waiting_starts=self.waiting_starts - starts,
        )

    def cause(self) -> CrashCause:
        """Return the suspect as a cause."""
        return CrashCause(len(self.at_by_start), max(self.at_by_start.values()))

    def _moments(self, starts: Iterable[str]) -> int:
        """Return how many times some starts crashed, one or more together."""
        moments = 0
        end = float('-inf')
        for at in sorted(self.at_by_start[start] for start in starts):
            if at > end:
                moments += 1
                end = at + TOGETHER_S
        return moments


def find_causes(
    records: Iterable[CrashRecord],
    *,
    is_known: Callable[[str], bool] | None = None,
    earlier: Collection[str] = (),
) -> dict[str, CrashCause]:
    """Return the causes of crashes by the keys of their suspects.

    Of the suspects that never succeeded those with most crashes are causes, of
    these the most specific; the crashes that they explain are left out for all
    others. What has succeeded before is blamed for the rest alone.

    :param is_known: returns whether a suspect has succeeded before; none has
        by default
    :param earlier: suspects that have been causes until now; of several such
        parts the one with most crashes must not free the others
    """
    evidence = [
        each._replace(is_known=is_known is not None and is_known(each.suspect))
        for each in _evidence(records)
    ]
    causes_by_suspect: dict[str, CrashCause] = {}
    found: list[_Evidence] = []
    left = evidence
    explained_by_parts: frozenset[str] = frozenset()
    worst = _worst(left)
    while worst:
        found += worst
        causes_by_suspect.update((each.suspect, each.cause()) for each in worst)
        explained_by_parts |= _starts(worst, of_requests=False)
        explained = _starts(worst, of_requests=True) | explained_by_parts
        left = [each.without(explained) for each in left]
        worst = _worst(left)
    for each in evidence:
        own = each.without(explained_by_parts)
        if own.is_request and own.is_conclusive:
            causes_by_suspect.setdefault(own.suspect, own.cause())
        if each.is_certain:
            causes_by_suspect.setdefault(each.suspect, each.cause())
        if each.suspect in earlier and _remains(each, found):
            causes_by_suspect.setdefault(each.suspect, each.cause())
    return causes_by_suspect


def _remains(evidence: _Evidence, causes: list[_Evidence]) -> bool:
    """Return whether a part is still a cause beside others.

    Only a more specific part can free it, as a part behind it does.
    """
    if evidence.is_request or evidence.is_known:
        return False
    deeper = [
        each
        for each in causes
        if each.depth > evidence.depth and not each.is_request
    ]
    explained = _starts(deeper, of_requests=False)
    return evidence.without(explained).is_conclusive


def _starts(evidence: list[_Evidence], *, of_requests: bool) -> frozenset[str]:
    """Return the starts that crashed under requests, or under parts."""
    starts = (
        each.starts for each in evidence if each.is_request == of_requests
    )
    return frozenset[str]().union(*starts)


def _worst(evidence: list[_Evidence]) -> list[_Evidence]:
    """Return the conclusive evidence of the greatest weight."""
    conclusive = [each for each in evidence if each.is_conclusive]
    weight = max((each.weight for each in conclusive), default=None)
    return [each for each in conclusive if each.weight == weight]


def _evidence(records: Iterable[CrashRecord]) -> list[_Evidence]:
    records_by_suspect = defaultdict(list)
    for record in records:
        records_by_suspect[record.suspect].append(record)
    return [
        _Evidence(
            suspect,
            max(each.depth for each in own),
            _at_by_start(own),
            frozenset(each.start for each in own if each.is_repeat),
            _starts_of_all(own, lambda each: each.is_abandoned),
            _starts_of_all(own, lambda each: each.is_waiting),
        )
        for suspect, own in records_by_suspect.items()
    ]


def _starts_of_all(
    records: list[CrashRecord], is_such: Callable[[CrashRecord], bool]
) -> frozenset[str]:
    """Return the starts of which all records are of one sort."""
    others = {each.start for each in records if not is_such(each)}
    return frozenset(each.start for each in records) - others


def _at_by_start(records: list[CrashRecord]) -> dict[str, float]:
    at_by_start: dict[str, float] = {}
    for record in records:
        known_at = at_by_start.get(record.start, record.at)
        at_by_start[record.start] = min(record.at, known_at)
    return at_by_start
