"""Finds out whether targets whose answers were lost have crashed.

A connection that breaks off may mean a crash, a reset, a cut or a planned end.
What is at the target's address soon afterwards decides it at once if nothing
listens there, or another target answers. A supervisor, a relay or a quick
restart may answer in place of a crashed target, so the platform's list decides
the rest:

- The target has started again: it had crashed.
- It goes on to write its entry: it lives.
- Nothing at its address answered: it is presumed to have crashed, until it
  writes its entry.

A target may also crash under runs that nobody waits for any more. Those runs
are remembered, and suspected with those that the crash interrupts.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Protocol

import structlog

from dandelioncleat.app.direct.abandoned_runs import AbandonedRuns
from dandelioncleat.app.direct.crash_mark import SIGN_DELAY_S
from dandelioncleat.app.direct.delivered_runs import DeliveredRuns
from dandelioncleat.app.direct.lost_runs import (
    EndedRun,
    LostRun,
    LostRuns,
    WatchedRun,
    ended_run,
)
from dandelioncleat.app.direct.undecided_starts import UndecidedStarts
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.ports.answer_watch import AnswerWatch
from dandelioncleat.ports.direct_target import DirectTargets, TargetStatus

# The runs that one crash interrupts are reported within this time.
PROBE_DELAY_S = 0.05
# A target that lives writes its entry, and one that starts again is listed,
# well within this time.
UNDECIDED_LIMIT_S = 10.0
# A crash may interrupt as many requests as a target runs.
MAX_LOGGED_REQUESTS = 64
MAX_LOGGED_PARTS = 16

_logger = structlog.get_logger(__name__)


class TargetList(Protocol):
    """What the platform's list says about targets."""

    def started_at(self, target: str) -> int | None:
        """Return the newest known start of a target, ``None`` if unknown."""

    def health_path(self, service: str) -> str | None:
        """Return where a service's targets tell that they are healthy."""

    def note_crash(self, start: str) -> None:
        """Note that a start of a target has crashed, as any router found."""


class CrashListener(NamedTuple):
    """What is called as it is found out what happened.

    ``on_crash`` records a crash and returns the keys of its records,
    ``on_alive`` gets the keys of records that were wrong, as the target lives.
    ``on_outlived`` gets abandoned runs that their target has outlived,
    ``on_sound`` a run that has succeeded.
    """

    on_crash: Callable[[LostRuns], set[str]]
    on_alive: Callable[[set[str]], None]
    on_outlived: Callable[[list[EndedRun]], None]
    on_sound: Callable[[EndedRun], None]


class CrashDetector:
    """Decides for each start of a target that has lost answers.

    ``delivered`` takes whole answers.
    """

    def __init__(
        self,
        targets: DirectTargets,
        listed: TargetList,
        listener: CrashListener,
    ) -> None:
        """Initialise with the client of targets and the platform's list."""
        self._targets = targets
        self._listed = listed
        self._listener = listener
        self.undecided = UndecidedStarts()
        self._probes_by_start: dict[str, asyncio.Task[None]] = {}
        self._abandoned = AbandonedRuns()
        self.delivered = DeliveredRuns(
            self.undecided, on_sound=listener.on_sound
        )

    def note_lost(
        self,
        run: WatchedRun,
        target: TargetEntry,
        *,
        has_begun: bool,
        looks_whole: bool = False,
        is_leaving: bool = False,
    ) -> None:
        """Find out whether the target of a lost answer has crashed.

        :param has_begun: whether the answer had begun
        :param looks_whole: whether the answer may be whole
        :param is_leaving: whether the target was known to leave
        """
        lost = self._undecided(target, is_leaving=is_leaving)
        if lost.add(LostRun(run, _now(), has_begun, looks_whole)):
            self._probe_soon(lost)

    def note_abandoned(
        self,
        run: WatchedRun,
        target: TargetEntry,
        *,
        leaves: Callable[[], bool],
        watch: AnswerWatch | None = None,
    ) -> None:
        """Remember a run that has ended while its target may go on with it.

        :param leaves: returns whether the target's end is planned
        :param watch: tells whether the target drops the run
        """
        newest = self._listed.started_at(target.id)
        is_replaced = newest is not None and newest > target.started_at
        if not run.is_after_crash and not is_replaced:
            self._abandoned.add(
                run, target, now=_now(), leaves=leaves, watch=watch
            )

    def note_doubt(self, start: str) -> None:
        """Find out whether a start has crashed under runs nobody waits for."""
        target = self._abandoned.target(start) or self.delivered.target(start)
        if target is None or self.undecided.get(start) is not None:
            return
        if not self._abandoned.is_leaving(start):
            self._probe_soon(self._undecided(target, is_leaving=False))

    def note_entry(self, entry: TargetEntry) -> None:
        """Note that an entry of a target was read from the list."""
        self._note_lost_entry(entry)
        outlived = self._abandoned.take_survived(
            entry.start, _now() - SIGN_DELAY_S
        )
        if outlived:
            self._listener.on_outlived(outlived)
        for earlier in self._abandoned.earlier_starts(entry):
            if earlier.start not in self._probes_by_start:
                is_leaving = self._abandoned.is_leaving(earlier.start)
                self._decide_restarted(
                    self._undecided(earlier, is_leaving=is_leaving)
                )

    def close(self) -> None:
        """End the probes."""
        for probe in self._probes_by_start.values():
            probe.cancel()

    def _undecided(self, target: TargetEntry, *, is_leaving: bool) -> LostRuns:
        """Return what is known of a start that may have crashed."""
        lost = self.undecided.get(target.start)
        if lost is None:
            lost = LostRuns(target, is_leaving=is_leaving, since=_now())
            self.undecided.add(lost)
            loop = asyncio.get_running_loop()
            loop.call_later(UNDECIDED_LIMIT_S, self._give_up, lost)
        return lost

    def _note_lost_entry(self, entry: TargetEntry) -> None:
        lost = self.undecided.of_target(entry.id)
        if lost is None or lost.target.start in self._probes_by_start:
            return
        if entry.start == lost.target.start:
            self._note_alive(lost)
        elif entry.started_at > lost.target.started_at:
            self._decide_restarted(lost)

    def _probe_soon(self, lost: LostRuns) -> None:
        start = lost.target.start
        if start in self._probes_by_start:
            return
        loop = asyncio.get_running_loop()
        probe = loop.create_task(self._probe(lost))
        self._probes_by_start[start] = probe
        probe.add_done_callback(
            lambda _probe: self._probes_by_start.pop(start, None)
        )

    async def _probe(self, lost: LostRuns) -> None:
        target = lost.target
        await asyncio.sleep(PROBE_DELAY_S)
        path = self._listed.health_path(target.service)
        status = await self._targets.status(target, path)
        self._probes_by_start.pop(target.start, None)
        if status is TargetStatus.ANSWERED:
            lost.note_heard()
        newest = self._listed.started_at(target.id)
        is_restarted = newest is not None and newest > target.started_at
        _log_probe(lost, status, is_restarted=is_restarted)
        if status in {TargetStatus.REFUSED, TargetStatus.OTHER}:
            self._decide_crashed(lost)
        elif is_restarted:
            self._decide_restarted(lost)
        elif status is TargetStatus.SILENT and not lost.is_leaving:
            lost.abandoned = _ended_before(
                lost, self._abandoned, self.delivered
            )
            _log_decision(lost, lost.runs, has_crashed=True)
            self._listed.note_crash(target.start)
            lost.recorded_keys |= self._listener.on_crash(lost)

    def _decide_restarted(self, lost: LostRuns) -> None:
        """Decide about a target that is listed with a later start."""
        if lost.is_leaving:
            self._give_up(lost)
        else:
            self._decide_crashed(lost)

    def _decide_crashed(self, lost: LostRuns) -> None:
        lost.abandoned = _ended_before(lost, self._abandoned, self.delivered)
        self._abandoned.forget(lost.target.start)
        self.undecided.forget(lost)
        _log_decision(lost, lost.runs, has_crashed=True)
        self._listed.note_crash(lost.target.start)
        self._listener.on_crash(lost)

    def _note_alive(self, lost: LostRuns) -> None:
        """Note that the start has written its entry."""
        moment = _now() - SIGN_DELAY_S
        if lost.since >= moment:
            return
        runs = lost.take_before(moment)
        if lost.runs and not runs:
            return
        if not lost.runs:
            self.undecided.forget(lost)
        _log_decision(lost, runs, has_crashed=False)
        wrong_keys = lost.recorded_keys
        lost.recorded_keys = set()
        self._listener.on_alive(wrong_keys)
        _note_sound(self.delivered, runs)
        if not lost.runs:
            self.delivered.note_alive(lost)

    def _give_up(self, lost: LostRuns) -> None:
        """Take the target of undecided losses as alive."""
        if self.undecided.get(lost.target.start) is not lost:
            return
        self.undecided.forget(lost)
        if lost.is_leaving:
            self._abandoned.forget(lost.target.start)
        if not lost.is_presumed:
            _note_sound(self.delivered, lost.runs)
            self.delivered.note_alive(lost)


def _ended_before(
    lost: LostRuns, abandoned: AbandonedRuns, delivered: DeliveredRuns
) -> tuple[EndedRun, ...]:
    """Return the runs that had ended and that a crash may be blamed on."""
    lost_at = [each.lost_at for each in lost.runs]
    near = abandoned.near(lost.target.start, lost_at, now=_now())
    return (*near, *delivered.note_crash(lost))


def _note_sound(delivered: DeliveredRuns, runs: list[LostRun]) -> None:
    """Take the answers that look whole of a target that lives for sound."""
    for each in runs:
        if each.looks_whole:
            delivered.note_sound(ended_run(each.run, each.lost_at))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _log_probe(
    lost: LostRuns, status: TargetStatus, *, is_restarted: bool
) -> None:
    _logger.info(
        'target of lost answers probed',
        target=lost.target.id,
        start=lost.target.start,
        status=status.value,
        is_restarted=is_restarted,
        is_leaving=lost.is_leaving,
        runs=len(lost.runs),
    )


def _log_decision(
    lost: LostRuns, runs: list[LostRun], *, has_crashed: bool
) -> None:
    log = _logger.warning if has_crashed else _logger.info
    requests = [each.run.request for each in runs[:MAX_LOGGED_REQUESTS]]
    abandoned = lost.abandoned[:MAX_LOGGED_REQUESTS] if has_crashed else ()
    log(
        'target crashed' if has_crashed else 'target did not crash',
        target=lost.target.id,
        start=lost.target.start,
        runs=len(runs),
        abandoned={each.request: each.digest for each in abandoned},
        begun=sum(each.has_begun for each in runs),
        was_presumed=lost.is_presumed,
        digests_by_request={each.id: each.digest for each in requests},
        parts_by_request={each.id: _part_ids(each) for each in requests},
    )


def _part_ids(request: DirectRequest) -> list[str]:
    if request.prompt is None:
        return []
    return [part.id for part in request.prompt.parts[:MAX_LOGGED_PARTS]]
