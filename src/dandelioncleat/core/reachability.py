"""Tracks processes that did not answer and how long to avoid them."""

from typing import NamedTuple

from dandelioncleat.core.identity import Incarnation

FIRST_AVOID_S = 5.0
MAX_AVOID_S = 60.0


class ProcessLocation(NamedTuple):
    """A process and its data centre."""

    process: Incarnation
    data_centre: str


class _AvoidedProcess(NamedTuple):
    """An avoided process; times are in seconds."""

    data_centre: str
    avoided_until: float
    avoid_s: float


class Reachability:
    """Orders processes so that unresponsive ones are tried last.

    Each consecutive failure doubles the time for which a process is avoided;
    an answer ends it. The rest of its data centre is tried after the other
    data centres meanwhile, since a lost link cuts off whole data centres.
    """

    def __init__(self) -> None:
        """Start with every process reachable."""
        self._avoided_by_process: dict[Incarnation, _AvoidedProcess] = {}

    def note_failure(self, location: ProcessLocation, now: float) -> None:
        """Avoid a process from ``now`` on."""
        known = self._avoided_by_process.get(location.process)
        if known is not None and now < known.avoided_until:
            return
        avoid_s = FIRST_AVOID_S if known is None else 2 * known.avoid_s
        avoid_s = min(avoid_s, MAX_AVOID_S)
        avoided_process = _AvoidedProcess(
            location.data_centre, now + avoid_s, avoid_s
        )
        self._avoided_by_process[location.process] = avoided_process

    def note_answer(self, process: Incarnation) -> None:
        """Stop avoiding a process."""
        self._avoided_by_process.pop(process, None)

    def order(
        self,
        locations: tuple[ProcessLocation, ...],
        now: float,
    ) -> tuple[ProcessLocation, ...]:
        """Return the locations, avoided ones last, in a stable order."""
        avoided = {
            process: avoided_process.data_centre
            for process, avoided_process in self._avoided_by_process.items()
            if now < avoided_process.avoided_until
        }
        if not avoided:
            return locations
        affected_data_centres = set(avoided.values())
        return tuple(
            sorted(
                locations,
                key=lambda location: (
                    location.process in avoided,
                    location.data_centre in affected_data_centres,
                ),
            ),
        )

    def retain(self, processes: tuple[Incarnation, ...]) -> None:
        """Drop all processes except these."""
        retained = set(processes)
        for process in tuple(self._avoided_by_process):
            if process not in retained:
                self._avoided_by_process.pop(process)
