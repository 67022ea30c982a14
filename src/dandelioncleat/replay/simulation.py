"""Runs the fleet of a trace in memory, on the event loop's clock."""

import asyncio
import random
from collections.abc import Iterator
from typing import Any

import msgspec

from dandelioncleat.adapters.memory_peers import MemoryNetwork
from dandelioncleat.app.router import Router
from dandelioncleat.app.router_parts import (
    RouterParts,
    RouterPorts,
    new_router_parts,
)
from dandelioncleat.app.sidecar import Sidecar, new_sidecar
from dandelioncleat.core.configuration import Policy, ServiceKind
from dandelioncleat.core.fleet import ROUTER
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.patch_verdict import PatchAccepted
from dandelioncleat.core.record import Join, Patch
from dandelioncleat.ports.telemetry import NullTelemetry
from dandelioncleat.replay.ground_truth import GroundTruth
from dandelioncleat.replay.links import Links
from dandelioncleat.replay.process import Ports, Process, SharedEnvironment
from dandelioncleat.replay.process_gate import GatedTarget
from dandelioncleat.replay.standins import new_client, new_standin
from dandelioncleat.replay.trace import Deployment
from dandelioncleat.standin.host_list import MemoryHostList
from dandelioncleat.standin.log import MemoryLog

STOP_LIMIT_S = 120.0
READY_POLL_S = 0.05
STANDIN_FIELDS = frozenset(
    (
        'service_ms',
        'prefill_tokens_s',
        'decode_tokens_s',
        'kv_tokens',
        'checks_fencing',
    )
)


class DeploymentError(Exception):
    """Carries the verdict on a deployment that was rejected."""


class RouterDaemon:
    """A router with its background tasks, in one incarnation."""

    def __init__(self, parts: RouterParts) -> None:
        """Store the router and its parts."""
        self.parts = parts

    async def run(self) -> None:
        """Run until cancelled."""
        async with asyncio.TaskGroup() as group:
            for part in self.parts.tasks:
                group.create_task(part.run())

    async def stop(self) -> None:
        """Stop as planned."""
        await self.parts.router.stop(limit_s=STOP_LIMIT_S)


class SidecarDaemon:
    """A sidecar with its background tasks, in one incarnation."""

    def __init__(self, sidecar: Sidecar, ports: Ports) -> None:
        """Store the sidecar and its ports."""
        self.sidecar = sidecar
        self._ports = ports

    async def run(self) -> None:
        """Run until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._ports.configuration.run())
            group.create_task(self._ports.fleet.run())
            group.create_task(self._ports.bills.run())
            group.create_task(self.sidecar.run())

    async def stop(self) -> None:
        """Stop as planned."""
        await self.sidecar.stop()


class Simulation:
    """Holds the processes and stand-ins of one replay."""

    def __init__(
        self,
        deployment: Deployment,
        *,
        seed: int,
        policy: dict[str, Any],
    ) -> None:
        """Create the stand-ins; ``start`` creates the processes."""
        self.deployment = deployment
        self.log = MemoryLog(generator=random.Random(seed))
        self.host_list = MemoryHostList()
        self.links = Links(deployment)
        self.routers_by_name: dict[str, Process] = {}
        self.sidecars_by_target: dict[str, Process] = {}
        self.standins_by_target = {
            name: new_standin(name, deployment) for name in deployment.targets
        }
        self.ground_truth = GroundTruth(deployment, self.standins_by_target)
        self.log.on_append(self.ground_truth.record_entry)
        self._seed = seed
        self._policy = policy
        self.environment = SharedEnvironment(
            network=MemoryNetwork(self.links.delay_s),
            log=self.log,
            host_list=self.host_list,
            log_delay_s=self.links.log_delay_s,
            versions=[],
            absences=[],
        )

    async def start(self) -> None:
        """Start every process and wait until all are ready."""
        for name, data_centre in self.deployment.routers.items():
            process = self._new_process(name, data_centre)
            self.routers_by_name[name] = process
            self.start_router(process)
        for name, target in self.deployment.targets.items():
            process = self._new_process(name, target.data_centre)
            self.sidecars_by_target[name] = process
            self.start_sidecar(process)
        await self._submit_deployment()
        await self._wait_until_ready()

    def start_router(self, process: Process) -> None:
        """Start a new incarnation of a router."""
        ports = process.open_ports()
        join = Join(
            ports.incarnation,
            ROUTER,
            process.data_centre,
            process.name,
        )
        parts = new_router_parts(
            RouterPorts(
                ports.log,
                ports.host_list,
                ports.peers,
                ports.configuration,
                ports.fleet,
                NullTelemetry(),
            ),
            join=join,
            source=random.Random(f'{self._seed}/{ports.incarnation}'),
        )
        process.serve(RouterDaemon(parts), parts.handler)

    def start_sidecar(self, process: Process) -> None:
        """Start a new incarnation of a sidecar."""
        ports = process.open_ports()
        target = self.deployment.targets[process.name]
        standin = self.standins_by_target[process.name]
        sidecar = new_sidecar(
            incarnation=ports.incarnation,
            target=process.name,
            service=target.service,
            data_centre=process.data_centre,
            address=process.name,
            log=ports.log,
            host_list=ports.host_list,
            peers=ports.peers,
            target_client=GatedTarget(new_client(standin), ports.gate),
            configuration=ports.configuration,
            fleet=ports.fleet,
            bills=ports.bills,
            telemetry=NullTelemetry(),
        )
        process.serve(SidecarDaemon(sidecar, ports), sidecar)

    def router(self, name: str) -> Router | None:
        """Return a running router, paused or not."""
        daemon = self.routers_by_name[name].daemon
        return daemon.parts.router if isinstance(daemon, RouterDaemon) else None

    def is_ready(self, name: str) -> bool:
        """Return whether a router accepts requests and has read the ledger."""
        daemon = self.routers_by_name[name].daemon
        if not isinstance(daemon, RouterDaemon):
            return False
        parts = daemon.parts
        return parts.router.ready and parts.budgets.caught_up

    @property
    def ledger_shards(self) -> int:
        """Return the number of ledger shards that the policy sets."""
        return int(self._policy.get('ledger_shards', Policy().ledger_shards))

    def live_routers(self) -> Iterator[Incarnation]:
        """Yield the incarnations of routers that run now."""
        for process in self.routers_by_name.values():
            if process.started and process.ports is not None:
                yield process.ports.incarnation

    def has_free_slot(self, service: str, router: str) -> bool:
        """Return whether a target that a router can reach has a free slot."""
        return any(
            target.service == service
            and self.sidecars_by_target[name].responsive
            and self.links.delay_s(router, name) is not None
            and self.ground_truth.has_free_slot(name)
            for name, target in self.deployment.targets.items()
        )

    def is_log_reachable(self, router: str) -> bool:
        """Return whether a router can reach the log."""
        data_centre = self.deployment.routers[router]
        is_connected = self.links.log_delay_s(data_centre) is not None
        return is_connected and not self.log.outage

    async def _wait_until_ready(self) -> None:
        waiting = list(self.routers_by_name)
        while waiting:
            await asyncio.sleep(READY_POLL_S)
            waiting = [name for name in waiting if not self.is_ready(name)]

    def _new_process(self, name: str, data_centre: str) -> Process:
        return Process(
            name,
            data_centre=data_centre,
            environment=self.environment,
        )

    async def _submit_deployment(self) -> None:
        process = next(iter(self.routers_by_name.values()))
        if process.ports is None:
            raise RuntimeError('no router was started')
        body = {**deployment_patch(self.deployment), 'policy': self._policy}
        patch = Patch('deployment', 0, 'trace', msgspec.json.encode(body))
        verdict = await process.ports.configuration.submit(patch)
        if not isinstance(verdict, PatchAccepted):
            raise DeploymentError(verdict)


def deployment_patch(deployment: Deployment) -> dict[str, Any]:
    """Return the patch that configures a trace's deployment."""
    return {
        'services': {
            name: {
                'kind': line.kind,
                'models': [name] if line.kind == ServiceKind.MODEL else [],
                'price_tokens': line.price_tokens,
                'on_log_outage': line.on_log_outage,
                'checks_fencing': any(
                    target.checks_fencing
                    for target in deployment.targets.values()
                    if target.service == name
                ),
            }
            for name, line in deployment.services.items()
        },
        'targets': {
            name: {
                'service': line.service,
                'data_centre': line.data_centre,
                'slots': line.slots,
            }
            for name, line in deployment.targets.items()
        },
        'organisations': {
            name: {'budget': line.budget}
            for name, line in deployment.organisations.items()
        },
    }


def strip_standin_fields(
    patch: dict[str, dict[str, dict[str, object] | None]],
) -> dict[str, Any]:
    """Return a trace's patch without the fields that only stand-ins have."""
    return {
        table: {
            name: _entry_without_standin_fields(entry)
            for name, entry in entries.items()
        }
        for table, entries in patch.items()
    }


def _entry_without_standin_fields(
    entry: dict[str, object] | None,
) -> dict[str, object] | None:
    if entry is None:
        return None
    return {
        field: entry[field] for field in entry if field not in STANDIN_FIELDS
    }
