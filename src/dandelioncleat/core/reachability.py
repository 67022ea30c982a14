"""Remembers which processes did not answer, and for how long to avoid them."""

from typing import NamedTuple

from dandelioncleat.core.identity import Incarnation

FIRST_AVOID_S = 5.0
LONGEST_AVOID_S = 60.0


class Place(NamedTuple):
    """A process and its data centre."""

    process: Incarnation
    data_centre: str


class _Lapse(NamedTuple):
    """A process that did not answer; times are in seconds."""

    data_centre: str
    until: float
    avoid_s: float


class Reachability:
    """Puts processes that did not answer behind those that may.

    Each failure in a row doubles the time for which a process is avoided;
    an answer ends it. The rest of its data centre comes after the other
    data centres meanwhile, since a lost link parts whole data centres.
    """

    def __init__(self) -> None:
        """Start with every process reachable."""
        self._lapses_by_process: dict[Incarnation, _Lapse] = {}

    def note_failure(self, place: Place, now: float) -> None:
        """Avoid a process from ``now`` on."""
        known = self._lapses_by_process.get(place.process)
        if known is not None and now < known.until:
            return
        avoid_s = FIRST_AVOID_S if known is None else 2 * known.avoid_s
        avoid_s = min(avoid_s, LONGEST_AVOID_S)
        lapse = _Lapse(place.data_centre, now + avoid_s, avoid_s)
        self._lapses_by_process[place.process] = lapse

    def note_answer(self, process: Incarnation) -> None:
        """Avoid a process no longer."""
        self._lapses_by_process.pop(process, None)

    def order(
        self,
        places: tuple[Place, ...],
        now: float,
    ) -> tuple[Place, ...]:
        """Return the places with those to avoid last, else as given."""
        avoided = {
            process: lapse.data_centre
            for process, lapse in self._lapses_by_process.items()
            if now < lapse.until
        }
        if not avoided:
            return places
        doubtful = set(avoided.values())
        return tuple(
            sorted(
                places,
                key=lambda place: (
                    place.process in avoided,
                    place.data_centre in doubtful,
                ),
            ),
        )

    def keep(self, processes: tuple[Incarnation, ...]) -> None:
        """Forget every process but these."""
        kept = set(processes)
        for process in tuple(self._lapses_by_process):
            if process not in kept:
                self._lapses_by_process.pop(process)
