"""Starts, stops and kills the processes of the demonstration."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import aiohttp

from dandelioncleat.adapters.telemetry import new_telemetry
from dandelioncleat.core.configuration import ServiceKind
from dandelioncleat.core.credential import (
    SALT_BYTES,
    SECRET_BYTES,
    GeneratedKey,
    new_key,
)
from dandelioncleat.core.fleet import ROUTER, SIDECAR
from dandelioncleat.daemons.incarnation import new_incarnation
from dandelioncleat.daemons.router import (
    RouterDaemon,
    new_router_daemon,
)
from dandelioncleat.daemons.sidecar import SidecarDaemon, new_sidecar_daemon
from dandelioncleat.demo.caller import Callers
from dandelioncleat.demo.consistency import ConsistencyChecker
from dandelioncleat.demo.deployment import (
    ORGANISATIONS,
    ROUTERS,
    TARGETS,
    TargetSpec,
)
from dandelioncleat.demo.process_settings import CommonSettings
from dandelioncleat.demo.report import Report
from dandelioncleat.demo.running import RunningDaemon, start_daemon
from dandelioncleat.demo.totals import StandinTargets
from dandelioncleat.operator.client import OperatorClient
from dandelioncleat.standin.engine import Engine, EngineSettings
from dandelioncleat.standin.engine_http import new_engine_application
from dandelioncleat.standin.host_list import MemoryHostList
from dandelioncleat.standin.log import MemoryLog
from dandelioncleat.standin.platform_http import (
    Platform,
    new_platform_application,
)
from dandelioncleat.standin.server import StandinServer, start_server
from dandelioncleat.standin.service import PlainService, ServiceSettings
from dandelioncleat.standin.service_http import new_service_application
from dandelioncleat.standin.weight_store import WeightStore

FLEET_SECRET_BYTES = 32
OPERATOR_TIMEOUT_S = 10.0
STOP_LIMIT_S = 15.0
POLL_INTERVAL_S = 0.02
WEIGHTS_BYTES_S = 1e9
ENGINE = EngineSettings(decode_tokens_s=400, checks_fencing=True)
SERVICE = ServiceSettings(service_ms=10, checks_fencing=True)


class DemoFleet:
    """Holds the stand-ins, the processes, the callers and the operators."""

    def __init__(self, session: aiohttp.ClientSession, report: Report) -> None:
        """Take the session of callers and operators, and the report."""
        generator = random.SystemRandom()
        self.report = report
        self.platform = Platform(
            MemoryLog(now=time.time),
            MemoryHostList(),
            WeightStore(bytes_s=WEIGHTS_BYTES_S, sizes_by_name={}),
        )
        self.targets = _new_targets()
        self.checker = ConsistencyChecker(self.targets)
        self.operator_key = _new_key(generator)
        self.keys_by_organisation = {
            spec.name: _new_key(generator) for spec in ORGANISATIONS
        }
        bearers = {
            name: key.text for name, key in self.keys_by_organisation.items()
        }
        self.callers = Callers(session, bearers, self.checker.record_answer)
        self._operator_session = aiohttp.ClientSession(
            headers={'Authorization': bearer_of(self.operator_key)}
        )
        self._common_settings = CommonSettings(
            platform_url='',
            fleet_secret=generator.randbytes(FLEET_SECRET_BYTES).hex(),
            operator_key=self.operator_key,
        )
        self._servers: list[StandinServer] = []
        self._urls_by_target: dict[str, str] = {}
        self._routers_by_host: dict[str, RunningDaemon[RouterDaemon]] = {}
        self._sidecars_by_target: dict[str, RunningDaemon[SidecarDaemon]] = {}

    async def open(self) -> None:
        """Start the stand-ins, then the sidecars and the routers."""
        platform = await start_server(new_platform_application(self.platform))
        self._servers.append(platform)
        self._common_settings = self._common_settings._replace(
            platform_url=platform.url
        )
        for spec in TARGETS:
            await self._start_target(spec)
        for spec in TARGETS:
            self._start_sidecar(spec)
        for router in ROUTERS:
            await self.start_router(router.host)

    async def close(self) -> None:
        """Kill the remaining processes and stop the stand-ins."""
        for host in tuple(self._routers_by_host):
            await self.kill_router(host)
        for sidecar in self._sidecars_by_target.values():
            await sidecar.kill()
        for server in self._servers:
            await server.stop()
        await self._operator_session.close()

    def url(self, host: str) -> str:
        """Return a router's base URL for callers."""
        return self._routers_by_host[host].daemon.url

    def operator(self, host: str) -> OperatorClient:
        """Return an operator's client that connects to one router."""
        return OperatorClient(
            session=self._operator_session,
            routers=(self.url(host),),
            timeout_s=OPERATOR_TIMEOUT_S,
        )

    def versions(self) -> list[int]:
        """Return the configuration version in force in each process."""
        routers = (
            running.daemon.process.shared
            for running in self._routers_by_host.values()
        )
        sidecars = (
            running.daemon.shared
            for running in self._sidecars_by_target.values()
        )
        return [
            shared.configuration.current.version
            for shared in (*routers, *sidecars)
        ]

    async def start_router(self, host: str) -> None:
        """Start a router's process."""
        spec = next(spec for spec in ROUTERS if spec.host == host)
        daemon = new_router_daemon(
            self._common_settings.router(spec),
            telemetry=new_telemetry(role=ROUTER, incarnation=host),
            incarnation=new_incarnation(host),
        )
        self.platform.hosts.set_live(host, spec.data_centre)
        self._routers_by_host[host] = start_daemon(daemon)
        await _wait_until(lambda: daemon.process.router.life.takes_requests)

    async def wait_until_caught_up(self) -> None:
        """Wait until every router has read the ledger."""
        await _wait_until(self._are_caught_up)

    async def kill_router(self, host: str) -> None:
        """End a router's process without notice, as a crash does."""
        self.platform.hosts.remove(host)
        await self._routers_by_host.pop(host).kill()

    async def stop_routers(self) -> list[str]:
        """Stop all routers as planned; return what was lost."""
        return await _stop_all(self._routers_by_host)

    async def stop_sidecars(self) -> list[str]:
        """Stop all sidecars as planned; return what was lost."""
        return await _stop_all(self._sidecars_by_target)

    def _are_caught_up(self) -> bool:
        return all(
            running.daemon.process.budgets.caught_up
            for running in self._routers_by_host.values()
        )

    async def _start_target(self, spec: TargetSpec) -> None:
        if spec.kind == ServiceKind.MODEL:
            engine = self.targets.engines_by_name[spec.name]
            application = new_engine_application(engine)
            server = await start_server(application, crashable=engine)
        else:
            plain = self.targets.plain_services_by_name[spec.name]
            application = new_service_application(plain)
            server = await start_server(application, crashable=plain)
        self._servers.append(server)
        self._urls_by_target[spec.name] = server.url

    def _start_sidecar(self, spec: TargetSpec) -> None:
        url = self._urls_by_target[spec.name]
        daemon = new_sidecar_daemon(
            self._common_settings.sidecar(spec, url),
            telemetry=new_telemetry(role=SIDECAR, incarnation=spec.host),
            incarnation=new_incarnation(spec.host),
        )
        self.platform.hosts.set_live(spec.host, spec.data_centre)
        self._sidecars_by_target[spec.name] = start_daemon(daemon)


async def _stop_all(
    running_by_name: dict[str, RunningDaemon[Any]],
) -> list[str]:
    stopping = tuple(running_by_name.values())
    running_by_name.clear()
    lost = await asyncio.gather(
        *(running.stop(STOP_LIMIT_S) for running in stopping)
    )
    return [text for text in lost if text]


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110  # no event signals it
        await asyncio.sleep(POLL_INTERVAL_S)


def _new_targets() -> StandinTargets:
    models = [spec for spec in TARGETS if spec.kind == ServiceKind.MODEL]
    plains = [spec for spec in TARGETS if spec.kind == ServiceKind.PLAIN]
    return StandinTargets(
        {spec.name: Engine(ENGINE) for spec in models},
        {spec.name: PlainService(SERVICE) for spec in plains},
        {spec.name: spec.service for spec in TARGETS},
    )


def bearer_of(key: GeneratedKey) -> str:
    """Return the value of an ``Authorization`` header."""
    return f'Bearer {key.text}'


def _new_key(generator: random.Random) -> GeneratedKey:
    return new_key(
        generator.randbytes(SALT_BYTES), generator.randbytes(SECRET_BYTES)
    )
