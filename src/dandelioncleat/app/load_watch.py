"""Follows the load of the targets that a router places work on."""

import asyncio
import random
from collections.abc import Callable, Iterable

from dandelioncleat.app._watched_sidecars import watched_sidecars
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.host_watch import HostWatch
from dandelioncleat.app.target_record import SentRun, TargetRecord
from dandelioncleat.app.target_watch import TargetWatch
from dandelioncleat.core.fleet import SIDECAR
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.placement import Candidate
from dandelioncleat.core.record import Join
from dandelioncleat.ports.peer import Peers


class LoadWatch:
    """Keeps a record of each target in this router's subset."""

    def __init__(
        self,
        *,
        incarnation: Incarnation,
        peers: Peers,
        fleet: FleetKeeper,
        configuration: ConfigurationKeeper,
        hosts: HostWatch,
        source: random.Random,
    ) -> None:
        """Take the router's identity and what it learns of targets from."""
        self._incarnation = incarnation
        self._peers = peers
        self._fleet = fleet
        self._configuration = configuration
        self._hosts = hosts
        self._random = source
        self._watches: dict[Incarnation, TargetWatch] = {}
        self._records_by_service: dict[str, list[TargetRecord]] = {}
        self._ticket_count = 0
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when a target may have become available."""
        self._listeners.append(listener)

    def candidates(self, service: str) -> list[Candidate]:
        """Return the targets of a service that may take new work."""
        now = asyncio.get_running_loop().time()
        candidates = []
        for record in self._records_by_service.get(service, ()):
            candidate = record.candidate(now)
            if candidate and not self._is_leaving(record.join):
                candidates.append(candidate)
        return candidates

    def slots(self, service: str) -> int:
        """Return the slots of the targets that may take new work."""
        return sum(candidate.slots for candidate in self.candidates(service))

    def join_of(self, sidecar: Incarnation) -> Join | None:
        """Return the announcement of a live sidecar."""
        member = self._fleet.fold.members_by_incarnation.get(sidecar)
        if member is None or member.ended:
            return None
        return member.join

    def begin(self, sidecar: Incarnation, *, prompt: int, cap: int) -> int:
        """Count a run as sent to a target and return its ticket.

        :param prompt: upper bound of the prompt's tokens
        :param cap: upper bound of the output's tokens
        """
        self._ticket_count += 1
        now = asyncio.get_running_loop().time()
        watch = self._watches.get(sidecar)
        if watch is not None:
            watch.record.begin(
                self._ticket_count, SentRun(now, prompt + cap, prompt)
            )
        return self._ticket_count

    def mark_prompt_processed(self, sidecar: Incarnation, ticket: int) -> None:
        """Count a run's prompt as processed."""
        watch = self._watches.get(sidecar)
        if watch is not None:
            watch.record.mark_prompt_processed(ticket)

    def end(self, sidecar: Incarnation, ticket: int) -> None:
        """Count a run as ended."""
        watch = self._watches.get(sidecar)
        if watch is not None:
            watch.record.end(ticket, asyncio.get_running_loop().time())
        self._notify()

    def mark_full(self, sidecar: Incarnation) -> None:
        """Exclude a target that refused a run until its next report."""
        watch = self._watches.get(sidecar)
        if watch is not None:
            watch.record.is_full = True

    def mark_unreachable(self, sidecar: Incarnation) -> None:
        """Exclude a sidecar that could not be reached until its next report.

        Its watch is restarted.
        """
        watch = self._watches.get(sidecar)
        if watch is not None:
            watch.restart()

    async def run(self) -> None:
        """Watch until cancelled."""
        self._fleet.on_change(self.refresh)
        self._configuration.on_change(self.refresh)
        self._hosts.on_change(self._notify)
        self.refresh()
        try:
            await self._hosts.run()
        finally:
            for watch in self._watches.values():
                watch.stop()

    def refresh(self) -> None:
        """Watch the targets that the fleet and the configuration select."""
        joins = watched_sidecars(
            self._incarnation,
            self._fleet.fold.live(SIDECAR),
            self._configuration.current,
        )
        for sidecar in tuple(self._watches):
            if sidecar not in joins:
                self._watches.pop(sidecar).stop()
        for sidecar, join in joins.items():
            if sidecar not in self._watches:
                self._watches[sidecar] = TargetWatch(
                    TargetRecord(join),
                    peers=self._peers,
                    source=self._random,
                    listener=self._notify,
                )
        self._records_by_service = _group_by_service(self._watches.values())
        self._notify()

    def _is_leaving(self, join: Join) -> bool:
        target = self._configuration.current.targets_by_name.get(join.target)
        if target is None or target.drain:
            return True
        return self._hosts.is_leaving(join.incarnation)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _group_by_service(
    watches: Iterable[TargetWatch],
) -> dict[str, list[TargetRecord]]:
    groups: dict[str, list[TargetRecord]] = {}
    for watch in watches:
        group = groups.setdefault(watch.record.join.service, [])
        group.append(watch.record)
    return groups
