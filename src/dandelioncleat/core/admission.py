"""A bounded priority queue of one service's requests for a slot."""

from typing import NamedTuple

from returns.result import Failure as Failed
from returns.result import Result, Success

from dandelioncleat.core.failure import Code, Failure

MIN_RETRY_AFTER_S = 1.0
SERVICE_TIME_WEIGHT = 0.1


class QueuedRequest(NamedTuple):
    """A request in the queue; ``deadline`` is in seconds of loop time."""

    ticket: int
    priority: int
    deadline: float

    @property
    def rank(self) -> tuple[int, int]:
        """Return the sort key: lower values are served first."""
        return (self.priority, self.ticket)


class AdmissionQueue:
    """Orders waiting requests by priority and sheds the last ones.

    A request is rejected as soon as the estimated wait exceeds its
    deadline; it is not held until the deadline passes.
    """

    def __init__(self, limit: int) -> None:
        """Set the maximum number of waiting requests."""
        self.limit = limit
        self.service_time_s: float = 0
        self._waiting: dict[int, QueuedRequest] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def offer(
        self,
        waiting: QueuedRequest,
        *,
        now: float,
        slots: int,
    ) -> Result[QueuedRequest | None, Failure]:
        """Queue a request; return the request that it displaces, if any.

        :param now: time of the event loop in seconds
        :param slots: slots of all targets that may serve the queue
        """
        if now + self.wait_s(waiting, slots=slots) > waiting.deadline:
            return Failed(_rejected('the wait would pass the deadline'))
        if len(self._waiting) < self.limit:
            self._waiting[waiting.ticket] = waiting
            return Success(None)
        last = max(
            self._waiting.values(),
            key=_rank,
            default=waiting,
        )
        if last.rank <= waiting.rank:
            return Failed(_rejected('the queue is full'))
        self.remove(last.ticket)
        self._waiting[waiting.ticket] = waiting
        return Success(last)

    def in_order(self) -> list[QueuedRequest]:
        """Return the waiting requests, the next one first."""
        return sorted(self._waiting.values(), key=_rank)

    def too_late(self, *, now: float, slots: int) -> list[QueuedRequest]:
        """Return the requests whose estimated start is past their deadline.

        :param now: time of the event loop in seconds
        :param slots: slots of all targets that may serve the queue
        """
        if slots == 0:
            return []
        return [
            waiting
            for ahead, waiting in enumerate(self.in_order())
            if now + self._turn_s(ahead, slots) > waiting.deadline
        ]

    def remove(self, ticket: int) -> None:
        """Remove a request that was served, rejected or cancelled."""
        self._waiting.pop(ticket, None)

    def note_service_time(self, seconds: float) -> None:
        """Add a finished request to the mean service time."""
        if self.service_time_s == 0:
            self.service_time_s = seconds
            return
        change = seconds - self.service_time_s
        self.service_time_s += SERVICE_TIME_WEIGHT * change

    def wait_s(self, waiting: QueuedRequest, *, slots: int) -> float:
        """Estimate the wait of a request, given the requests ahead of it.

        Returns 0 without slots: a target may join at any time, so that no
        estimate is possible.
        """
        if slots == 0:
            return 0
        ahead = sum(
            1 for other in self._waiting.values() if other.rank < waiting.rank
        )
        return self._turn_s(ahead, slots)

    def retry_after_s(self, *, slots: int) -> float:
        """Return the delay after which a refused request may be accepted."""
        backlog = len(self._waiting) + 1
        wait_s = backlog * self.service_time_s / max(slots, 1)
        return max(MIN_RETRY_AFTER_S, wait_s)

    def _turn_s(self, ahead: int, slots: int) -> float:
        return (ahead + 1) * self.service_time_s / slots


class RunningCounts:
    """Counts running requests of each organisation against its limit."""

    def __init__(self) -> None:
        """Start with no running requests."""
        self._running_by_organisation: dict[str, int] = {}

    def is_at_limit(self, organisation: str, limit: int) -> bool:
        """Return whether the limit is reached; 0 means no limit."""
        running = self._running_by_organisation.get(organisation, 0)
        return limit > 0 and running >= limit

    def begin(self, organisation: str) -> None:
        """Count a request as running."""
        running = self._running_by_organisation.get(organisation, 0)
        self._running_by_organisation[organisation] = running + 1

    def end(self, organisation: str) -> None:
        """Count a request as ended."""
        running = self._running_by_organisation.get(organisation, 0) - 1
        if running > 0:
            self._running_by_organisation[organisation] = running
        else:
            self._running_by_organisation.pop(organisation, None)


def _rank(waiting: QueuedRequest) -> tuple[int, int]:
    return waiting.rank


def _rejected(text: str) -> Failure:
    return Failure(Code.CAPACITY, 'admission', '', text)
