"""Tests of the router daemon on real sockets with a stand-in platform."""

import asyncio
from contextlib import asynccontextmanager

from aiohttp import ClientSession
from testtools import TestCase

from dandelioncleat.adapters.telemetry import new_telemetry
from dandelioncleat.core.record import End, Leave
from dandelioncleat.daemons.incarnation import new_incarnation
from dandelioncleat.daemons.router import (
    RouterDaemon,
    new_router_daemon,
)
from dandelioncleat.daemons.settings import RouterSettings
from dandelioncleat.daemons.supervision import StopSignals, supervise
from dandelioncleat.standin.host_list import MemoryHostList
from dandelioncleat.standin.log import MemoryLog
from dandelioncleat.standin.platform_http import (
    Platform,
    new_platform_application,
)
from dandelioncleat.standin.server import start_server
from dandelioncleat.standin.weight_store import WeightStore
from tests.builders.configuration import build_document, build_patch

LOOPBACK = '127.0.0.1:0'
LIMIT_S = 20


@asynccontextmanager
async def running_router(log: MemoryLog):
    """Run a supervised router; yield it, its signals and its exit code."""
    platform = Platform(
        log, MemoryHostList(), WeightStore(bytes_s=1e9, sizes_by_name={})
    )
    server = await start_server(new_platform_application(platform))
    settings = RouterSettings.model_validate(
        {
            'role': 'router',
            'host': 'entry-1',
            'data_centre': 'klang-a',
            'listen': {'callers': LOOPBACK, 'peers': LOOPBACK},
            'platform': {
                'log_url': server.url,
                'host_list_url': server.url,
            },
            'fleet': {'secret': 's' * 32},
        }
    )
    incarnation = new_incarnation(settings.host)
    daemon = new_router_daemon(
        settings,
        telemetry=new_telemetry(role='router', incarnation=incarnation),
        incarnation=incarnation,
    )
    keeper = daemon.process.shared.configuration
    first = asyncio.create_task(keeper.submit(build_patch(build_document())))
    signals = StopSignals()
    ended = asyncio.create_task(supervise(daemon, signals, limit_s=LIMIT_S))
    try:
        yield daemon, signals, ended
    finally:
        signals.receive()
        signals.receive()
        first.cancel()
        await asyncio.gather(ended, return_exceptions=True)
        # An outage ends pending long-poll reads of the log.
        log.outage = True
        await server.stop()


async def wait_status(daemon: RouterDaemon, status: int) -> None:
    """Wait until the readiness page has a status."""
    async with ClientSession() as session, asyncio.timeout(LIMIT_S):
        while await readiness(session, daemon) != status:  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def readiness(session: ClientSession, daemon: RouterDaemon) -> int:
    try:
        async with session.get(f'{daemon.url}/readyz') as response:
            return response.status
    except OSError:
        return 0


class RouterDaemonTest(TestCase):
    def test_starts_from_nothing_and_stops_as_planned(self) -> None:
        async def scenario() -> None:
            async with running_router(MemoryLog()) as (daemon, signals, ended):
                await wait_status(daemon, 200)
                fleet = daemon.process.shared.fleet
                own = daemon.process.router.incarnation
                submitted = []
                submit = fleet.submit

                def recording_submit(*records):
                    submitted.extend(records)
                    return submit(*records)

                fleet.submit = recording_submit
                signals.receive()
                self.assertEqual(0, await ended)
                self.assertEqual([Leave(own), End(own)], submitted)

        asyncio.run(scenario())

    def test_start_during_a_log_outage_waits_for_the_log(self) -> None:
        async def scenario() -> None:
            log = MemoryLog()
            log.outage = True
            async with running_router(log) as (daemon, _, ended):
                await wait_status(daemon, 503)
                log.outage = False
                await wait_status(daemon, 200)
                self.assertFalse(ended.done())

        asyncio.run(scenario())

    def test_second_signal_forces_a_stop_with_losses(self) -> None:
        async def scenario() -> None:
            log = MemoryLog()
            async with running_router(log) as (daemon, signals, ended):
                await wait_status(daemon, 200)
                log.outage = True
                signals.receive()
                await wait_status(daemon, 503)
                signals.receive()
                self.assertEqual(1, await ended)

        asyncio.run(scenario())
