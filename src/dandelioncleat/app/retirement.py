"""Retires dead holders of grants and frees their tokens once drained.

Every router runs this. The routers act after staggered delays, in an order
that depends on the holder, so that usually only one of them appends the
records. The fold ignores duplicates.
"""

import asyncio
from contextlib import suppress
from typing import NamedTuple

import structlog

from dandelioncleat.app._shards import Shard, Shards
from dandelioncleat.app._turns import Turns
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.account import OpenGrant
from dandelioncleat.core.dead_holder import (
    DeadHolder,
    EndedHolders,
    HostAbsences,
    dead_holders,
)
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.fleet import ROUTER
from dandelioncleat.core.identity import BudgetId, Incarnation, host_of
from dandelioncleat.core.record import (
    CompleteRetirement,
    LedgerRecord,
    Retire,
)
from dandelioncleat.ports.host_list import HostList

CHECK_INTERVAL_S = 2.0

_log = structlog.get_logger()


class Stranded(NamedTuple):
    """Tokens of a retired holder that some sidecars have not drained."""

    holder: Incarnation
    budget: BudgetId
    tokens: int
    reason: str
    waiting: tuple[Incarnation, ...]


class Retirer:
    """Retires holders that are gone by the fleet and the host list."""

    def __init__(
        self,
        *,
        incarnation: Incarnation,
        fleet: FleetKeeper,
        hosts: HostList,
        shards: Shards,
    ) -> None:
        """Take this router's identity, the fleet, the hosts and the ledger."""
        self._incarnation = incarnation
        self._fleet = fleet
        self._hosts = hosts
        self._shards = shards
        self._host_absences = HostAbsences()
        self._ended_holders = EndedHolders()
        self._retire_turns = Turns(fleet.fold, incarnation)
        self._complete_turns = Turns(fleet.fold, incarnation)

    def stranded(self) -> tuple[Stranded, ...]:
        """Return the tokens that an operator may have to release."""
        found: list[Stranded] = []
        for holder, retirement in self._fleet.fold.retired_by_holder.items():
            found.extend(
                Stranded(
                    holder,
                    grant.budget,
                    grant.tokens,
                    retirement.reason,
                    retirement.waiting,
                )
                for grant in self._open_grants(holder)
            )
        return tuple(found)

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            with suppress(FailureError):
                await self._update_absences()
            if self._fleet.caught_up.is_set():
                await self._retire_dead_holders()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _update_absences(self) -> None:
        listed = tuple(state.host for state in await self._hosts.hosts())
        if host_of(self._incarnation) not in listed:
            return
        router_hosts = tuple(
            host_of(member.join.incarnation)
            for member in self._fleet.fold.live(ROUTER)
        )
        self._host_absences.note(listed, router_hosts, _now())

    async def _retire_dead_holders(self) -> None:
        self._ended_holders.note(self._ended_with_grants(), _now())
        dead = dead_holders(
            self._fleet.fold,
            self._host_absences,
            self._ended_holders,
            _now(),
        )
        with suppress(FailureError):
            for found in dead:
                await self._retire(found)
            for shard in tuple(self._shards.by_number.values()):
                await self._complete_retirements(shard)

    async def _retire(self, found: DeadHolder) -> None:
        if self._fleet.log_failing:
            return
        if self._retire_turns.is_mine(found.holder):
            await self._fleet.submit(Retire(found.holder, found.reason))
            _log.info('holder retired', **found._asdict())

    async def _complete_retirements(self, shard: Shard) -> None:
        records: list[LedgerRecord] = [
            CompleteRetirement(holder)
            for holder in shard.fold.accounts.grants_by_holder
            if self._fleet.fold.retirement_complete(holder)
            and self._complete_turns.is_mine(holder)
        ]
        if records and shard.is_available:
            await shard.follower.submit(*records)

    def _ended_with_grants(self) -> tuple[Incarnation, ...]:
        members = self._fleet.fold.members_by_incarnation.items()
        return tuple(
            holder
            for holder, member in members
            if member.ended and self._open_grants(holder)
        )

    def _open_grants(self, holder: Incarnation) -> tuple[OpenGrant, ...]:
        return tuple(
            grant
            for shard in self._shards.by_number.values()
            for grant in shard.fold.accounts.open_grants(holder)
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
