"""Sidecars in one process, with faults that a test switches on."""

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

WAIT_LIMIT_S = 2000
CONTEXT = CallContext(ROUTER, 1, '')


class FixedConfiguration:
    """A configuration keeper whose configuration the test sets."""

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
    """One process's connection to the log, which a test can block."""

    def __init__(self, log: MemoryLog) -> None:
        self._log = log
        self.connected = asyncio.Event()
        self.connected.set()

    async def append(self, stream: str, data: bytes) -> int:
        await self.connected.wait()
        return await self._log.append(stream, data)

    async def read(self, stream: str, **options):
        await self.connected.wait()
        page = await self._log.read(stream, **options)
        await self.connected.wait()
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
    """One process's connection to the host list, which can be cut off."""

    def __init__(self, hosts: FakeHostList) -> None:
        self._hosts = hosts
        self.is_cut_off = False

    async def hosts(self) -> tuple[HostState, ...]:
        if self.is_cut_off:
            raise failure_error(
                Code.UNREACHABLE, step='hosts', peer='list', text='cut off'
            )
        return await self._hosts.hosts()


class FakePeers:
    """Calls the sidecars of a test by address."""

    def __init__(self) -> None:
        self.sidecar_by_address: dict[str, Sidecar] = {}
        self.cut_off_hosts: set[str] = set()

    async def call(
        self, address: str, message: Message, *, timeout_s: float, **options
    ) -> Message:
        sidecar = self.sidecar_by_address.get(address)
        if sidecar is None or address in self.cut_off_hosts:
            raise failure_error(
                Code.UNREACHABLE, step='call', peer=address, text='cut off'
            )
        async for reply in sidecar.answer(message, CONTEXT):
            return reply
        raise AssertionError('no reply')


class GatedPeers:
    """One process's connection to its peers; a cut blocks both directions."""

    def __init__(self, peers: FakePeers, host: str) -> None:
        self._peers = peers
        self._host = host

    async def call(self, address: str, message: Message, **options) -> Message:
        if self._host in self._peers.cut_off_hosts:
            raise failure_error(
                Code.UNREACHABLE, step='call', peer=address, text='cut off'
            )
        return await self._peers.call(address, message, **options)


class Node:
    """One incarnation of a sidecar."""

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

    def owned_slots(self) -> int:
        """Return the number of slots that this node believes it owns."""
        return sum(
            slot.owner == self.incarnation
            for slot in self.claims.slots_by_number.values()
        )


class SidecarFleet:
    """Starts, partitions and kills sidecars that share a log."""

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
            await wait_until(lambda: node.sidecar.life.is_ready)
        return node

    async def kill(self, node: Node) -> None:
        """Kill a process without a graceful stop."""
        node.task.cancel()
        await asyncio.gather(node.task, return_exceptions=True)
        self.peers.sidecar_by_address.pop(host_of(node.incarnation), None)

    def partition(self, node: Node) -> None:
        """Partition a process from the log and from its peers."""
        node.log.connected.clear()
        self.peers.cut_off_hosts.add(host_of(node.incarnation))

    def reconnect(self, node: Node) -> None:
        """End the partition of a process."""
        node.log.connected.set()
        self.peers.cut_off_hosts.discard(host_of(node.incarnation))

    async def close(self) -> None:
        """Kill every process."""
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
    """Yield a fleet that is closed at the end."""
    fleet = SidecarFleet(service, **settings)
    try:
        yield fleet
    finally:
        await fleet.close()


def run_on_fleet(scenario, service: str = 'app', **settings) -> None:
    """Run a test's scenario on virtual time."""

    async def main() -> None:
        async with new_fleet(service, **settings) as fleet:
            await scenario(fleet)

    virtual_time.run(main())


async def wait_until(condition) -> float:
    """Wait in virtual time for a condition; return the seconds it took."""
    start = asyncio.get_running_loop().time()
    async with asyncio.timeout(WAIT_LIMIT_S):
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
    """Return an attach message for a key."""
    return Attach(
        RequestKey(organisation, key),
        service,
        Digest(body),
        idempotent,
        Incarnation('') if executor is None else executor.incarnation,
        age_ms,
    )
