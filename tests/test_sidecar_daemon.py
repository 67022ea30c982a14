"""Tests of the sidecar daemon on real sockets with stand-ins."""

import asyncio
from contextlib import asynccontextmanager

from aiohttp import ClientSession
from testtools import TestCase

from dandelioncleat.adapters.telemetry import new_telemetry
from dandelioncleat.adapters.websocket_peers import WebSocketPeers
from dandelioncleat.core.envelope import ledger_codec
from dandelioncleat.core.identity import BudgetId, Incarnation, RunId
from dandelioncleat.core.message import AskStatus, Chunk, Dispatch
from dandelioncleat.core.shard import ledger_stream, shard_of
from dandelioncleat.daemons.incarnation import new_incarnation
from dandelioncleat.daemons.settings import SidecarSettings
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
from dandelioncleat.standin.weight_store import WeightStore
from tests.builders.configuration import build_document, build_patch
from tests.builders.sidecar import new_dispatch

SECRET = 's' * 32
LIMIT_S = 20
TOKENS = 40


class SidecarHarness:
    """A running sidecar with its engine, its log and a caller."""

    def __init__(self, daemon: SidecarDaemon, log: MemoryLog) -> None:
        self.daemon = daemon
        self.log = log
        self.signals = StopSignals()
        self.peers = WebSocketPeers(
            incarnation=Incarnation('router/1'),
            fleet_secret=SECRET,
            version=lambda: 1,
            on_version=lambda *_: None,
        )
        self.ended = asyncio.create_task(
            supervise(daemon, self.signals, limit_s=LIMIT_S),
        )

    @property
    def address(self) -> str:
        return self.daemon.peers.text

    async def wait_status(self, status: int) -> None:
        """Wait until the readiness page has a status."""
        url = f'http://{self.address}/readyz'
        async with ClientSession() as session, asyncio.timeout(LIMIT_S):
            while await read_status(session, url) != status:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    def dispatch(self, key: str = 'key') -> Dispatch:
        """Return a dispatch that the engine answers slowly."""
        body = b'{"prompt": "dues", "standin": {"output_tokens": 40}}'
        incarnation = self.daemon.sidecar.status().incarnation
        return new_dispatch(
            key=key,
            service='dues-llm',
            executor=incarnation,
            body=body,
            cap=TOKENS,
        )

    async def bills(self) -> list[tuple[RunId, int]]:
        """Return the runs and tokens of the bills in the log."""
        stream = ledger_stream(shard_of(BudgetId('org'), 2))
        page = await self.log.read(stream, start=0)
        return [
            (bill.run, bill.tokens)
            for entry in page.entries
            for envelope in ledger_codec().decode(entry.data)
            for bill in envelope.records
        ]


@asynccontextmanager
async def running_sidecar(log: MemoryLog):
    """Run a supervised sidecar with an engine."""
    platform = Platform(
        log, MemoryHostList(), WeightStore(bytes_s=1e9, sizes_by_name={})
    )
    server = await start_server(new_platform_application(platform))
    engine = Engine(EngineSettings(decode_tokens_s=80))
    target = await start_server(new_engine_application(engine))
    settings = SidecarSettings.model_validate(
        {
            'role': 'sidecar',
            'host': 'target-1',
            'data_centre': 'klang-a',
            'listen': {'peers': '127.0.0.1:0'},
            'target': {
                'name': 'dues-1',
                'service': 'dues-llm',
                'kind': 'model',
                'url': target.url,
            },
            'platform': {'log_url': server.url, 'host_list_url': server.url},
            'fleet': {'secret': SECRET},
        }
    )
    incarnation = new_incarnation(settings.host)
    daemon = new_sidecar_daemon(
        settings,
        telemetry=new_telemetry(role='sidecar', incarnation=incarnation),
        incarnation=incarnation,
    )
    keeper = daemon.shared.configuration
    patch = build_patch(build_document())
    first = asyncio.create_task(keeper.submit(patch))
    harness = SidecarHarness(daemon, log)
    try:
        yield harness
    finally:
        harness.signals.receive()
        harness.signals.receive()
        first.cancel()
        await harness.peers.close()
        await asyncio.gather(harness.ended, return_exceptions=True)
        await target.stop()
        await server.stop()


async def read_status(session: ClientSession, url: str) -> int:
    try:
        async with session.get(url) as response:
            return response.status
    except OSError:
        return 0


class SidecarDaemonTest(TestCase):
    def test_stop_signal_interrupts_no_run_and_its_bill_is_in_the_log(
        self,
    ) -> None:
        async def scenario() -> None:
            async with running_sidecar(MemoryLog()) as harness:
                await harness.wait_status(200)
                messages = []
                dispatch = harness.dispatch()
                async for message in harness.peers.stream(
                    harness.address, dispatch
                ):
                    messages.append(message)
                    if len(messages) == 1:
                        harness.signals.receive()
                text = b''.join(
                    one.data for one in messages if isinstance(one, Chunk)
                )
                finished = messages[-1]
                self.assertTrue(finished.complete)
                self.assertEqual(finished.size, len(text))
                self.assertEqual(TOKENS, finished.output_tokens)
                self.assertEqual(0, await harness.ended)
                self.assertEqual(
                    [(dispatch.run, finished.tokens)], await harness.bills()
                )

        asyncio.run(scenario())

    def test_start_during_a_log_outage_waits_for_the_log(self) -> None:
        async def scenario() -> None:
            log = MemoryLog()
            log.outage = True
            async with running_sidecar(log) as harness:
                await harness.wait_status(503)
                status = await harness.peers.call(
                    harness.address, AskStatus(), timeout_s=LIMIT_S
                )
                self.assertEqual('starting', status.state)
                log.outage = False
                await harness.wait_status(200)

        asyncio.run(scenario())

    def test_second_signal_forces_a_stop_with_losses(self) -> None:
        async def scenario() -> None:
            log = MemoryLog()
            async with running_sidecar(log) as harness:
                await harness.wait_status(200)
                log.outage = True
                dispatch = harness.dispatch()
                async for _ in harness.peers.stream(harness.address, dispatch):
                    continue
                harness.signals.receive()
                await harness.wait_status(503)
                harness.signals.receive()
                self.assertEqual(1, await harness.ended)

        asyncio.run(scenario())
