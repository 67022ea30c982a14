"""Queues requests until a target has a free slot."""

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

MAX_WAIT_SHARE = 0.5
NO_TARGET_WAIT_S = 3.0


class TargetSlot(NamedTuple):
    """A slot at a target that a request holds until it is released."""

    sidecar: Incarnation
    target: str
    service: str
    ticket: int
    acquired_at: float


class PlacementRequest(NamedTuple):
    """A request that needs a slot, and the sidecars to exclude.

    ``deadline`` is a time of the event loop in seconds.
    """

    request: CallerRequest
    deadline: float
    excluded: tuple[Incarnation, ...]


class PlacementQueue:
    """Places requests on targets; those that find no slot are queued."""

    def __init__(
        self,
        *,
        data_centre: str,
        configuration: ConfigurationKeeper,
        watch: LoadWatch,
        source: random.Random,
    ) -> None:
        """Take the router's data centre, configuration and target loads."""
        self._data_centre = data_centre
        self._configuration = configuration
        self._watch = watch
        self._random = source
        self._queues_by_service: dict[str, AdmissionQueue] = {}
        self._requests: dict[int, PlacementRequest] = {}
        self._futures: dict[int, asyncio.Future[TargetSlot]] = {}
        self._ticket_count = 0
        self._decision_count = 0
        watch.on_change(self._serve_queues)

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._futures)

    async def acquire(self, placement: PlacementRequest) -> TargetSlot:
        """Return a slot at a target; wait in the queue if none is free.

        :raises FailureError: if no slot becomes free in time
        """
        service = placement.request.service
        queue = self._queue(service)
        if len(queue) == 0:
            slot = self._try_acquire(placement)
            if slot is not None:
                return slot
        self._ticket_count += 1
        waiting = self._enqueue(queue, self._ticket_count, placement)
        future: asyncio.Future[TargetSlot] = (
            asyncio.get_running_loop().create_future()
        )
        self._requests[waiting.ticket] = placement
        self._futures[waiting.ticket] = future
        try:
            self._serve_queue(service, queue)
            return await self._wait(future, waiting)
        finally:
            queue.remove(waiting.ticket)
            self._forget(waiting.ticket)

    def release(self, slot: TargetSlot) -> None:
        """Release a slot."""
        now = asyncio.get_running_loop().time()
        queue = self._queue(slot.service)
        queue.note_service_time(now - slot.acquired_at)
        self._watch.end(slot.sidecar, slot.ticket)

    def retry_after_s(self, service: str) -> float:
        """Return how long a refused request should wait before a retry."""
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
        placement: PlacementRequest,
    ) -> QueuedRequest:
        now = asyncio.get_running_loop().time()
        slots = self._watch.slots(placement.request.service)
        max_wait_s = MAX_WAIT_SHARE * (placement.deadline - now)
        if slots == 0:
            max_wait_s = min(max_wait_s, NO_TARGET_WAIT_S)
        waiting = QueuedRequest(
            ticket, placement.request.priority, now + max_wait_s
        )
        match queue.offer(waiting, now=now, slots=slots):
            case Success(QueuedRequest(ticket=evicted)):
                self._refuse(
                    evicted, 'displaced by a request of higher priority'
                )
            case Failed(Failure() as failure):
                raise FailureError(failure)
        return waiting

    async def _wait(
        self,
        future: asyncio.Future[TargetSlot],
        waiting: QueuedRequest,
    ) -> TargetSlot:
        try:
            async with asyncio.timeout_at(waiting.deadline):
                return await future
        except BaseException as error:
            if _has_slot(future):
                # The slot was assigned just as the wait ended.
                self.release(future.result())
            if not isinstance(error, TimeoutError):
                raise
        raise FailureError(no_capacity('no target had a free slot in time'))

    def _try_acquire(self, placement: PlacementRequest) -> TargetSlot | None:
        self._decision_count += 1
        candidates: list[Candidate] = [
            candidate
            for candidate in self._watch.candidates(placement.request.service)
            if candidate.sidecar not in placement.excluded
        ]
        context = PlacementContext(
            self._data_centre,
            placement.request.prefixes,
            self._decision_count,
            self._random,
        )
        policy = self._configuration.current.policy.placement_policy
        choice = choose(policy, candidates, context)
        if isinstance(choice, Success):
            return self._reserve(choice.unwrap(), placement.request)
        return None

    def _reserve(self, chosen: Candidate, request: CallerRequest) -> TargetSlot:
        ticket = self._watch.begin(
            chosen.sidecar,
            prompt=request.prompt_bound,
            cap=request.cap,
        )
        return TargetSlot(
            chosen.sidecar,
            chosen.target,
            request.service,
            ticket,
            asyncio.get_running_loop().time(),
        )

    def _serve_queues(self) -> None:
        for service, queue in self._queues_by_service.items():
            if len(queue):
                self._serve_queue(service, queue)

    def _serve_queue(self, service: str, queue: AdmissionQueue) -> None:
        for waiting in queue.in_order():
            candidates = self._watch.candidates(service)
            if not any(map(has_free_slot, candidates)):
                break
            slot = self._try_acquire(self._requests[waiting.ticket])
            if slot is not None:
                queue.remove(waiting.ticket)
                self._futures[waiting.ticket].set_result(slot)
        now = asyncio.get_running_loop().time()
        slots = self._watch.slots(service)
        for expired in queue.too_late(now=now, slots=slots):
            queue.remove(expired.ticket)
            self._refuse(expired.ticket, 'the wait would pass the deadline')

    def _forget(self, ticket: int) -> None:
        self._requests.pop(ticket)
        self._futures.pop(ticket)

    def _refuse(self, ticket: int, text: str) -> None:
        future = self._futures.get(ticket)
        if future is not None and not future.done():
            future.set_exception(FailureError(no_capacity(text)))


def _has_slot(future: asyncio.Future[TargetSlot]) -> bool:
    if not future.done() or future.cancelled():
        return False
    return future.exception() is None
