"""A small deployment of real daemons and stand-ins on the loopback."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from functools import partial
from typing import Any

from aiohttp import ClientSession

from dandelioncleat.adapters.telemetry import new_telemetry
from dandelioncleat.daemons.incarnation import new_incarnation
from dandelioncleat.daemons.router import (
    RouterDaemon,
    new_router_daemon,
)
from dandelioncleat.daemons.settings import RouterSettings, SidecarSettings
from dandelioncleat.daemons.sidecar import SidecarDaemon, new_sidecar_daemon
from dandelioncleat.daemons.supervision import StopSignals, supervise
from dandelioncleat.standin.engine import Engine, EngineSettings
from dandelioncleat.standin.engine_http import new_engine_application
from dandelioncleat.standin.host_list import MemoryHostList
from dandelioncleat.standin.log import MemoryLog
from dandelioncleat.standin.platform_http import (
    Platform,
    new_platform_application,
)
from dandelioncleat.standin.server import start_server
from dandelioncleat.standin.service import PlainService, ServiceSettings
from dandelioncleat.standin.service_http import new_service_application
from dandelioncleat.standin.weight_store import WeightStore
from tests.builders.configuration import build_entry, build_key, build_patch

LOOPBACK = '127.0.0.1:0'
WAIT_S = 30
BUDGET = 20000
KEY = build_key(7)
BEARER = {'Authorization': f'Bearer {KEY.text}'}


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Poll a condition until it holds."""
    async with asyncio.timeout(WAIT_S):
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


class RunningDaemon:
    """A supervised daemon."""

    def __init__(self, daemon: RouterDaemon | SidecarDaemon) -> None:
        self.daemon: Any = daemon
        self.signals = StopSignals()
        self.task = asyncio.create_task(
            supervise(daemon, self.signals, limit_s=WAIT_S)
        )

    async def kill(self) -> None:
        """Cancel the daemon without a planned stop."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class Deployment:
    """Two routers, two engines and a plain service with their sidecars."""

    def __init__(self, **engine: Any) -> None:
        self.log = MemoryLog()
        self.hosts = MemoryHostList()
        self.engines: dict[str, Engine] = {}
        self.service = PlainService(ServiceSettings(service_ms=20))
        self.routers: list[RunningDaemon] = []
        self.sidecars: dict[str, RunningDaemon] = {}
        self._engine = {'decode_tokens_s': 400, **engine}
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> 'Deployment':
        await self._stack.__aenter__()
        self.session = await self._stack.enter_async_context(ClientSession())
        platform = Platform(
            self.log, self.hosts, WeightStore(bytes_s=1e9, sizes_by_name={})
        )
        self.platform = await self._serve(new_platform_application(platform))
        for name in ('dues-1', 'dues-2'):
            engine = Engine(EngineSettings(**self._engine))
            self.engines[name] = engine
            url = await self._serve(new_engine_application(engine))
            self._start_sidecar(name, 'dues-llm', 'model', url)
        url = await self._serve(new_service_application(self.service))
        self._start_sidecar('billing-1', 'billing-app', 'plain', url)
        for name in ('entry-1', 'entry-2'):
            self.start_router(name)
        await self._configure()
        return self

    async def __aexit__(self, *error: object) -> None:
        for running in (*self.routers, *self.sidecars.values()):
            await running.kill()
        # An outage ends pending long-poll reads of the log.
        self.log.outage = True
        await self._stack.aclose()

    def start_router(self, host: str) -> None:
        """Start a router daemon."""
        settings = RouterSettings.model_validate(
            {
                'role': 'router',
                'listen': {'callers': LOOPBACK, 'peers': LOOPBACK},
                **self._common(host),
            }
        )
        incarnation = new_incarnation(host)
        daemon = new_router_daemon(
            settings,
            telemetry=new_telemetry(role='router', incarnation=incarnation),
            incarnation=incarnation,
        )
        self.routers.append(RunningDaemon(daemon))

    async def post(
        self, router: int, path: str, body: Any, **headers: str
    ) -> tuple[int, Any, bytes]:
        """Post to a router and return status, headers and body."""
        names = {name.replace('_', '-'): text for name, text in headers.items()}
        url = self.routers[router].daemon.url
        async with self.session.post(
            url + path, json=body, headers={**BEARER, **names}
        ) as response:
            return response.status, response.headers, await response.read()

    async def wait_runs(self, count: int) -> None:
        """Wait until the engines have begun ``count`` runs."""

        async def have_begun() -> bool:
            engines = self.engines.values()
            return sum(len(each.runs) for each in engines) >= count

        await wait_until(have_begun)

    async def balance(self, router: int = 0) -> dict[str, Any]:
        """Return the totals of the organisation's budget."""
        url = self.routers[router].daemon.url
        async with self.session.get(
            f'{url}/v1/budget', headers=BEARER
        ) as response:
            return json.loads(await response.read())

    async def wait_spent(self, tokens: int, router: int = 0) -> None:
        """Wait until at least ``tokens`` tokens are billed."""

        async def is_spent() -> bool:
            return (await self.balance(router))['spent_tokens'] >= tokens

        await wait_until(is_spent)

    async def _serve(self, application: Any) -> str:
        server = await start_server(application)
        self._stack.push_async_callback(server.stop)
        return server.url

    def _common(self, host: str) -> dict[str, Any]:
        self.hosts.set_live(host, 'klang-a')
        return {
            'host': host,
            'data_centre': 'klang-a',
            'platform': {
                'log_url': self.platform,
                'host_list_url': self.platform,
            },
            'fleet': {'secret': 's' * 32},
        }

    def _start_sidecar(
        self, target: str, service: str, kind: str, url: str
    ) -> None:
        settings = SidecarSettings.model_validate(
            {
                'role': 'sidecar',
                'listen': {'peers': LOOPBACK},
                'target': {
                    'name': target,
                    'service': service,
                    'kind': kind,
                    'url': url,
                },
                **self._common(f'{target}-host'),
            }
        )
        incarnation = new_incarnation(settings.host)
        daemon = new_sidecar_daemon(
            settings,
            telemetry=new_telemetry(role='sidecar', incarnation=incarnation),
            incarnation=incarnation,
        )
        self.sidecars[target] = RunningDaemon(daemon)

    async def _configure(self) -> None:
        document = {
            'services': {
                'dues-llm': {'kind': 'model', 'models': ['dues']},
                'billing-app': {'kind': 'plain', 'price_tokens': 5},
            },
            'targets': {
                name: {
                    'service': 'dues-llm' if 'dues' in name else 'billing-app',
                    'data_centre': 'klang-a',
                }
                for name in self.sidecars
            },
            'organisations': {
                'agency': {'budget': BUDGET, 'credentials': [build_entry(7)]},
            },
        }
        keeper = self.routers[0].daemon.process.shared.configuration
        await keeper.submit(build_patch(document))
        for running in self.routers:
            await wait_until(partial(self._is_ready, running))
        for router in range(len(self.routers)):
            await wait_until(partial(self._has_budget, router))

    async def _has_budget(self, router: int) -> bool:
        return (await self.balance(router))['topped_up_tokens'] > 0

    async def _is_ready(self, running: RunningDaemon) -> bool:
        process = running.daemon.process
        watch = process.router.watch
        return process.router.ready and all(
            watch.candidates(service) for service in ('dues-llm', 'billing-app')
        )
