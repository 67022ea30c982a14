"""Connects the components of a direct router."""

import asyncio
import random
import socket
from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple

import structlog
from aiohttp import web

from dandelioncleat.adapters.bounded_server import BoundedRequestHandler
from dandelioncleat.adapters.connection_bound import ConnectionBound
from dandelioncleat.adapters.connection_memory import new_connection_memory
from dandelioncleat.adapters.listening import start_server
from dandelioncleat.adapters.system_clock import SystemClock
from dandelioncleat.app.direct.admission import Admission
from dandelioncleat.app.direct.cache_watch import CacheWatch
from dandelioncleat.app.direct.clock_check import ClockCheck
from dandelioncleat.app.direct.crash_quarantine import CrashQuarantine
from dandelioncleat.app.direct.deployment_watch import DeploymentWatch
from dandelioncleat.app.direct.evacuations import Evacuations, presume_cold
from dandelioncleat.app.direct.failover_store import FailoverStore
from dandelioncleat.app.direct.forwarding import Forwarding
from dandelioncleat.app.direct.gateway_store import GatewayStore
from dandelioncleat.app.direct.listed_targets import ListedTargets
from dandelioncleat.app.direct.open_targets import OpenTargets
from dandelioncleat.app.direct.placement import Placement
from dandelioncleat.app.direct.process_directory import (
    ProcessAnnouncement,
    ProcessDirectory,
    ProcessEntry,
    ProcessRole,
)
from dandelioncleat.app.direct.retry_budget import RetryBudget
from dandelioncleat.app.direct.serving import (
    NOTHING_ADMITTED,
    Serving,
    StopTimes,
)
from dandelioncleat.app.direct.serving_parts import ServingParts
from dandelioncleat.app.direct.stream_origins import StreamOrigins
from dandelioncleat.app.direct.target_directory import TargetDirectory
from dandelioncleat.app.direct.target_limits import TargetLimits
from dandelioncleat.app.direct.topic_follower import (
    SHORT_READ_WAIT_S,
    TopicChange,
    TopicFollower,
)
from dandelioncleat.app.direct.topic_gauges import TopicGauges
from dandelioncleat.app.direct.wallet import Wallet
from dandelioncleat.app.event_wait import wait_at_most
from dandelioncleat.app.router_life import RouterLife
from dandelioncleat.core.clock_check import ClockEvidence
from dandelioncleat.core.deployment import CallerLimits, Deployment
from dandelioncleat.core.gateway_choice import GatewayChoice
from dandelioncleat.core.held_bytes import HeldBytes
from dandelioncleat.core.host_choice import HostChoice
from dandelioncleat.core.retry_window import RetryLimits
from dandelioncleat.daemons.direct_peers import new_peers
from dandelioncleat.daemons.direct_settings import DirectSettings
from dandelioncleat.platform import names
from dandelioncleat.platform.cache_events import HttpCacheEvents
from dandelioncleat.platform.caller_server import (
    new_caller_server,
    stop_reading,
)
from dandelioncleat.platform.callers import DEFAULT_LIMITS, CallerHandler
from dandelioncleat.platform.documents import (
    decode_deployment,
    decode_evacuation,
    decode_target,
)
from dandelioncleat.platform.sockets import (
    USER_TIMEOUT_S,
    enable_keepalive,
    limit_unread,
)
from dandelioncleat.platform.status_page import StatusPage
from dandelioncleat.platform.store import PlatformStore, new_store_session
from dandelioncleat.platform.targets import HttpTargets
from dandelioncleat.ports.telemetry import Telemetry

STORE_CONNECT_TIMEOUT_S = 1.0
# The load balancer keeps sending connections until it notices the stop.
ACCEPT_DURATION_S = 2.5
# Part of the stop limit that is kept for returning tokens and exiting.
STOP_RESERVE_S = 1.2
TOKEN_RETURN_TIMEOUT_S = 0.5
# aiohttp treats 0 as no limit.
SHUTDOWN_TIMEOUT_S = 0.05
# Requests that were just read are refused within this time.
LAST_ANSWERS_S = 0.05
# Time to answer the requests that outlast a planned stop.
END_ANSWERS_LIMIT_S = 0.1
# A stop looks this often whether callers have read their answers.
UNSENT_CHECK_S = 0.02

_logger = structlog.get_logger(__name__)


class Sockets(NamedTuple):
    """The listening sockets.

    Only one process can bind the callers' address, so binding it proves
    that the host's earlier process is dead.
    """

    callers: socket.socket
    ready: socket.socket
    metrics: socket.socket


class DirectRouter:
    """Serves callers until it is stopped."""

    def __init__(
        self,
        settings: DirectSettings,
        *,
        sockets: Sockets,
        telemetry: Telemetry,
        status_page: StatusPage,
    ) -> None:
        """Connect the components; needs a running event loop."""
        self._settings = settings
        self._sockets = sockets
        self._life = RouterLife()
        self._status_page = status_page
        self._limits = DEFAULT_LIMITS
        self._session = new_store_session(
            connect_timeout_s=STORE_CONNECT_TIMEOUT_S
        )
        self._peers = new_peers(settings)
        store = FailoverStore(
            PlatformStore(self._session, settings.store),
            GatewayStore(
                self._peers,
                GatewayChoice(
                    host=settings.host, data_centre=settings.data_centre
                ),
                gateways=lambda: self._processes.gateways,
            ),
        )
        self._targets = HttpTargets()
        self._host_choice = HostChoice()
        clock_evidence = ClockEvidence()
        self._wallet = Wallet(
            store,
            host=settings.host,
            clock=SystemClock(),
            copy_age_s=settings.store_copy_age_s,
            holders=self._host_choice,
            clock_evidence=clock_evidence,
        )
        entry = ProcessEntry(
            ProcessRole.ROUTER,
            settings.host,
            settings.data_centre,
            settings.listen.callers,
            settings.usable_cores,
        )
        self._retries = RetryBudget(_retry_limits(settings))
        self._clock_check = ClockCheck(
            self._peers,
            clock_evidence,
            host=settings.host,
            clock=SystemClock(),
            # Only few holders may use much while the store is away.
            gateways=lambda: (
                self._processes.gateways
                if self._host_choice.is_selective
                else ()
            ),
        )
        self._announcement = ProcessAnnouncement(
            store, entry, on_join=self._retries.join
        )
        self._processes = ProcessDirectory(
            store,
            entry,
            configured_gateways=settings.gateways,
            on_change=lambda: _share_among_routers(
                self._processes, self._host_choice, self._retries
            ),
            on_own_lost=self._announcement.renew,
        )
        self._deployment = DeploymentWatch(
            decode_deployment,
            key=names.CONFIGURATION_KEY,
            on_change=self._apply_deployment,
        )
        self._evacuations = Evacuations(
            decode_evacuation,
            prefix=names.EVACUATION_PREFIX,
            on_end=lambda data_centre: presume_cold(
                self._directory.states, data_centre
            ),
            telemetry=telemetry,
        )
        self.configuration_topic = TopicFollower(
            store,
            names.OPERATOR_TOPIC,
            # A router that has just started takes requests once it knows the
            # configuration, and must know the evacuations by then.
            on_change=partial(
                _apply_to_all, (self._evacuations.apply, self._deployment.apply)
            ),
            read_wait_s=SHORT_READ_WAIT_S,
            clock=SystemClock().elapsed,
        )
        self._admission = Admission(self._deployment, self.configuration_topic)
        self._directory = TargetDirectory(
            decode_target,
            silence_s=lambda: self._targets_topic.silence_s,
            on_entry=lambda entry: self._quarantine.note_entry(entry),
            is_evacuated=self._evacuations.includes,
        )
        self._targets_topic = TopicFollower(
            store,
            names.TARGETS_TOPIC,
            on_change=self._directory.apply,
            read_wait_s=SHORT_READ_WAIT_S,
            clock=SystemClock().elapsed,
        )
        self._target_limits = TargetLimits(
            store,
            host=settings.host,
            fleet=self._host_choice,
            listed_starts=lambda: {
                state.entry.start for state in self._directory.states
            },
        )
        self._cache_watch = CacheWatch(
            self._directory,
            HttpCacheEvents(self._session),
            source=random.Random(settings.host),
            is_poller=lambda target: self._host_choice.includes(
                target, settings.host
            ),
            limits=self._target_limits,
            on_broken=lambda entry: self._quarantine.note_unreachable(entry),
        )
        self._open_targets = OpenTargets(self._directory, self._target_limits)
        self._placement = Placement(
            self._directory,
            topic=self._targets_topic,
            open_targets=self._open_targets,
            data_centre=settings.data_centre,
        )
        self._quarantine = CrashQuarantine(
            store,
            self._targets,
            host=settings.host,
            clock=SystemClock(),
            cores_by_host=lambda: self._processes.cores_by_router_host,
            listed=ListedTargets(self._directory),
        )
        self._origins = StreamOrigins(
            store, host=settings.host, clock=SystemClock()
        )
        self._serving = Serving(
            ServingParts(
                self._admission,
                self._wallet,
                self._placement,
                self._open_targets,
                self._retries,
                self._targets,
                Forwarding(
                    self._processes,
                    admission=self._admission,
                    wallet=self._wallet,
                    targets=self._targets,
                    directory=self._directory,
                ),
                self._quarantine,
                self._origins,
                self._target_limits,
                telemetry,
                HeldBytes(settings.memory_mb),
                settings.hedging.share,
            )
        )
        self.callers = CallerHandler(
            self._serving,
            limits=lambda: self._limits,
            request_bytes=HeldBytes(settings.memory_mb),
            is_stopping=lambda: self._life.state == 'stopping',
        )
        topics = (
            self.configuration_topic,
            self._targets_topic,
            self._processes.topic,
        )
        self._gauges = TopicGauges(
            {topic.topic: topic for topic in topics}, telemetry=telemetry
        )
        self._memory = new_connection_memory(settings.memory_mb, telemetry)
        self._caller_bound = ConnectionBound(
            'callers', most=settings.caller_connections, telemetry=telemetry
        )
        self._new_caller_server = partial(
            new_caller_server,
            self.callers,
            bound=self._caller_bound,
            memory=self._memory,
        )
        self._server = self._new_caller_server(DEFAULT_LIMITS)
        self._servers: list[web.Server] = [self._server]
        self._listener: asyncio.Server | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether the router should get new connections."""
        return self._life.takes_requests

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 without one."""
        current = self._deployment.current
        return 0 if current is None else current.version

    def target_count(self, service: str) -> int:
        """Return the number of a service's targets that take new work."""
        return len(self._directory.available(service))

    async def run(self) -> None:
        """Listen and run every task until cancelled."""
        await self._listen()
        tasks = (
            self.configuration_topic.run(),
            self._targets_topic.run(),
            self._processes.run(),
            self._announcement.run(),
            self._cache_watch.run(),
            self._quarantine.run(),
            self._origins.run(),
            self._target_limits.run(),
            self._wallet.run(),
            self._clock_check.run(),
            self._gauges.run(),
            self._become_ready(),
        )
        async with asyncio.TaskGroup() as group:
            for task in tasks:
                group.create_task(task)

    async def stop(
        self, *, limit_s: float, accept_s: float = ACCEPT_DURATION_S
    ) -> str:
        """Finish open requests and return tokens; return what was lost.

        :param limit_s: time after which the rest is abandoned, in seconds
        :param accept_s: time in which every request is still served
        """
        self._life.move('stop')
        now = asyncio.get_running_loop().time()
        end_at = now + limit_s - STOP_RESERVE_S
        self._serving.begin_stop(StopTimes(now + accept_s, end_at))
        self._wallet.prepare_close()
        self._retries.leave()
        leaving = asyncio.create_task(self._announcement.leave())
        lost = [
            await self._finish_requests(end_at),
            await self._return_tokens(leaving),
        ]
        return ', '.join(text for text in lost if text)

    def losses(self) -> str:
        """Return what would be lost if the process ended now."""
        open_ids = sorted(self._serving.open_requests.ids)
        return f'open requests: {open_ids}' if open_ids else ''

    async def close(self) -> None:
        """Answer the requests that were read, and close every connection."""
        await _end_requests(self._serving)
        if self._listener is not None:
            self._listener.close()
        for reading in self._servers:
            stop_reading(reading)
        await asyncio.sleep(LAST_ANSWERS_S)
        for server in self._servers:
            await server.shutdown(SHUTDOWN_TIMEOUT_S)
        await self._status_page.stop()
        for client in (self._targets, self._peers, self._session):
            await client.close()

    def reload(self, settings: DirectSettings) -> None:
        """Apply new settings; addresses change at the next start only."""
        self._settings = settings
        self._retries.set_terms(_retry_limits(settings))
        self._serving.hedging.set_share(settings.hedging.share)

    async def _finish_requests(self, end_at: float) -> str:
        lost = ''
        try:
            async with asyncio.timeout_at(end_at):
                await self.callers.taken.idle.wait()
                await self._serving.open_requests.idle.wait()
                await _all_sent(self._servers)
        except TimeoutError:
            lost = self.losses()
        await _end_requests(self._serving)
        _logger.info('requests finished', lost=lost)
        return lost

    async def _return_tokens(self, leaving: asyncio.Task[None]) -> str:
        try:
            async with asyncio.timeout(TOKEN_RETURN_TIMEOUT_S):
                await leaving
                await self._wallet.close()
        except TimeoutError:
            return 'tokens that were not returned'
        return ''

    async def _listen(self) -> None:
        for sock in self._sockets:
            enable_keepalive(sock)
        _limit_unread(self._sockets.callers, self._limits)
        self._listener = await start_server(
            lambda: self._server(), self._sockets.callers
        )
        await self._status_page.start(
            (self._sockets.ready, self._sockets.metrics),
            memory=self._memory,
            is_ready=lambda: self.is_ready,
        )

    async def _become_ready(self) -> None:
        await self._deployment.loaded.wait()
        await self._wallet.opened.wait()
        self._life.move('become_ready')
        _logger.info('ready')

    def _apply_deployment(self, deployment: Deployment) -> None:
        self._directory.set_services(deployment.services_by_name)
        self._wallet.set_paid(
            {
                organisation.name: organisation.prepaid
                for organisation in deployment.organisations_by_name.values()
                if organisation.prepaid is not None
            }
        )
        if deployment.limits != self._limits:
            self._limits = deployment.limits
            _limit_unread(self._sockets.callers, deployment.limits)
            self._server = self._new_caller_server(deployment.limits)
            self._servers.append(self._server)


def _limit_unread(callers: socket.socket, limits: CallerLimits) -> None:
    """Let callers be as slow in reading as in sending."""
    limit_unread(callers, max(limits.idle_s, USER_TIMEOUT_S))


async def _end_requests(serving: Serving) -> None:
    """Give the open requests their last answers, and begin no other.

    The exit would interrupt any request that arrives from now on.
    """
    serving.begin_stop(NOTHING_ADMITTED)
    serving.open_requests.end_all()
    await wait_at_most(serving.open_requests.idle, END_ANSWERS_LIMIT_S)


async def _all_sent(servers: Iterable[web.Server]) -> None:
    """Wait until all answers have left the process.

    The end of one may still be here when its request is not open any more.
    """
    unsent = True
    while unsent:
        unsent = any(
            connection.has_unsent
            for server in servers
            for connection in server.connections
            if isinstance(connection, BoundedRequestHandler)
        )
        await asyncio.sleep(UNSENT_CHECK_S if unsent else 0)


def _share_among_routers(
    processes: ProcessDirectory, host_choice: HostChoice, retries: RetryBudget
) -> None:
    host_choice.set_hosts(processes.cores_by_router_host)
    retries.set_routers(processes.router_count)


def _apply_to_all(
    appliers: Iterable[Callable[[TopicChange], None]], change: TopicChange
) -> None:
    for apply in appliers:
        apply(change)


def _retry_limits(settings: DirectSettings) -> RetryLimits:
    retries = settings.retries
    return RetryLimits(retries.ratio, retries.slack, retries.window_s)
