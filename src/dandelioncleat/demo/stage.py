"""Starts, stops and kills everything that the demonstration runs."""

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
from dandelioncleat.demo.account import Targets
from dandelioncleat.demo.caller import Callers
from dandelioncleat.demo.cast import (
    ORGANISATIONS,
    ROUTERS,
    TARGETS,
    TargetRole,
)
from dandelioncleat.demo.process_settings import Surroundings
from dandelioncleat.demo.report import Report
from dandelioncleat.demo.running import Running, start
from dandelioncleat.demo.witness import Witness
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
READY_POLL_S = 0.02
WEIGHTS_BYTES_S = 1e9
ENGINE = EngineSettings(decode_tokens_s=400, checks_fencing=True)
SERVICE = ServiceSettings(service_ms=10, checks_fencing=True)


class Stage:
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
        self.witness = Witness(self.targets)
        self.operator_key = _new_key(generator)
        self.keys_by_organisation = {
            role.name: _new_key(generator) for role in ORGANISATIONS
        }
        bearers = {
            name: key.text for name, key in self.keys_by_organisation.items()
        }
        self.callers = Callers(session, bearers, self.witness.note)
        self._operator_session = aiohttp.ClientSession(
            headers={'Authorization': bearer_of(self.operator_key)}
        )
        self._surroundings = Surroundings(
            platform_url='',
            fleet_secret=generator.randbytes(FLEET_SECRET_BYTES).hex(),
            operator_key=self.operator_key,
        )
        self._servers: list[StandinServer] = []
        self._urls_by_target: dict[str, str] = {}
        self._routers_by_host: dict[str, Running[RouterDaemon]] = {}
        self._sidecars_by_target: dict[str, Running[SidecarDaemon]] = {}

    async def open(self) -> None:
        """Start the stand-ins, then every process beside or before them."""
        platform = await start_server(new_platform_application(self.platform))
        self._servers.append(platform)
        self._surroundings = self._surroundings._replace(
            platform_url=platform.url
        )
        for role in TARGETS:
            await self._start_target(role)
        for role in TARGETS:
            self._start_sidecar(role)
        for router in ROUTERS:
            await self.start_router(router.host)

    async def close(self) -> None:
        """Stop whatever still runs."""
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
        """Return an operator's client that asks one router."""
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
        role = next(role for role in ROUTERS if role.host == host)
        daemon = new_router_daemon(
            self._surroundings.router(role),
            telemetry=new_telemetry(role=ROUTER, incarnation=host),
            incarnation=new_incarnation(host),
        )
        self.platform.hosts.set_live(host, role.data_centre)
        self._routers_by_host[host] = start(daemon)
        await _until(lambda: daemon.process.router.life.takes_requests)

    async def caught_up(self) -> None:
        """Wait until every router has read the ledger."""
        await _until(self._are_caught_up)

    async def kill_router(self, host: str) -> None:
        """End a router's process without a word."""
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

    async def _start_target(self, role: TargetRole) -> None:
        if role.kind == ServiceKind.MODEL:
            engine = self.targets.engines_by_name[role.name]
            application = new_engine_application(engine)
            server = await start_server(application, crashable=engine)
        else:
            plain = self.targets.plains_by_name[role.name]
            application = new_service_application(plain)
            server = await start_server(application, crashable=plain)
        self._servers.append(server)
        self._urls_by_target[role.name] = server.url

    def _start_sidecar(self, role: TargetRole) -> None:
        url = self._urls_by_target[role.name]
        daemon = new_sidecar_daemon(
            self._surroundings.sidecar(role, url),
            telemetry=new_telemetry(role=SIDECAR, incarnation=role.host),
            incarnation=new_incarnation(role.host),
        )
        self.platform.hosts.set_live(role.host, role.data_centre)
        self._sidecars_by_target[role.name] = start(daemon)


async def _stop_all(running_by_name: dict[str, Running[Any]]) -> list[str]:
    stopping = tuple(running_by_name.values())
    running_by_name.clear()
    lost = await asyncio.gather(
        *(running.stop(STOP_LIMIT_S) for running in stopping)
    )
    return [text for text in lost if text]


async def _until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110  # no event tells of it
        await asyncio.sleep(READY_POLL_S)


def _new_targets() -> Targets:
    models = [role for role in TARGETS if role.kind == ServiceKind.MODEL]
    plains = [role for role in TARGETS if role.kind == ServiceKind.PLAIN]
    return Targets(
        {role.name: Engine(ENGINE) for role in models},
        {role.name: PlainService(SERVICE) for role in plains},
        {role.name: role.service for role in TARGETS},
    )


def bearer_of(key: GeneratedKey) -> str:
    """Return the value of an ``Authorization`` header."""
    return f'Bearer {key.text}'


def _new_key(generator: random.Random) -> GeneratedKey:
    return new_key(
        generator.randbytes(SALT_BYTES), generator.randbytes(SECRET_BYTES)
    )
