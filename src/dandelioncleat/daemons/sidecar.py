"""The sidecar daemon, which runs next to one target."""

import asyncio

import structlog
from aiohttp import ClientSession, web

from dandelioncleat.adapters.client_session import new_client_session
from dandelioncleat.adapters.connection_memory import new_connection_memory
from dandelioncleat.adapters.http_host_list import HttpHostList
from dandelioncleat.adapters.http_model_target import HttpModelTarget
from dandelioncleat.adapters.http_plain_target import HttpPlainTarget
from dandelioncleat.adapters.telemetry import OtelTelemetry
from dandelioncleat.app.bill_relay import BillRelayClient
from dandelioncleat.app.billing import BillSender
from dandelioncleat.app.process_gauges import ProcessGauges
from dandelioncleat.app.relay_handler import live_routers, new_relay_handler
from dandelioncleat.app.sidecar import Sidecar, new_sidecar
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.daemons.http_server import HttpServer
from dandelioncleat.daemons.settings import SidecarSettings, SidecarTarget
from dandelioncleat.daemons.shared_parts import SharedParts, new_shared_parts
from dandelioncleat.ports.target import TargetClient

HEALTH_PATH = '/healthz'
READY_PATH = '/readyz'
METRICS_PATH = '/metrics'

_logger = structlog.get_logger(__name__)


class SidecarDaemon:
    """A sidecar process with its server."""

    def __init__(
        self,
        sidecar: Sidecar,
        *,
        settings: SidecarSettings,
        shared: SharedParts,
        bills: BillSender,
        session: ClientSession,
        telemetry: OtelTelemetry,
        gauges: ProcessGauges,
        peers: HttpServer,
    ) -> None:
        """Take the connected components from ``new_sidecar_daemon``."""
        self.sidecar = sidecar
        self._settings = settings
        self.peers = peers
        self.shared = shared
        self._bills = bills
        self._session = session
        self._telemetry = telemetry
        self._gauges = gauges

    async def run(self) -> None:
        """Listen and run every task until cancelled."""
        await self.peers.start(
            self._application(),
            memory=new_connection_memory(
                self._settings.limits.memory_mb, self._telemetry
            ),
            most_connections=self._settings.most_connections,
        )
        _logger.info('listening', peers=self.peers.text)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.shared.configuration.run())
            group.create_task(self.shared.fleet.run())
            group.create_task(self._bills.run())
            group.create_task(self._gauges.run())
            group.create_task(self.sidecar.run())

    async def stop(self, *, limit_s: float) -> str:
        """Finish open runs; return a description of what was lost."""
        report = await self.sidecar.stop(limit_s=limit_s)
        return report.text

    def losses(self) -> str:
        """Return what would be lost if the process ended now."""
        return self.sidecar.losses().text

    async def close(self) -> None:
        """Close the server and every connection."""
        await self.peers.stop()
        await self.shared.peers.close()
        await self._session.close()

    async def abort(self) -> None:
        """Abort every connection at once, as a power loss does."""
        await self._session.close()
        await self.shared.peers.abort()
        self.peers.abort()

    def _application(self) -> web.Application:
        handler = new_relay_handler(self.shared.relay, self.sidecar)
        application = self.shared.peer_application(handler)
        application.router.add_get(HEALTH_PATH, _answer_health)
        application.router.add_get(READY_PATH, self._answer_readiness)
        application.router.add_get(METRICS_PATH, self._answer_metrics)
        return application

    async def _answer_readiness(self, request: web.Request) -> web.Response:
        state = self.sidecar.life.state.value
        status = 200 if self.sidecar.life.is_ready else 503
        return web.Response(status=status, text=state)

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        page = self._telemetry.metrics_page()
        return web.Response(body=page, content_type='text/plain')


def new_sidecar_daemon(
    settings: SidecarSettings,
    *,
    telemetry: OtelTelemetry,
    incarnation: Incarnation,
) -> SidecarDaemon:
    """Bind the socket and connect the components.

    Needs a running event loop.
    """
    peers = HttpServer(settings.listen.peers)
    session = new_client_session()
    shared = new_shared_parts(
        settings, incarnation=incarnation, session=session
    )
    configuration = shared.configuration
    bills = BillSender(
        log=BillRelayClient(
            log=shared.log,
            data_centre=settings.data_centre,
            peers=shared.peers,
            routers=lambda: live_routers(shared.fleet),
        ),
        incarnation=incarnation,
        configuration=lambda: configuration.current,
    )
    sidecar = new_sidecar(
        incarnation=incarnation,
        target=settings.target.name,
        service=settings.target.service,
        data_centre=settings.data_centre,
        address=settings.listen.advertise or peers.text,
        log=shared.log,
        host_list=HttpHostList(session, settings.platform.host_list_url),
        peers=shared.peers,
        target_client=new_target_client(settings.target, session),
        configuration=configuration,
        fleet=shared.fleet,
        bills=bills,
        telemetry=telemetry,
    )
    return SidecarDaemon(
        sidecar,
        settings=settings,
        shared=shared,
        bills=bills,
        session=session,
        telemetry=telemetry,
        gauges=ProcessGauges(
            telemetry=telemetry,
            incarnation=incarnation,
            configuration=configuration,
            fleet=shared.fleet,
        ),
        peers=peers,
    )


def new_target_client(
    target: SidecarTarget,
    session: ClientSession,
) -> TargetClient:
    """Return a client for the target's kind."""
    match target.kind:
        case 'model':
            return HttpModelTarget(session, target.url)
        case 'plain':
            return HttpPlainTarget(session, target.url)


async def _answer_health(request: web.Request) -> web.Response:
    return web.Response(text='running')
