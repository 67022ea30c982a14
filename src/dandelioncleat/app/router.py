"""The process of an entry host: serves callers and answers its peers."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import NamedTuple

from dandelioncleat.app.answering import Answering
from dandelioncleat.app.budgets import Budgets
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.course import Course
from dandelioncleat.app.dispatching import Dispatcher
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.gate import Gate
from dandelioncleat.app.home_finder import HomeFinder
from dandelioncleat.app.host_watch import HostWatch
from dandelioncleat.app.load_watch import LoadWatch
from dandelioncleat.app.parts import Parts
from dandelioncleat.app.router_life import RouterLife
from dandelioncleat.app.settlement import Settlement
from dandelioncleat.app.task_set import TaskSet
from dandelioncleat.core.admission import RunningCounts
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.message import Message
from dandelioncleat.core.record import End, Join, Leave
from dandelioncleat.core.request import (
    AnswerEvent,
    CallerRequest,
)
from dandelioncleat.core.retry import RetryBudget
from dandelioncleat.ports.host_list import HostList
from dandelioncleat.ports.peer import CallContext, Peers
from dandelioncleat.ports.telemetry import Telemetry

CONFIGURATION_WAIT_S = 2.0


class StopReport(NamedTuple):
    """What a planned stop could not finish in time."""

    open_requests: int
    open_tasks: int
    is_ended: bool


class Router:
    """Serves requests of callers and messages of other processes."""

    def __init__(
        self,
        parts: Parts,
        *,
        hosts: HostWatch,
        fleet: FleetKeeper,
        tasks: TaskSet,
        join: Join,
    ) -> None:
        """Take the parts; ``new_router`` makes them."""
        self.life = RouterLife()
        self.incarnation = parts.incarnation
        self.open_requests = 0
        self._parts = parts
        self._hosts = hosts
        self._fleet = fleet
        self._tasks = tasks
        self._join = join
        self._dispatcher = Dispatcher(parts)
        self._running = RunningCounts()
        self._answering = Answering(self.life, parts)
        self._is_idle = asyncio.Event()
        self._is_idle.set()

    @property
    def ready(self) -> bool:
        """Return whether new requests are served."""
        return self.life.takes_requests and self._parts.configuration.ready

    async def serve(
        self,
        request: CallerRequest,
        *,
        traceparent: str = '',
    ) -> AsyncIterator[AnswerEvent]:
        """Yield the answer's pieces and at last its ``AnswerEnd``.

        A caller that leaves closes the iterator; its run is cancelled.
        """
        now = asyncio.get_running_loop().time()
        self._parts.telemetry.count('router.requests', service=request.service)
        with self._parts.telemetry.span(
            'router.request',
            traceparent=traceparent,
            service=request.service,
        ) as context:
            course = Course(
                request,
                deadline=now + request.deadline_s,
                traceparent=context,
            )
            self._open()
            try:
                async for event in self._serve(course):
                    yield event
            finally:
                self._close(course)

    def answer(
        self,
        message: Message,
        context: CallContext,
    ) -> AsyncIterator[Message]:
        """Answer a message of another process."""
        return self._answering.answer(message, context)

    async def run(self) -> None:
        """Join the fleet, then follow loads and hosts until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._become_ready())
            group.create_task(self._parts.watch.run())

    async def stop(self, *, limit_s: float) -> StopReport:
        """Finish what is open, give the grants back and leave the fleet.

        :param limit_s: time after which the rest is given up, in seconds
        """
        was_ready = self.life.takes_requests
        self.life.move('stop')
        is_ended = False
        try:
            async with asyncio.timeout(limit_s):
                await self._wind_down(was_ready)
                is_ended = True
        except TimeoutError:
            self._parts.telemetry.count('router.stops_cut')
        report = StopReport(self.open_requests, len(self._tasks), is_ended)
        await self._tasks.cancel()
        self.life.move('end')
        return report

    async def _wind_down(self, was_ready: bool) -> None:
        if was_ready:
            self._tasks.start(self._fleet.submit(Leave(self.incarnation)))
        await self._is_idle.wait()
        await self._tasks.drain()
        await self._parts.budgets.return_all()
        if was_ready:
            await self._fleet.submit(End(self.incarnation))

    async def _become_ready(self) -> None:
        await self._parts.configuration.caught_up.wait()
        await self._fleet.caught_up.wait()
        await self._fleet.submit(self._join)
        self.life.move('become_ready')

    async def _serve(self, course: Course) -> AsyncIterator[AnswerEvent]:
        if self.life.takes_requests:
            await self._parts.configuration.wait_ready(CONFIGURATION_WAIT_S)
        objection = self._objection(course.request)
        organisation = course.request.request.organisation
        if objection is None:
            self._running.begin(organisation)
            policy = self._parts.configuration.current.policy
            self._parts.retries.note_request(policy.retry_share)
        pieces = self._dispatcher.serve(course, objection)
        try:
            async with aclosing(pieces):  # type: ignore[type-var]
                async for piece in pieces:
                    yield piece
        finally:
            if objection is None:
                self._running.end(organisation)
        if course.end_event is not None:
            yield course.end_event

    def _objection(self, request: CallerRequest) -> Failure | None:
        """Return why a new run is not wanted, if so."""
        current = self._parts.configuration.current
        name = request.request.organisation
        organisation = current.organisations_by_name.get(name)
        if not self.ready:
            return self._failure(Code.NOT_READY, self._readiness_text())
        if organisation is None:
            return self._failure(Code.CREDENTIAL, 'no such organisation')
        if request.service not in current.services_by_name:
            return self._failure(Code.NOT_FOUND, 'no such service')
        if organisation.services and (
            request.service not in organisation.services
        ):
            return self._failure(Code.NOT_FOUND, 'the service is not open')
        if self._running.is_at_limit(name, organisation.max_running):
            return self._failure(Code.CAPACITY, 'too many requests run')
        return None

    def _readiness_text(self) -> str:
        if self.life.takes_requests:
            return 'a newer configuration is being read'
        state = self.life.state
        return f'the router is {state}'

    def _failure(self, code: Code, text: str) -> Failure:
        return Failure(code, 'router', self.incarnation, text)

    def _open(self) -> None:
        self.open_requests += 1
        self._is_idle.clear()

    def _close(self, course: Course) -> None:
        course.close()
        self.open_requests -= 1
        if self.open_requests == 0:
            self._is_idle.set()
        end = course.end_event
        outcome = 'gone' if end is None else end.outcome
        code = '' if end is None or end.failure is None else end.failure.code
        telemetry = self._parts.telemetry
        telemetry.count('router.answers', outcome=outcome, code=code)


def new_router(
    *,
    join: Join,
    host_list: HostList,
    peers: Peers,
    configuration: ConfigurationKeeper,
    fleet: FleetKeeper,
    budgets: Budgets,
    telemetry: Telemetry,
    source: random.Random,
) -> Router:
    """Return a router that has yet to join the fleet.

    :param join: the router's announcement, with its role and address
    :param source: the source of random choices
    """
    incarnation = join.incarnation
    hosts = HostWatch(host_list)
    watch = LoadWatch(
        incarnation=incarnation,
        peers=peers,
        fleet=fleet,
        configuration=configuration,
        hosts=hosts,
        source=source,
    )
    tasks = TaskSet(
        lambda failure: telemetry.count(
            'router.background_failures',
            code=failure.code,
        ),
    )
    settlement = Settlement(
        incarnation=incarnation,
        budgets=budgets,
        watch=watch,
        peers=peers,
        tasks=tasks,
        telemetry=telemetry,
        source=source,
    )
    homes = HomeFinder(
        peers=peers,
        fleet=fleet,
        configuration=configuration,
        source=source,
    )
    gate = Gate(
        data_centre=join.data_centre,
        configuration=configuration,
        watch=watch,
        source=source,
    )
    parts = Parts(
        incarnation=incarnation,
        peers=peers,
        budgets=budgets,
        configuration=configuration,
        watch=watch,
        gate=gate,
        homes=homes,
        retries=RetryBudget(),
        settlement=settlement,
        telemetry=telemetry,
        random=source,
    )
    return Router(
        parts,
        hosts=hosts,
        fleet=fleet,
        tasks=tasks,
        join=join,
    )
