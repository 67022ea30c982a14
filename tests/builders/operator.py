"""Builders of a router's operator interface on real sockets."""

import asyncio
import contextlib
import io
import json
import tempfile
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from aiohttp import web

from dandelioncleat.__main__ import main
from dandelioncleat.adapters.operator_http import add_operator_routes
from dandelioncleat.app._shards import Shards
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.ledger_view import ShardedLedgerView
from dandelioncleat.app.operator import OperatorBackend
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import Message, Status
from dandelioncleat.core.record import Join
from dandelioncleat.standin.log import MemoryLog
from tests.builders.configuration import build_key

BOOTSTRAP = build_key(99)
SIDECAR = Incarnation('gpu-1/1')


class OperatorServer(NamedTuple):
    """A router's parts and the address of its operator interface."""

    log: MemoryLog
    url: str
    configuration: ConfigurationKeeper
    fleet: FleetKeeper
    shards: Shards
    peers: 'FakePeers'


class CommandResult(NamedTuple):
    """How a command ended and what it printed."""

    code: int
    output: str
    errors: str

    @property
    def document(self) -> Any:
        """Return the output as JSON."""
        return json.loads(self.output)


class FakePeers:
    """Answers calls with statuses, by address."""

    def __init__(self) -> None:
        """Start with no reachable peer."""
        self.status_by_address: dict[str, Status] = {}

    async def call(
        self, address: str, message: Message, *, timeout_s: float
    ) -> Message:
        """Return the status of an address."""
        status = self.status_by_address.get(address)
        if status is None:
            raise failure_error(
                Code.UNREACHABLE, step='call', peer=address, text='refused'
            )
        return status


@contextlib.asynccontextmanager
async def running_operator_server(
    log: MemoryLog | None = None,
) -> AsyncIterator[OperatorServer]:
    """Run one router's operator interface, with a member of each role."""
    log = log or MemoryLog()
    producer = Incarnation('router-1/1')
    keeper = ConfigurationKeeper(log=log, producer=producer)
    fleet = FleetKeeper(log=log, producer=producer)
    shards = Shards(
        log=log, producer=producer, configuration=lambda: keeper.current
    )
    peers = FakePeers()

    def own_status() -> Status:
        version, digest = keeper.current[:2]
        return Status(producer, 'router', 'ready', version, digest, b'{}')

    backend = OperatorBackend(
        configuration=keeper,
        fleet=fleet,
        ledger=ShardedLedgerView(shards),
        peers=peers,
        own_status=own_status,
        bootstrap=BOOTSTRAP.entry,
    )
    application = web.Application()
    add_operator_routes(application, backend)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    group = asyncio.TaskGroup()
    async with group:
        tasks = [
            group.create_task(keeper.run()),
            group.create_task(fleet.run()),
        ]
        await fleet.submit(
            Join(producer, 'router', 'klang-a', 'router-1'),
            Join(SIDECAR, 'sidecar', 'klang-a', 'gpu-1', 'dues-1', 'dues-llm'),
        )
        keeper.on_change(lambda: start_shards(shards, group, tasks))
        yield OperatorServer(
            log, f'http://127.0.0.1:{port}', keeper, fleet, shards, peers
        )
        for task in tasks:
            task.cancel()
    await runner.cleanup()


def start_shards(
    shards: Shards, group: asyncio.TaskGroup, tasks: list[asyncio.Task]
) -> None:
    """Follow the shards in tasks that are cancelled at the end."""

    class Recorder:
        def create_task(self, coroutine: Any) -> None:
            tasks.append(group.create_task(coroutine))

    shards.start(Recorder())


async def run_operator(
    server: OperatorServer, *words: str, key: str = BOOTSTRAP.text
) -> CommandResult:
    """Run an operator command in a thread, as a shell would."""
    return await asyncio.to_thread(_run_operator, server.url, words, key)


def _run_operator(url: str, words: tuple[str, ...], key: str) -> CommandResult:
    output = io.StringIO()
    errors = io.StringIO()
    with contextlib.ExitStack() as stack:
        stack.enter_context(contextlib.redirect_stdout(output))
        stack.enter_context(contextlib.redirect_stderr(errors))
        key_file = stack.enter_context(_file(key))
        options = ('--router', url, '--key-file', key_file)
        code = main(['operator', *words, *options])
    return CommandResult(code, output.getvalue(), errors.getvalue())


@contextlib.contextmanager
def _file(text: str) -> Any:
    with tempfile.NamedTemporaryFile('w') as file:
        file.write(text)
        file.flush()
        yield file.name
