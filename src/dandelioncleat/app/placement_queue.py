"""Lets requests wait for a target with a free slot."""

import asyncio
import random
from typing import NamedTuple

from returns.result import Failure as Failed
from returns.result import Success

from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.load_watch import LoadWatch
from dandelioncleat.core.admission import AdmissionQueue, QueuedRequest
from dandelioncleat.core.failure import Failure, FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.placement import (
    Candidate,
    PlacementContext,
    choose,
    has_free_slot,
    no_capacity,
)
from dandelioncleat.core.request import CallerRequest

QUEUE_SHARE = 0.5
NO_TARGET_WAIT_S = 3.0


class Place(NamedTuple):
    """A slot that a request holds at a target until it is left."""

    sidecar: Incarnation
    target: str
    service: str
    ticket: int
    began_at: float


class Demand(NamedTuple):
    """A request that asks for a place, and the targets that it must avoid.

    ``deadline`` is a time of the event loop in seconds.
    """

    request: CallerRequest
    deadline: float
    excluded: tuple[Incarnation, ...]


class PlacementQueue:
    """Places requests, at once or when their turn in the queue comes."""

    def __init__(
        self,
        *,
        data_centre: str,
        configuration: ConfigurationKeeper,
        watch: LoadWatch,
        source: random.Random,
    ) -> None:
        """Take the router's data centre and its knowledge of the targets."""
        self._data_centre = data_centre
        self._configuration = configuration
        self._watch = watch
        self._random = source
        self._queues_by_service: dict[str, AdmissionQueue] = {}
        self._demands: dict[int, Demand] = {}
        self._futures: dict[int, asyncio.Future[Place]] = {}
        self._count = 0
        self._turn = 0
        watch.on_change(self._serve_all)

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._futures)

    async def enter(self, demand: Demand) -> Place:
        """Return a place; raise ``FailureError`` if there will be none."""
        service = demand.request.service
        queue = self._queue(service)
        if len(queue) == 0:
            place = self._try_place(demand)
            if place is not None:
                return place
        self._count += 1
        waiting = self._enqueue(queue, self._count, demand)
        future: asyncio.Future[Place] = (
            asyncio.get_running_loop().create_future()
        )
        self._demands[waiting.ticket] = demand
        self._futures[waiting.ticket] = future
        try:
            self._serve(service, queue)
            return await self._wait(future, waiting)
        finally:
            queue.remove(waiting.ticket)
            self._forget(waiting.ticket)

    def leave(self, place: Place) -> None:
        """Give a place back."""
        now = asyncio.get_running_loop().time()
        queue = self._queue(place.service)
        queue.note_service_time(now - place.began_at)
        self._watch.end(place.sidecar, place.ticket)

    def retry_after_s(self, service: str) -> float:
        """Return after what time a refused request may find room."""
        slots = self._watch.slots(service)
        return self._queue(service).retry_after_s(slots=slots)

    def _queue(self, service: str) -> AdmissionQueue:
        settings = self._configuration.current.services_by_name.get(service)
        limit = 0 if settings is None else settings.queue_limit
        queue = self._queues_by_service.setdefault(
            service,
            AdmissionQueue(limit),
        )
        queue.limit = limit
        return queue

    def _enqueue(
        self,
        queue: AdmissionQueue,
        ticket: int,
        demand: Demand,
    ) -> QueuedRequest:
        now = asyncio.get_running_loop().time()
        slots = self._watch.slots(demand.request.service)
        patience_s = QUEUE_SHARE * (demand.deadline - now)
        if slots == 0:
            patience_s = min(patience_s, NO_TARGET_WAIT_S)
        waiting = QueuedRequest(
            ticket, demand.request.priority, now + patience_s
        )
        match queue.offer(waiting, now=now, slots=slots):
            case Success(QueuedRequest(ticket=given_up)):
                self._give_up(given_up, 'requests of higher priority came')
            case Failed(Failure() as failure):
                raise FailureError(failure)
        return waiting

    async def _wait(
        self,
        future: asyncio.Future[Place],
        waiting: QueuedRequest,
    ) -> Place:
        try:
            async with asyncio.timeout_at(waiting.deadline):
                return await future
        except BaseException as error:
            if _has_place(future):
                # It was given in the moment in which the request left.
                self.leave(future.result())
            if not isinstance(error, TimeoutError):
                raise
        raise FailureError(no_capacity('no target had a free slot in time'))

    def _try_place(self, demand: Demand) -> Place | None:
        self._turn += 1
        candidates: list[Candidate] = [
            candidate
            for candidate in self._watch.candidates(demand.request.service)
            if candidate.sidecar not in demand.excluded
        ]
        situation = PlacementContext(
            self._data_centre,
            demand.request.prefixes,
            self._turn,
            self._random,
        )
        policy = self._configuration.current.policy.placement_policy
        choice = choose(policy, candidates, situation)
        if isinstance(choice, Success):
            return self._take(choice.unwrap(), demand.request)
        return None

    def _take(self, chosen: Candidate, request: CallerRequest) -> Place:
        ticket = self._watch.begin(
            chosen.sidecar,
            prompt=request.prompt_bound,
            cap=request.cap,
        )
        return Place(
            chosen.sidecar,
            chosen.target,
            request.service,
            ticket,
            asyncio.get_running_loop().time(),
        )

    def _serve_all(self) -> None:
        for service, queue in self._queues_by_service.items():
            if len(queue):
                self._serve(service, queue)

    def _serve(self, service: str, queue: AdmissionQueue) -> None:
        for waiting in queue.in_order():
            candidates = self._watch.candidates(service)
            if not any(map(has_free_slot, candidates)):
                break
            place = self._try_place(self._demands[waiting.ticket])
            if place is not None:
                queue.remove(waiting.ticket)
                self._futures[waiting.ticket].set_result(place)
        now = asyncio.get_running_loop().time()
        slots = self._watch.slots(service)
        for late in queue.too_late(now=now, slots=slots):
            queue.remove(late.ticket)
            self._give_up(late.ticket, 'the wait would pass the deadline')

    def _forget(self, ticket: int) -> None:
        self._demands.pop(ticket)
        self._futures.pop(ticket)

    def _give_up(self, ticket: int, text: str) -> None:
        future = self._futures.get(ticket)
        if future is not None and not future.done():
            future.set_exception(FailureError(no_capacity(text)))


def _has_place(future: asyncio.Future[Place]) -> bool:
    if not future.done() or future.cancelled():
        return False
    return future.exception() is None
