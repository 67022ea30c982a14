"""The router process: serves callers and answers its peers."""

import asyncio
import random
from collections.abc import AsyncIterator
from typing import NamedTuple

from dandelioncleat.app.budgets import Budgets
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.home_finder import HomeFinder
from dandelioncleat.app.host_watch import HostWatch
from dandelioncleat.app.load_watch import LoadWatch
from dandelioncleat.app.peer_message_handler import PeerMessageHandler
from dandelioncleat.app.placement_queue import PlacementQueue
from dandelioncleat.app.request_parts import RequestParts
from dandelioncleat.app.router_life import RouterLife
from dandelioncleat.app.serving import Serving
from dandelioncleat.app.settlement import Settlement
from dandelioncleat.app.task_set import TaskSet
from dandelioncleat.core.message import Message, Status
from dandelioncleat.core.record import End, Join, Leave
from dandelioncleat.core.request import (
    AnswerEvent,
    CallerRequest,
)
from dandelioncleat.core.retry import RetryBudget
from dandelioncleat.ports.host_list import HostList
from dandelioncleat.ports.peer import CallContext, Peers
from dandelioncleat.ports.telemetry import Telemetry


class StopReport(NamedTuple):
    """What a planned stop could not finish in time."""

    open_requests: int
    open_tasks: int
    is_ended: bool

    @property
    def text(self) -> str:
        """Describe what was lost; empty if everything was finished."""
        if self.is_ended:
            return ''
        return (
            f'{self.open_requests} open requests, {self.open_tasks} '
            'unfinished settlements; the granted tokens stay with this '
            'router until it is retired'
        )


class Router:
    """Serves requests of callers and messages of other processes."""

    def __init__(
        self,
        parts: RequestParts,
        *,
        hosts: HostWatch,
        fleet: FleetKeeper,
        tasks: TaskSet,
        join: Join,
    ) -> None:
        """Take the components; ``new_router`` creates them."""
        self.life = RouterLife()
        self.watch = parts.watch
        self.incarnation = parts.incarnation
        self._parts = parts
        self._hosts = hosts
        self._fleet = fleet
        self._tasks = tasks
        self._join = join
        self._serving = Serving(self.life, parts)
        self._message_handler = PeerMessageHandler(self.life, parts)

    @property
    def ready(self) -> bool:
        """Return whether new requests are served."""
        return self._serving.ready

    @property
    def obstacle(self) -> str:
        """Describe why new requests are not served; empty if they are."""
        return self._serving.obstacle

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are being served."""
        return self._serving.open_requests

    @property
    def status(self) -> Status:
        """Return the reply to ``AskStatus``."""
        return self._message_handler.status()

    def serve(
        self,
        request: CallerRequest,
        *,
        traceparent: str = '',
    ) -> AsyncIterator[AnswerEvent]:
        """Yield the pieces of the answer, then its ``AnswerEnd``.

        If the caller disconnects, closing the iterator cancels the run.
        """
        return self._serving.serve(request, traceparent=traceparent)

    def answer(
        self,
        message: Message,
        context: CallContext,
    ) -> AsyncIterator[Message]:
        """Answer a message of another process."""
        return self._message_handler.answer(message, context)

    async def run(self) -> None:
        """Join the fleet, then follow loads and hosts until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._become_ready())
            group.create_task(self._parts.watch.run())

    async def stop(self, *, limit_s: float) -> StopReport:
        """Finish open requests, return the grants and leave the fleet.

        :param limit_s: time in seconds after which open work is abandoned
        """
        was_ready = self.life.takes_requests
        self.life.move('stop')
        is_ended = False
        try:
            async with asyncio.timeout(limit_s):
                await self._shut_down(was_ready)
                is_ended = True
        except TimeoutError:
            self._parts.telemetry.count('router.stops_cut')
        report = self.report(is_ended=is_ended)
        await self._tasks.cancel()
        self.life.move('end')
        return report

    def report(self, *, is_ended: bool) -> StopReport:
        """Report what is open after a stop that ended or timed out."""
        return StopReport(self.open_requests, len(self._tasks), is_ended)

    async def _shut_down(self, was_ready: bool) -> None:
        if was_ready:
            self._tasks.start(self._fleet.submit(Leave(self.incarnation)))
        await self._serving.idle.wait()
        await self._tasks.drain()
        await self._parts.budgets.return_all()
        if was_ready:
            await self._fleet.submit(End(self.incarnation))

    async def _become_ready(self) -> None:
        await self._parts.configuration.caught_up.wait()
        await self._fleet.caught_up.wait()
        await self._fleet.submit(self._join)
        self.life.move('become_ready')


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
    placement = PlacementQueue(
        data_centre=join.data_centre,
        configuration=configuration,
        watch=watch,
        source=source,
    )
    parts = RequestParts(
        incarnation=incarnation,
        peers=peers,
        budgets=budgets,
        configuration=configuration,
        watch=watch,
        placement=placement,
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
