"""Takes over the slots of owners that are gone, by way of the log."""

import asyncio
from contextlib import suppress

import structlog

from dandelioncleat.app._ticker import Ticker
from dandelioncleat.app.guard_notices import GuardNotices
from dandelioncleat.app.home_parts import HomeParts
from dandelioncleat.app.log_guard import guard_after_s
from dandelioncleat.app.owner_watch import OwnerWatch
from dandelioncleat.core.claim import ClaimVerdict, SlotsTaken
from dandelioncleat.core.configuration import Service
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.fleet import Member
from dandelioncleat.core.home import home_order
from dandelioncleat.core.identity import RequestKey
from dandelioncleat.core.record import TakeSlots
from dandelioncleat.core.slot import Slot

CHECK_INTERVAL_S = 1.0
RANK_DELAY_S = 2.0
SILENT_DELAY_S = 900.0
STRANGER_DELAY_S = 60.0
RENEWAL_S = 8.0

_logger = structlog.get_logger(__name__)


class SlotKeeper:
    """Owns slots for this process and watches the other owners.

    A free slot goes to the first live sidecar in its rendezvous order; the
    others follow one after the other if that one does not take it.
    """

    def __init__(
        self,
        parts: HomeParts,
        notices: GuardNotices,
        owners: OwnerWatch,
    ) -> None:
        """Take the home's surroundings and what is known of the owners."""
        self.ticker = Ticker()
        self._owners = owners
        self._parts = parts
        self._notices = notices
        self._hosts = parts.hosts
        self._free_since_by_slot: dict[int, float] = {}
        self._renewed_at: float = 0
        self._is_announced = False

    async def run(self) -> None:
        """Check and take over until cancelled."""
        await self._parts.follower.caught_up.wait()
        while True:
            service = self._parts.service()
            if service is not None and not self._parts.closed():
                await self._announce()
                await self._owners.probe(service)
                await self._take(service)
                await self._renew()
            await self.ticker.wait(CHECK_INTERVAL_S)

    async def end_guard(self) -> None:
        """Declare that this process permits nothing without a claim.

        Return once all that this process submitted before is in the log.
        """
        await self._submit(self._guarded_slots(), guard_s=0)

    async def _announce(self) -> None:
        """Let owners know whom to tell before they run without a claim."""
        if not self._is_announced:
            self._is_announced = True
            await self._submit((), guard_s=0)

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
        vouched = tuple(number for number in wanted if self._may_vouch(number))
        others = tuple(number for number in wanted if number not in vouched)
        if vouched:
            slots = self._parts.claims
            owners = frozenset(slots.slot(number).owner for number in vouched)
            self._notices.begin_vouching(owners)
            await self._submit(vouched, guard_s=guard_s, replaced=True)
            self._notices.end_vouching()
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
        delay_s += self._doubt_delay_s(slot)
        return now - since >= delay_s

    def _doubt_delay_s(self, slot: Slot) -> float:
        """Return how long to leave a slot that a takeover would close."""
        if slot.guard_after_s <= 0:
            return 0
        if not self._owners.has_stopped(slot.owner):
            return SILENT_DELAY_S
        return 0 if self._notices.is_known_to(slot.owner) else STRANGER_DELAY_S

    def _rank(self, number: int, members: tuple[Member, ...]) -> int:
        """Return how many live sidecars come before this one."""
        candidates = [
            member.join.incarnation
            for member in members
            if not member.leaving
            and not self._hosts.is_leaving(member.join.incarnation)
            and not self._owners.missed(member.join.incarnation)
        ]
        place = RequestKey(self._parts.service_name, str(number))
        order = home_order(place, candidates)
        own = self._parts.incarnation
        return order.index(own) if own in order else len(order)

    def _is_free(self, slot: Slot, members: tuple[Member, ...]) -> bool:
        for member in members:
            if member.join.incarnation == slot.owner and not member.leaving:
                return self._owners.is_silent(slot.owner)
        return True

    def _may_vouch(self, number: int) -> bool:
        owner = self._parts.claims.slot(number).owner
        if not self._owners.has_stopped(owner):
            return False
        return self._notices.may_vouch_for(owner)

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
