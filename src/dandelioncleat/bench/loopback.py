"""A router, a sidecar and their stand-ins on the loopback interface."""

import asyncio
import json
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import partial
from typing import Any

from aiohttp import ClientSession, TCPConnector, web

from dandelioncleat.adapters.telemetry import new_telemetry
from dandelioncleat.core.credential import (
    SALT_BYTES,
    SECRET_BYTES,
    new_key,
)
from dandelioncleat.core.identity import BudgetId
from dandelioncleat.core.record import Patch
from dandelioncleat.daemons.incarnation import new_incarnation
from dandelioncleat.daemons.router import (
    RouterDaemon,
    new_router_daemon,
)
from dandelioncleat.daemons.settings import RouterSettings, SidecarSettings
from dandelioncleat.daemons.sidecar import SidecarDaemon, new_sidecar_daemon
from dandelioncleat.standin.engine import Engine, EngineSettings
from dandelioncleat.standin.engine_http import new_engine_application
from dandelioncleat.standin.host_list import MemoryHostList
from dandelioncleat.standin.log import MemoryLog
from dandelioncleat.standin.platform_http import (
    Platform,
    new_platform_application,
)
from dandelioncleat.standin.server import start_server
from dandelioncleat.standin.weight_store import WeightStore

LOOPBACK = '127.0.0.1:0'
DATA_CENTRE = 'klang-a'
SERVICE = 'dues-llm'
MODEL = 'dues'
TARGET = 'dues-1'
ORGANISATION = 'agency'
BUDGET_TOKENS = 10**9
CONNECTIONS = 1000
READY_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.05
STREAMS = 400


class LoopbackFleet:
    """One router and one sidecar in front of one stand-in engine."""

    def __init__(self, *, tokens_s: float) -> None:
        """Take the engine's generation rate in tokens per second."""
        self.engine_url = ''
        self.router_url = ''
        self._settings = EngineSettings(
            slots=STREAMS,
            prefill_tokens_s=10**7,
            decode_tokens_s=tokens_s,
            kv_tokens=10**7,
        )
        self._key = new_key(bytes(SALT_BYTES), bytes(SECRET_BYTES))
        self._log = MemoryLog()
        self._hosts = MemoryHostList()
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> 'LoopbackFleet':
        """Start everything and wait until the router serves."""
        connector = TCPConnector(limit=CONNECTIONS)
        self.session = await self._stack.enter_async_context(
            ClientSession(connector=connector),
        )
        engine = Engine(self._settings)
        self.engine_url = await self._serve(new_engine_application(engine))
        stores = WeightStore(bytes_s=1, sizes_by_name={})
        platform = Platform(self._log, self._hosts, stores)
        url = await self._serve(new_platform_application(platform))
        self._start(self._new_sidecar(url))
        router = self._new_router(url)
        self._start(router)
        await self._configure(router)
        self.router_url = router.url
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # An outage ends the reads that still wait at the log.
        self._log.outage = True
        await self._stack.aclose()

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers of a caller."""
        key = self._key.text
        return {'Authorization': f'Bearer {key}'}

    def _start(self, daemon: RouterDaemon | SidecarDaemon) -> None:
        self._stack.push_async_callback(daemon.close)
        self._tasks.append(asyncio.create_task(daemon.run()))

    async def _serve(self, application: web.Application) -> str:
        server = await start_server(application)
        self._stack.push_async_callback(server.stop)
        return server.url

    def _common(self, host: str, platform: str) -> dict[str, Any]:
        self._hosts.set_live(host, DATA_CENTRE)
        urls = {'log_url': platform, 'host_list_url': platform}
        return {
            'host': host,
            'data_centre': DATA_CENTRE,
            'platform': urls,
            'fleet': {'secret': 's' * SECRET_BYTES},
        }

    def _new_router(self, platform: str) -> RouterDaemon:
        settings = RouterSettings.model_validate(
            {
                'role': 'router',
                'listen': {'callers': LOOPBACK, 'peers': LOOPBACK},
                **self._common('entry-1', platform),
            },
        )
        incarnation = new_incarnation(settings.host)
        telemetry = new_telemetry(role='router', incarnation=incarnation)
        return new_router_daemon(
            settings,
            telemetry=telemetry,
            incarnation=incarnation,
        )

    def _new_sidecar(self, platform: str) -> SidecarDaemon:
        target = {
            'name': TARGET,
            'service': SERVICE,
            'kind': 'model',
            'url': self.engine_url,
        }
        settings = SidecarSettings.model_validate(
            {
                'role': 'sidecar',
                'listen': {'peers': LOOPBACK},
                'target': target,
                **self._common('dues-1-host', platform),
            },
        )
        incarnation = new_incarnation(settings.host)
        telemetry = new_telemetry(role='sidecar', incarnation=incarnation)
        return new_sidecar_daemon(
            settings,
            telemetry=telemetry,
            incarnation=incarnation,
        )

    async def _configure(self, router: RouterDaemon) -> None:
        service = {
            'kind': 'model',
            'models': [MODEL],
            'slots': STREAMS,
            'queue_limit': STREAMS,
        }
        target = {
            'service': SERVICE,
            'data_centre': DATA_CENTRE,
            'slots': STREAMS,
        }
        organisation = {
            'budget': BUDGET_TOKENS,
            'credentials': [self._key.entry._asdict()],
        }
        body = {
            'services': {SERVICE: service},
            'targets': {TARGET: target},
            'organisations': {ORGANISATION: organisation},
        }
        patch = Patch('first', 0, 'bench', json.dumps(body).encode())
        process = router.process
        await process.shared.configuration.submit(patch)
        await _wait_until(partial(_serves, router))


def _serves(router: RouterDaemon) -> bool:
    process = router.process
    budget = BudgetId(ORGANISATION)
    balance = process.budgets.shards.of(budget).fold.balance(budget)
    candidates = process.router.watch.candidates(SERVICE)
    return process.router.ready and bool(candidates and balance.topped_up)


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
