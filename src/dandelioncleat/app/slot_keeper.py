"""Takes over the slots of owners that are gone, by way of the log."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

import structlog

from dandelioncleat.app._ticker import Ticker
from dandelioncleat.app.guard_notices import GuardNotices
from dandelioncleat.app.home_parts import HomeParts
from dandelioncleat.app.log_guard import LogGuard, guard_after_s
from dandelioncleat.app.owner_watch import OwnerWatch
from dandelioncleat.core.claim import ClaimVerdict, SlotsTaken
from dandelioncleat.core.configuration import Service
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.record import TakeSlots
from dandelioncleat.core.slot import Slot
from dandelioncleat.core.slot_ranking import SlotRanking

CHECK_INTERVAL_S = 1.0
RANK_DELAY_S = 2.0
SILENT_DELAY_S = 900.0
STRANGER_DELAY_S = 60.0
RENEWAL_S = 8.0

_logger = structlog.get_logger(__name__)


class SlotKeeper:
    """Owns slots for this process and watches the other owners.

    A free slot goes to the first live sidecar in its rendezvous order; the
    others follow one after the other if that one does not take it. A slot
    of a live owner moves to the first once that has been so for a while.
    """

    def __init__(
        self,
        parts: HomeParts,
        *,
        guard: LogGuard,
        notices: GuardNotices,
        owners: OwnerWatch,
        unrecorded: Callable[[], int],
    ) -> None:
        """Take the home's surroundings and what is known of the owners.

        :param unrecorded: gives the number of runs that the log lacks
        """
        self._guard = guard
        self._unrecorded = unrecorded
        self._ranking = SlotRanking(parts.service_name)
        self.ticker = Ticker()
        self._owners = owners
        self._parts = parts
        self._notices = notices
        self._hosts = parts.hosts
        self._free_since_by_slot: dict[int, float] = {}
        self._renewed_at: float = 0

    async def run(self) -> None:
        """Check and take over until cancelled."""
        await self._parts.follower.caught_up.wait()
        while True:
            service = self._parts.service()
            if service is not None and not self._parts.is_closed():
                await self._renew()
                await self._owners.probe(service)
                await self._take(service)
            await self.ticker.wait(CHECK_INTERVAL_S)

    async def end_guard(self) -> None:
        """Declare that this process permits nothing without a claim.

        Return once all that this process submitted before is in the log.
        """
        await self._submit(self._guarded_slots(), guard_s=0)

    async def _take(self, service: Service) -> None:
        now = asyncio.get_running_loop().time()
        self._ranking.update(self._candidates(), service.slots, now)
        guard_s = guard_after_s(service)
        numbers = range(service.slots)
        released = tuple(one for one in numbers if self._is_to_release(one))
        if released:
            await self._release(released)
        wanted = tuple(one for one in numbers if self._wants(one, guard_s))
        vouched = tuple(one for one in wanted if self._may_vouch(one))
        others = tuple(one for one in wanted if one not in vouched)
        if vouched:
            claims = self._parts.claims
            owners = frozenset(claims.slot(one).owner for one in vouched)
            self._notices.begin_takeover(owners)
            await self._submit(vouched, guard_s=guard_s, replaced=True)
            self._notices.end_takeover()
        if others:
            await self._submit(others, guard_s=guard_s)

    async def _release(self, slots: tuple[int, ...]) -> None:
        """End the guard of slots, so that another may take them at once."""
        self._guard.release(slots)
        await self._submit(slots, guard_s=0)
        self._guard.end_release()

    async def _renew(self) -> None:
        """Let the log show that this owner reads it."""
        now = asyncio.get_running_loop().time()
        is_due = now - self._renewed_at >= RENEWAL_S
        # The first record lets owners know whom to tell of their guard.
        is_first = not self._renewed_at
        if is_first or (is_due and self._guarded_slots()):
            await self._submit((), guard_s=0)

    def _guarded_slots(self) -> tuple[int, ...]:
        slots = self._parts.claims.slots_by_number
        return tuple(
            number
            for number, slot in slots.items()
            if slot.guard_after_s > 0 and slot.owner == self._parts.incarnation
        )

    def _wants(self, number: int, guard_s: float) -> bool:
        slot = self._parts.claims.slot(number)
        now = asyncio.get_running_loop().time()
        own = self._parts.incarnation
        is_due = self._ranking.is_settled(number, now)
        is_first = self._ranking.first(number) == own
        if slot.owner == own:
            terms = (slot.guard_after_s, slot.window_s)
            is_kept = is_first or not is_due
            return is_kept and terms != (guard_s, self._parts.window_s())
        if self._is_free(slot):
            since = self._free_since_by_slot.setdefault(number, now)
            delay_s = RANK_DELAY_S * self._ranking.rank(number, own)
            return now - since >= delay_s + self._doubt_delay_s(slot)
        self._free_since_by_slot.pop(number, None)
        return is_first and is_due and slot.guard_after_s <= 0

    def _is_to_release(self, number: int) -> bool:
        """Return whether a guarded slot of this process has a better owner."""
        slot = self._parts.claims.slot(number)
        if slot.owner != self._parts.incarnation or slot.guard_after_s <= 0:
            return False
        if self._parts.follower.log_failing or self._unrecorded():
            return False
        now = asyncio.get_running_loop().time()
        is_first = self._ranking.first(number) == self._parts.incarnation
        return not is_first and self._ranking.is_settled(number, now)

    def _doubt_delay_s(self, slot: Slot) -> float:
        """Return how long to leave a slot that a takeover would close."""
        if slot.guard_after_s <= 0:
            return 0
        if not self._owners.has_stopped(slot.owner):
            return SILENT_DELAY_S
        return (
            0 if self._notices.is_notified_by(slot.owner) else STRANGER_DELAY_S
        )

    def _candidates(self) -> tuple[Incarnation, ...]:
        """Return the sidecars that could own slots, this one among them."""
        return tuple(
            member.join.incarnation
            for member in self._parts.members()
            if not member.leaving
            and not self._hosts.is_leaving(member.join.incarnation)
            and not self._owners.missed(member.join.incarnation)
        )

    def _is_free(self, slot: Slot) -> bool:
        for member in self._parts.members():
            if member.join.incarnation == slot.owner and not member.leaving:
                return self._owners.is_silent(slot.owner)
        return True

    def _may_vouch(self, number: int) -> bool:
        owner = self._parts.claims.slot(number).owner
        if not self._owners.has_stopped(owner):
            return False
        return self._notices.has_no_unrecorded_runs(owner)

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
        taken = 0
        with suppress(FailureError):
            taken = _taken(await self._parts.follower.submit(record))
        if taken:
            self._parts.telemetry.count('home.slots_taken', taken)
            service = self._parts.service_name
            _logger.info('slots taken', service=service, slots=taken)


def _taken(verdicts: tuple[ClaimVerdict, ...]) -> int:
    """Return how many slots a record took over."""
    verdict = verdicts[0]
    return len(verdict.slots) if isinstance(verdict, SlotsTaken) else 0
