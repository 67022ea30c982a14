"""A replayed process that can be paused, crashed, stopped and restarted."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, Protocol

from dandelioncleat.adapters.memory_peers import (
    Endpoint,
    MemoryNetwork,
    MemoryPeers,
)
from dandelioncleat.app.bill_relay import BillRelayClient
from dandelioncleat.app.billing import BillSender
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.relay_handler import live_routers
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.ports.peer import PeerHandler
from dandelioncleat.replay.facts import Interval, VersionFact
from dandelioncleat.replay.process_gate import (
    GatedHostList,
    GatedLog,
    ProcessGate,
)
from dandelioncleat.standin.host_list import MemoryHostList
from dandelioncleat.standin.log import MemoryLog


class SharedEnvironment(NamedTuple):
    """What all processes of a replay share."""

    network: MemoryNetwork
    log: MemoryLog
    host_list: MemoryHostList
    log_delay_s: Callable[[str], float | None]
    versions: list[VersionFact]
    absences: list[Interval]


class Ports(NamedTuple):
    """The ports and common services of one incarnation of a process."""

    incarnation: Incarnation
    gate: ProcessGate
    log: GatedLog
    host_list: GatedHostList
    peers: MemoryPeers
    configuration: ConfigurationKeeper
    fleet: FleetKeeper
    bills: BillSender


class Daemon(Protocol):
    """A router or sidecar with its tasks, run by one incarnation."""

    async def run(self) -> None:
        """Run until cancelled."""

    async def stop(self) -> None:
        """Stop as planned."""


class Process:
    """Starts, pauses and ends the incarnations of one process."""

    def __init__(
        self,
        name: str,
        *,
        data_centre: str,
        environment: SharedEnvironment,
    ) -> None:
        """Store the process's name, which is also its host and address."""
        self.name = name
        self.data_centre = data_centre
        self.ports: Ports | None = None
        self._callers: set[asyncio.Task[None]] = set()
        self.stopping = False
        self._environment = environment
        self._start_count = 0
        self._endpoint = Endpoint()
        self._task: asyncio.Task[None] | None = None
        self._absent_since = _now()
        self._daemon: Daemon | None = None

    @property
    def started(self) -> bool:
        """Return whether the process runs, paused or not."""
        return self._task is not None

    @property
    def daemon(self) -> Daemon | None:
        """Return what runs in the process."""
        return self._daemon if self.started else None

    @property
    def responsive(self) -> bool:
        """Return whether the process runs and is not paused."""
        return self.started and self._endpoint.running.is_set()

    def open_ports(self) -> Ports:
        """Make the ports of a new incarnation."""
        environment = self._environment
        self._start_count += 1
        self._endpoint = environment.network.open(self.name)
        incarnation = Incarnation(f'{self.name}/{self._start_count}')
        gate = ProcessGate(self._endpoint.running)
        log = GatedLog(
            environment.log,
            gate,
            delay_s=lambda: environment.log_delay_s(self.data_centre),
        )
        configuration = ConfigurationKeeper(log=log, producer=incarnation)
        configuration.on_change(self._record_version)
        fleet = FleetKeeper(log=log, producer=incarnation)
        peers = MemoryPeers(
            environment.network,
            address=self.name,
            incarnation=incarnation,
            version=lambda: configuration.current.version,
            on_version=lambda *_: None,
        )
        self.ports = Ports(
            incarnation,
            gate,
            log,
            GatedHostList(environment.host_list, gate),
            peers,
            configuration,
            fleet,
            BillSender(
                log=BillRelayClient(
                    log=log,
                    data_centre=self.data_centre,
                    peers=peers,
                    routers=lambda: live_routers(fleet),
                ),
                incarnation=incarnation,
                configuration=lambda: configuration.current,
            ),
        )
        if self._start_count == 1:
            environment.host_list.set_live(self.name, self.data_centre)
        return self.ports

    def serve(self, daemon: Daemon, handler: PeerHandler) -> None:
        """Run a daemon at this process's address."""
        self._daemon = daemon
        self._endpoint.handler = handler
        self._task = asyncio.create_task(daemon.run())
        absence = Interval(self.name, self._absent_since, _now())
        self._environment.absences.append(absence)

    async def run_for_caller(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work that a caller waits for; a crash cancels it."""
        task = asyncio.create_task(work)
        self._callers.add(task)
        await asyncio.wait((task,))
        self._callers.discard(task)
        if not task.cancelled():
            _raise_unexpected(task.exception())

    async def pass_through(self) -> None:
        """Wait while the process is paused; raise if it crashed."""
        if self.ports is not None:
            await self.ports.gate.pass_through()

    def pause(self) -> None:
        """Pause the process."""
        self._endpoint.running.clear()
        self._absent_since = _now()

    def resume(self) -> None:
        """Resume a paused process where it stopped."""
        self._endpoint.running.set()
        absence = Interval(self.name, self._absent_since, _now())
        self._environment.absences.append(absence)

    async def crash(self) -> None:
        """End the process without notice to its peers."""
        self._absent_since = _now()
        if self.ports is not None:
            self.ports.gate.crashed = True
        await self._end()

    async def stop(self) -> None:
        """Stop the process as planned."""
        if self._daemon is None:
            return
        self.stopping = True
        await self._daemon.stop()
        self._absent_since = _now()
        await self._end()
        self.stopping = False

    async def _end(self) -> None:
        self._environment.network.close(self.name)
        self._endpoint.running.set()
        tasks = list(self._callers)
        if self._task is not None:
            tasks.append(self._task)
        self._task = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _record_version(self) -> None:
        if self.ports is not None:
            version = self.ports.configuration.current.version
            fact = VersionFact(_now(), self.name, version)
            self._environment.versions.append(fact)


def _raise_unexpected(error: BaseException | None) -> None:
    """Raise any error that is not a reported failure, as it is a bug."""
    if error is not None and not isinstance(error, FailureError):
        raise error


def _now() -> float:
    return asyncio.get_running_loop().time()
