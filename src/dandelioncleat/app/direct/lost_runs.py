"""Runs whose targets may have crashed, until that is known."""

from collections.abc import Iterable
from typing import NamedTuple

from dandelioncleat.core.crash_suspect import CrashSuspect, suspects_of
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.ports.answer_watch import AnswerWatch


class WatchedRun(NamedTuple):
    """A run of a request at a target.

    ``repeated`` are the suspects under which another target had crashed, or
    may have, when the run was sent, at ``sent_at``, an event loop time in
    seconds. ``is_after_crash`` says that the target was known to have crashed
    by then.
    """

    request: DirectRequest
    repeated: frozenset[CrashSuspect] = frozenset()
    sent_at: float = float('-inf')
    is_after_crash: bool = False


class LostRun(NamedTuple):
    """A run that a crash of its target may have ended.

    ``lost_at`` is an event loop time in seconds. ``has_begun`` says that the
    answer had begun to arrive, ``looks_whole`` that it may be whole. What a
    target has written as it crashes may not arrive.
    """

    run: WatchedRun
    lost_at: float
    has_begun: bool
    looks_whole: bool = False

    @property
    def suspects(self) -> tuple[CrashSuspect, ...]:
        """Return what may have caused a crash."""
        return suspects_of(self.run.request)


class EndedRun(NamedTuple):
    """A run that has ended while its target may go on with it, or crash.

    Times are event loop times in seconds. Of equal runs at one start
    ``sent_at`` and ``first_ended_at`` are those of the first, ``request``,
    ``ended_at`` and ``watch`` those of the last. ``watch`` tells whether the
    target has closed the connection, as one does that drops the run.
    """

    request: str
    digest: str
    suspects: tuple[CrashSuspect, ...]
    repeated: frozenset[CrashSuspect]
    sent_at: float
    first_ended_at: float
    ended_at: float
    watch: AnswerWatch | None = None

    @property
    def closed_at(self) -> float | None:
        """Return when the target closed the connection without an output."""
        return None if self.watch is None else self.watch.dropped_at


def ended_run(run: WatchedRun, ended_at: float) -> EndedRun:
    """Return what is kept of a run that has ended, without its body.

    :param ended_at: an event loop time in seconds
    """
    request = run.request
    return EndedRun(
        request.id,
        request.digest,
        suspects_of(request),
        run.repeated,
        sent_at=run.sent_at,
        first_ended_at=ended_at,
        ended_at=ended_at,
    )


class LostRuns:
    """The runs that one start of a target has lost, if any.

    ``abandoned`` are those that had ended without an answer before, or with
    one that the target has not outlived; ``delivered`` are whole answers of
    which that is not known.

    ``recorded_keys`` are the crash records of a target that is presumed to
    have crashed, which may still turn out to be wrong. ``silent_since`` is
    when the first answer was lost since the target was last heard, an event
    loop time in seconds.
    """

    def __init__(
        self, target: TargetEntry, *, is_leaving: bool, since: float
    ) -> None:
        """Start without a run.

        :param is_leaving: whether the target was leaving, which also ends
            its answers
        :param since: since when it may have crashed, an event loop time in
            seconds
        """
        self.since = since
        self.abandoned: tuple[EndedRun, ...] = ()
        self.delivered: list[EndedRun] = []
        self.target = target
        self.is_leaving = is_leaving
        self.runs: list[LostRun] = []
        self.recorded_keys: set[str] = set()
        self.silent_since = float('inf')
        self._sound_keys: set[str] = set()

    @property
    def is_presumed(self) -> bool:
        """Return whether the target is presumed to have crashed."""
        return bool(self.recorded_keys)

    def add(self, lost: LostRun) -> bool:
        """Add a run, unless the target may have crashed before it was sent.

        Returns whether it was added.
        """
        is_later = lost.run.sent_at > self.silent_since
        if not lost.has_begun and (is_later or lost.run.is_after_crash):
            return False
        if is_later:
            self.note_heard()
        self.runs.append(lost)
        self.silent_since = min(self.silent_since, lost.lost_at)
        return True

    def note_heard(self) -> None:
        """Note that the target has answered since the last loss."""
        self.silent_since = float('inf')

    def note_sound(self, keys: Iterable[str]) -> None:
        """Note suspects that have run to a good end elsewhere."""
        self._sound_keys.update(keys)

    def is_sound(self, suspect: CrashSuspect) -> bool:
        """Return whether a suspect has succeeded since the loss."""
        return suspect.key in self._sound_keys

    def take_before(self, moment: float) -> list[LostRun]:
        """Remove and return the runs that were lost before a moment.

        :param moment: an event loop time in seconds
        """
        taken = [each for each in self.runs if each.lost_at < moment]
        self.runs = [each for each in self.runs if each.lost_at >= moment]
        return taken

    def holds(self, suspect: CrashSuspect) -> bool:
        """Return whether a crash may have been under a suspect."""
        return any(suspect in each.suspects for each in self.runs)
