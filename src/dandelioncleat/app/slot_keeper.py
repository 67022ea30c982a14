"""Takes over the slots of owners that are gone, by way of the log."""

import asyncio
from contextlib import suppress

import structlog

from dandelioncleat.app.home_parts import HomeParts
from dandelioncleat.app.log_guard import guard_after_s
from dandelioncleat.core.claim import ClaimVerdict, SlotsTaken
from dandelioncleat.core.configuration import Service
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.fleet import Member
from dandelioncleat.core.home import home_order
from dandelioncleat.core.identity import Incarnation, RequestKey
from dandelioncleat.core.message import AskStatus, Status
from dandelioncleat.core.record import TakeSlots
from dandelioncleat.core.slot import Slot
from dandelioncleat.ports.peer import Peers

CHECK_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
PROBES_TO_DOUBT = 3
RANK_DELAY_S = 2.0
DOUBT_DELAY_S = 60.0
RENEWAL_S = 8.0

_logger = structlog.get_logger(__name__)


class SlotKeeper:
    """Owns slots for this process and watches the other owners.

    A free slot goes to the first live sidecar in its rendezvous order; the
    others follow one after the other if that one does not take it.
    """

    def __init__(self, parts: HomeParts, peers: Peers) -> None:
        """Take the home's surroundings and the way to probe owners."""
        self._parts = parts
        self._hosts = parts.hosts
        self._peers = peers
        self._misses_by_owner: dict[Incarnation, int] = {}
        self._free_since_by_slot: dict[int, float] = {}
        self._renewed_at: float = 0

    async def run(self) -> None:
        """Check and take over until cancelled."""
        await self._parts.follower.caught_up.wait()
        while True:
            service = self._parts.service()
            if service is not None and not self._parts.closed():
                await self._probe_owners(service)
                await self._take(service)
                await self._renew()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def end_guard(self) -> None:
        """Declare that this process permits nothing without a claim.

        Return once all that this process submitted before is in the log.
        """
        await self._submit(self._guarded_slots(), guard_s=0)

    async def _take(self, service: Service) -> None:
        guard_s = guard_after_s(service)
        members = self._parts.members()
        wanted = tuple(
            number
            for number in range(service.slots)
            if self._wants(number, members, guard_s)
        )
        if not wanted:
            return
        replaced = tuple(
            number for number in wanted if self._has_stopped(number, members)
        )
        others = tuple(number for number in wanted if number not in replaced)
        if replaced:
            await self._submit(replaced, guard_s=guard_s, replaced=True)
        if others:
            await self._submit(others, guard_s=guard_s)

    async def _renew(self) -> None:
        """Let the log show that this owner reads it."""
        now = asyncio.get_running_loop().time()
        is_due = now - self._renewed_at >= RENEWAL_S
        if is_due and self._guarded_slots():
            await self._submit((), guard_s=0)

    def _guarded_slots(self) -> tuple[int, ...]:
        slots = self._parts.claims.slots_by_number
        return tuple(
            number
            for number, slot in slots.items()
            if slot.guard_after_s > 0 and slot.owner == self._parts.incarnation
        )

    def _wants(
        self,
        number: int,
        members: tuple[Member, ...],
        guard_s: float,
    ) -> bool:
        slot = self._parts.claims.slot(number)
        if slot.owner == self._parts.incarnation:
            terms = (slot.guard_after_s, slot.window_s)
            return terms != (guard_s, self._parts.window_s())
        if not self._is_free(slot, members):
            self._free_since_by_slot.pop(number, None)
            return False
        now = asyncio.get_running_loop().time()
        since = self._free_since_by_slot.setdefault(number, now)
        delay_s = RANK_DELAY_S * self._rank(number, members)
        if slot.guard_after_s > 0 and not self._has_stopped(number, members):
            # A takeover closes the slot, so that the owner gets more time.
            delay_s += DOUBT_DELAY_S
        return now - since >= delay_s

    def _is_free(self, slot: Slot, members: tuple[Member, ...]) -> bool:
        for member in members:
            if member.join.incarnation == slot.owner and not member.leaving:
                misses = self._misses_by_owner.get(slot.owner, 0)
                return misses >= PROBES_TO_DOUBT
        return True

    def _has_stopped(self, number: int, members: tuple[Member, ...]) -> bool:
        """Return whether a slot's owner is known to run no more."""
        owner = self._parts.claims.slot(number).owner
        if self._hosts.is_gone(owner):
            return True
        fold = self._parts.fleet.fold
        known = fold.members_by_incarnation.get(owner)
        if known is None:
            return False
        return known.ended or any(
            member.join.address == known.join.address
            and member.join.incarnation != owner
            for member in members
        )

    def _rank(self, number: int, members: tuple[Member, ...]) -> int:
        candidates = [
            member.join.incarnation
            for member in members
            if not member.leaving
            and not self._hosts.is_leaving(member.join.incarnation)
            and not self._misses_by_owner.get(member.join.incarnation, 0)
        ]
        place = RequestKey(self._parts.service_name, str(number))
        order = home_order(place, candidates)
        if self._parts.incarnation not in order:
            return len(order)
        return order.index(self._parts.incarnation)

    async def _submit(
        self,
        slots: tuple[int, ...],
        *,
        guard_s: float,
        replaced: bool = False,
    ) -> None:
        self._renewed_at = asyncio.get_running_loop().time()
        claims = self._parts.claims
        record = TakeSlots(
            owner=self._parts.incarnation,
            slots=slots,
            epochs=tuple(claims.slot(number).epoch for number in slots),
            window_s=self._parts.window_s(),
            guard_after_s=guard_s,
            seen=claims.log_time,
            replaced=replaced,
        )
        with suppress(FailureError):
            self._note(await self._parts.follower.submit(record))

    def _note(self, verdicts: tuple[ClaimVerdict, ...]) -> None:
        verdict = verdicts[0]
        if isinstance(verdict, SlotsTaken) and verdict.slots:
            self._parts.telemetry.count('home.slots_taken', len(verdict.slots))
            _logger.info(
                'slots taken',
                service=self._parts.service_name,
                slots=len(verdict.slots),
            )

    async def _probe_owners(self, service: Service) -> None:
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
                    group.create_task(self._probe(owner))

    async def _probe(self, owner: Incarnation) -> None:
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
