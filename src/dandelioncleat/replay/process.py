"""A replayed process: it is held, ended, and started anew."""

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
from dandelioncleat.replay.facts import Span, VersionFact
from dandelioncleat.replay.hold import HeldHostList, HeldLog, Hold
from dandelioncleat.standin.host_list import MemoryHostList
from dandelioncleat.standin.log import MemoryLog


class Surroundings(NamedTuple):
    """What all processes of a replay share."""

    network: MemoryNetwork
    log: MemoryLog
    host_list: MemoryHostList
    log_delay_s: Callable[[str], float | None]
    versions: list[VersionFact]
    absences: list[Span]


class Ports(NamedTuple):
    """The ports of one start of a process, and what every process keeps."""

    incarnation: Incarnation
    hold: Hold
    log: HeldLog
    host_list: HeldHostList
    peers: MemoryPeers
    configuration: ConfigurationKeeper
    fleet: FleetKeeper
    bills: BillSender


class Daemon(Protocol):
    """What a start of a process makes: a router or a sidecar with its tasks."""

    async def run(self) -> None:
        """Run until cancelled."""

    async def stop(self) -> None:
        """Stop as planned."""


class Process:
    """Starts, holds and ends the incarnations of one process."""

    def __init__(
        self,
        name: str,
        *,
        data_centre: str,
        surroundings: Surroundings,
    ) -> None:
        """Take the process's name, which is also its host and address."""
        self.name = name
        self.data_centre = data_centre
        self.ports: Ports | None = None
        self._callers: set[asyncio.Task[None]] = set()
        self.stopping = False
        self._surroundings = surroundings
        self._starts = 0
        self._endpoint = Endpoint()
        self._task: asyncio.Task[None] | None = None
        self._away_since = _now()
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
    def alive(self) -> bool:
        """Return whether the process runs and is not paused."""
        return self.started and self._endpoint.running.is_set()

    def open_ports(self) -> Ports:
        """Make the ports of a new incarnation."""
        around = self._surroundings
        self._starts += 1
        self._endpoint = around.network.open(self.name)
        incarnation = Incarnation(f'{self.name}/{self._starts}')
        hold = Hold(self._endpoint.running)
        log = HeldLog(
            around.log,
            hold,
            delay_s=lambda: around.log_delay_s(self.data_centre),
        )
        configuration = ConfigurationKeeper(log=log, producer=incarnation)
        configuration.on_change(self._note_version)
        fleet = FleetKeeper(log=log, producer=incarnation)
        peers = MemoryPeers(
            around.network,
            address=self.name,
            incarnation=incarnation,
            version=lambda: configuration.current.version,
            on_version=lambda *_: None,
        )
        self.ports = Ports(
            incarnation,
            hold,
            log,
            HeldHostList(around.host_list, hold),
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
        if self._starts == 1:
            around.host_list.set_live(self.name, self.data_centre)
        return self.ports

    def serve(self, daemon: Daemon, handler: PeerHandler) -> None:
        """Run a daemon at this process's address."""
        self._daemon = daemon
        self._endpoint.handler = handler
        self._task = asyncio.create_task(daemon.run())
        absence = Span(self.name, self._away_since, _now())
        self._surroundings.absences.append(absence)

    async def run_for_caller(self, work: Coroutine[Any, Any, None]) -> None:
        """Run what a caller waits for; a crash of the process cuts it."""
        task = asyncio.create_task(work)
        self._callers.add(task)
        await asyncio.wait((task,))
        self._callers.discard(task)
        if not task.cancelled():
            _check(task.exception())

    async def pass_through(self) -> None:
        """Wait out a pause; what a held process says is not heard."""
        if self.ports is not None:
            await self.ports.hold.pass_through()

    def pause(self) -> None:
        """Hold the process."""
        self._endpoint.running.clear()
        self._away_since = _now()

    def resume(self) -> None:
        """Let a held process go on as if no time had passed."""
        self._endpoint.running.set()
        absence = Span(self.name, self._away_since, _now())
        self._surroundings.absences.append(absence)

    async def crash(self) -> None:
        """End the process without a word."""
        self._away_since = _now()
        if self.ports is not None:
            self.ports.hold.dead = True
        await self._end()

    async def stop(self) -> None:
        """Stop the process as planned."""
        if self._daemon is None:
            return
        self.stopping = True
        await self._daemon.stop()
        self._away_since = _now()
        await self._end()
        self.stopping = False

    async def _end(self) -> None:
        self._surroundings.network.close(self.name)
        self._endpoint.running.set()
        tasks = list(self._callers)
        if self._task is not None:
            tasks.append(self._task)
        self._task = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _note_version(self) -> None:
        if self.ports is not None:
            version = self.ports.configuration.current.version
            fact = VersionFact(_now(), self.name, version)
            self._surroundings.versions.append(fact)


def _check(error: BaseException | None) -> None:
    """Raise an error that is no failure of the fleet but a fault in it."""
    if error is not None and not isinstance(error, FailureError):
        raise error


def _now() -> float:
    return asyncio.get_running_loop().time()
