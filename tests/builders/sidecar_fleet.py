"""A few sidecars in memory, with faults that a test switches on."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from dandelioncleat.adapters import virtual_time
from dandelioncleat.app.billing import BillSender
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.sidecar import Sidecar, new_sidecar
from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.identity import (
    Digest,
    Incarnation,
    RequestKey,
    host_of,
)
from dandelioncleat.core.message import Attach, Message
from dandelioncleat.ports.host_list import HostState
from dandelioncleat.ports.peer import CallContext
from dandelioncleat.standin.log import MemoryLog
from tests.builders.sidecar import ROUTER, FakeTarget, new_configuration

PATIENCE_S = 2000
CONTEXT = CallContext(ROUTER, 1, '')


class FixedConfiguration:
    """A keeper whose configuration the test sets."""

    def __init__(self, current: Configuration) -> None:
        self.current = current
        self.caught_up = asyncio.Event()
        self.caught_up.set()
        self.listeners = []

    def on_change(self, listener) -> None:
        self.listeners.append(listener)

    def set(self, current: Configuration) -> None:
        self.current = current
        for listener in self.listeners:
            listener()


class GatedLog:
    """A log that one process cannot reach while its placement is closed."""

    def __init__(self, log: MemoryLog) -> None:
        self._log = log
        self.placement = asyncio.Event()
        self.placement.set()

    async def append(self, stream: str, data: bytes) -> int:
        await self.placement.wait()
        return await self._log.append(stream, data)

    async def read(self, stream: str, **options):
        await self.placement.wait()
        page = await self._log.read(stream, **options)
        await self.placement.wait()
        return page


class FakeHostList:
    """A host list that the test sets."""

    def __init__(self) -> None:
        self.leaving_by_host: dict[str, bool] = {}

    async def hosts(self) -> tuple[HostState, ...]:
        return tuple(
            HostState(host, 'klang-a', leaving)
            for host, leaving in self.leaving_by_host.items()
        )


class GatedHostList:
    """A host list that one process cannot reach while it is cut off."""

    def __init__(self, hosts: FakeHostList) -> None:
        self._hosts = hosts
        self.cut = False

    async def hosts(self) -> tuple[HostState, ...]:
        if self.cut:
            raise failure_error(
                Code.UNREACHABLE, step='hosts', peer='list', text='cut off'
            )
        return await self._hosts.hosts()


class FakePeers:
    """Calls sidecars of the same test by address."""

    def __init__(self) -> None:
        self.sidecar_by_address: dict[str, Sidecar] = {}
        self.cut: set[str] = set()

    async def call(
        self, address: str, message: Message, *, timeout_s: float, **options
    ) -> Message:
        sidecar = self.sidecar_by_address.get(address)
        if sidecar is None or address in self.cut:
            raise failure_error(
                Code.UNREACHABLE, step='call', peer=address, text='cut off'
            )
        async for reply in sidecar.answer(message, CONTEXT):
            return reply
        raise AssertionError('no reply')


class GatedPeers:
    """The calls of one process, which is cut off in both directions."""

    def __init__(self, peers: FakePeers, host: str) -> None:
        self._peers = peers
        self._host = host

    async def call(self, address: str, message: Message, **options) -> Message:
        if self._host in self._peers.cut:
            raise failure_error(
                Code.UNREACHABLE, step='call', peer=address, text='cut off'
            )
        return await self._peers.call(address, message, **options)


class Node:
    """One start of one sidecar."""

    def __init__(self, incarnation: Incarnation, log: GatedLog) -> None:
        self.incarnation = incarnation
        self.log = log
        self.hosts: GatedHostList | None = None
        self.target = FakeTarget()
        self.fleet = FleetKeeper(log=log, producer=incarnation)
        self.sidecar: Sidecar | None = None
        self.task: asyncio.Task | None = None

    async def ask(self, message: Message) -> Message:
        """Return the first reply to a call."""
        async for reply in self.sidecar.answer(message, CONTEXT):
            return reply
        raise AssertionError('no reply')

    def read(self, message: Message) -> asyncio.Task:
        """Collect the replies to a call in the background."""
        return asyncio.create_task(
            collect(self.sidecar.answer(message, CONTEXT))
        )

    @property
    def claims(self):
        """Return the fold of claims."""
        return self.sidecar.homes.follower.fold

    def owned(self) -> int:
        """Return the number of slots of this node in its own view."""
        return sum(
            slot.owner == self.incarnation
            for slot in self.claims.slots_by_number.values()
        )


class SidecarFleet:
    """Starts, parts and kills sidecars that share a log."""

    def __init__(self, service: str = 'app', **settings) -> None:
        self.service = service
        self.log = MemoryLog()
        self.hosts = FakeHostList()
        self.peers = FakePeers()
        self.configuration = FixedConfiguration(new_configuration(**settings))
        self.nodes: list[Node] = []
        self._starts = 0

    async def start(
        self, host: str, *, ready: bool = True, target: str = ''
    ) -> Node:
        """Start a sidecar and wait until it is ready."""
        self._starts += 1
        incarnation = Incarnation(f'{host}/{self._starts}')
        node = Node(incarnation, GatedLog(self.log))
        self.hosts.leaving_by_host[host] = False
        node.hosts = GatedHostList(self.hosts)
        bills = BillSender(
            log=node.log,
            incarnation=incarnation,
            configuration=lambda: self.configuration.current,
        )
        node.sidecar = new_sidecar(
            incarnation=incarnation,
            target=target or f'{self.service}-{host}',
            service=self.service,
            data_centre='klang-a',
            address=host,
            log=node.log,
            host_list=node.hosts,
            peers=GatedPeers(self.peers, host),
            target_client=node.target,
            configuration=self.configuration,
            fleet=node.fleet,
            bills=bills,
        )
        self.peers.sidecar_by_address[host] = node.sidecar
        node.task = asyncio.create_task(self._run(node, bills))
        self.nodes.append(node)
        if ready:
            await until(lambda: node.sidecar.life.is_ready)
        return node

    async def kill(self, node: Node) -> None:
        """End a process at once."""
        node.task.cancel()
        await asyncio.gather(node.task, return_exceptions=True)
        self.peers.sidecar_by_address.pop(host_of(node.incarnation), None)

    def part(self, node: Node) -> None:
        """Cut a process off from the log and from the others."""
        node.log.placement.clear()
        self.peers.cut.add(host_of(node.incarnation))

    def rejoin(self, node: Node) -> None:
        """End the partition of a process."""
        node.log.placement.set()
        self.peers.cut.discard(host_of(node.incarnation))

    async def close(self) -> None:
        """End every process."""
        for node in self.nodes:
            await self.kill(node)

    async def _run(self, node: Node, bills: BillSender) -> None:
        async with asyncio.TaskGroup() as group:
            keepers = [
                group.create_task(node.fleet.run()),
                group.create_task(bills.run()),
            ]
            await node.sidecar.run()
            for keeper in keepers:
                keeper.cancel()


@asynccontextmanager
async def new_fleet(
    service: str = 'app', **settings
) -> AsyncIterator[SidecarFleet]:
    """Give a fleet that is closed at the end."""
    fleet = SidecarFleet(service, **settings)
    try:
        yield fleet
    finally:
        await fleet.close()


def on_fleet(scenario, service: str = 'app', **settings) -> None:
    """Run a test's scenario on virtual time."""

    async def main() -> None:
        async with new_fleet(service, **settings) as fleet:
            await scenario(fleet)

    virtual_time.run(main())


async def until(condition) -> float:
    """Let virtual time pass until a condition holds; return how long."""
    start = asyncio.get_running_loop().time()
    async with asyncio.timeout(PATIENCE_S):
        while True:
            if condition():
                return asyncio.get_running_loop().time() - start
            await asyncio.sleep(0.1)


async def collect(messages) -> list[Message]:
    """Return all messages of an answer."""
    return [message async for message in messages]


def new_attach(
    key: str,
    executor: Node | None,
    *,
    organisation: str = 'org',
    body: str = 'body',
    service: str = 'app',
    idempotent: bool = False,
    age_ms: int = 0,
) -> Attach:
    """Return an attach of a key."""
    return Attach(
        RequestKey(organisation, key),
        service,
        Digest(body),
        idempotent,
        Incarnation('') if executor is None else executor.incarnation,
        age_ms,
    )
