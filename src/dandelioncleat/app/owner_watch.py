"""Detects owners of slots that are silent or have stopped."""

import asyncio
from contextlib import suppress

from dandelioncleat.app.home_parts import HomeParts
from dandelioncleat.core.configuration import Service
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import AskStatus, Status
from dandelioncleat.ports.peer import Peers

PROBE_TIMEOUT_S = 1.0
SILENT_AFTER_PROBES = 3


class OwnerWatch:
    """Probes the owners of a service's slots."""

    def __init__(self, parts: HomeParts, peers: Peers) -> None:
        """Take the home's components and the peers to probe through."""
        self._parts = parts
        self._peers = peers
        self._misses_by_owner: dict[Incarnation, int] = {}

    def has_missed_probe(self, owner: Incarnation) -> bool:
        """Return whether an owner left the last probe unanswered."""
        return self._misses_by_owner.get(owner, 0) > 0

    def is_silent(self, owner: Incarnation) -> bool:
        """Return whether an owner left several probes unanswered."""
        return self._misses_by_owner.get(owner, 0) >= SILENT_AFTER_PROBES

    def has_stopped(self, owner: Incarnation) -> bool:
        """Return whether an owner is known to have stopped."""
        if self._parts.hosts.is_gone(owner):
            return True
        fold = self._parts.fleet.fold
        known = fold.members_by_incarnation.get(owner)
        if known is None:
            return False
        return known.ended or self._parts.has_successor(known)

    async def probe(self, service: Service) -> None:
        """Probe every other owner once."""
        slots = self._parts.claims.slots_by_number
        owners = sorted(
            {
                slots[number].owner
                for number in range(service.slots)
                if number in slots
            },
        )
        async with asyncio.TaskGroup() as group:
            for owner in owners:
                if owner != self._parts.incarnation:
                    group.create_task(self._probe_one(owner))

    async def _probe_one(self, owner: Incarnation) -> None:
        fold = self._parts.fleet.fold
        member = fold.members_by_incarnation.get(owner)
        if member is None or member.ended:
            return
        reply = None
        with suppress(FailureError):
            reply = await self._peers.call(
                member.join.address,
                AskStatus(),
                timeout_s=PROBE_TIMEOUT_S,
            )
        if isinstance(reply, Status) and reply.incarnation == owner:
            self._misses_by_owner.pop(owner, None)
        else:
            misses = self._misses_by_owner.get(owner, 0)
            self._misses_by_owner[owner] = misses + 1
