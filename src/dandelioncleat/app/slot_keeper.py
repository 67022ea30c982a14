"""Takes over the slots of owners that are gone, through the log."""

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
UNSTOPPED_OWNER_DELAY_S = 900.0
UNNOTIFIED_DELAY_S = 60.0
RENEWAL_INTERVAL_S = 8.0

_logger = structlog.get_logger(__name__)


class SlotKeeper:
    """Takes and releases slots for this process.

    A free slot goes to the first live sidecar in its rendezvous order. If
    that one does not take it, the others follow with increasing delays. A
    slot with a live owner moves to the first sidecar once that order has
    been stable for a while.
    """

    def __init__(
        self,
        parts: HomeParts,
        *,
        guard: LogGuard,
        notices: GuardNotices,
        owners: OwnerWatch,
        unrecorded_runs: Callable[[], int],
    ) -> None:
        """Take the home's components and what is known of the owners.

        :param unrecorded_runs: returns the number of runs that the log lacks
        """
        self._guard = guard
        self._unrecorded_runs = unrecorded_runs
        self._ranking = SlotRanking(parts.service_name)
        self.ticker = Ticker()
        self._owners = owners
        self._parts = parts
        self._notices = notices
        self._hosts = parts.hosts
        self._free_since_by_slot: dict[int, float] = {}
        self._renewed_at: float = 0

    async def run(self) -> None:
        """Check the slots and take them over until cancelled."""
        await self._parts.follower.caught_up.wait()
        while True:
            service = self._parts.service()
            if service is not None and not self._parts.is_closed():
                await self._renew()
                await self._owners.probe(service)
                await self._take_over(service)
            await self.ticker.wait(CHECK_INTERVAL_S)

    async def end_guard(self) -> None:
        """Declare that this process permits no run without a claim.

        Return once all earlier records of this process are in the log.
        """
        await self._submit(self._guarded_slots(), guard_s=0)

    async def _take_over(self, service: Service) -> None:
        now = asyncio.get_running_loop().time()
        self._ranking.update(self._candidates(), service.slots, now)
        guard_s = guard_after_s(service)
        numbers = range(service.slots)
        released = tuple(
            number for number in numbers if self._should_release(number)
        )
        if released:
            await self._release(released)
        wanted = tuple(
            number for number in numbers if self._should_take(number, guard_s)
        )
        replaceable = tuple(
            number for number in wanted if self._has_no_unrecorded_runs(number)
        )
        others = tuple(number for number in wanted if number not in replaceable)
        if replaceable:
            claims = self._parts.claims
            owners = frozenset(
                claims.slot(number).owner for number in replaceable
            )
            self._notices.begin_takeover(owners)
            await self._submit(replaceable, guard_s=guard_s, replaced=True)
            self._notices.end_takeover()
        if others:
            await self._submit(others, guard_s=guard_s)

    async def _release(self, slots: tuple[int, ...]) -> None:
        """End the guard of slots, so that another may take them at once."""
        self._guard.release(slots)
        await self._submit(slots, guard_s=0)
        self._guard.end_release()

    async def _renew(self) -> None:
        """Append a record which shows that this owner reads the log."""
        now = asyncio.get_running_loop().time()
        is_due = now - self._renewed_at >= RENEWAL_INTERVAL_S
        # The first record makes owners notify this sidecar of their guard.
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

    def _should_take(self, number: int, guard_s: float) -> bool:
        slot = self._parts.claims.slot(number)
        now = asyncio.get_running_loop().time()
        own = self._parts.incarnation
        is_due = self._ranking.is_settled(number, now)
        is_preferred = self._ranking.preferred_owner(number) == own
        if slot.owner == own:
            guard_settings = (slot.guard_after_s, slot.window_s)
            is_kept = is_preferred or not is_due
            return is_kept and guard_settings != (
                guard_s,
                self._parts.window_s(),
            )
        if self._is_free(slot):
            since = self._free_since_by_slot.setdefault(number, now)
            delay_s = RANK_DELAY_S * self._ranking.rank(number, own)
            return now - since >= delay_s + self._guarded_delay_s(slot)
        self._free_since_by_slot.pop(number, None)
        return is_preferred and is_due and slot.guard_after_s <= 0

    def _should_release(self, number: int) -> bool:
        """Return whether another sidecar should own this guarded slot."""
        slot = self._parts.claims.slot(number)
        if slot.owner != self._parts.incarnation or slot.guard_after_s <= 0:
            return False
        if self._parts.follower.log_failing or self._unrecorded_runs():
            return False
        now = asyncio.get_running_loop().time()
        is_preferred = (
            self._ranking.preferred_owner(number) == self._parts.incarnation
        )
        return not is_preferred and self._ranking.is_settled(number, now)

    def _guarded_delay_s(self, slot: Slot) -> float:
        """Return how long to delay a takeover that would close the slot."""
        if slot.guard_after_s <= 0:
            return 0
        if not self._owners.has_stopped(slot.owner):
            return UNSTOPPED_OWNER_DELAY_S
        return (
            0
            if self._notices.is_notified_by(slot.owner)
            else UNNOTIFIED_DELAY_S
        )

    def _candidates(self) -> tuple[Incarnation, ...]:
        """Return the sidecars that could own slots, including this one."""
        return tuple(
            member.join.incarnation
            for member in self._parts.members()
            if not member.leaving
            and not self._hosts.is_leaving(member.join.incarnation)
            and not self._owners.has_missed_probe(member.join.incarnation)
        )

    def _is_free(self, slot: Slot) -> bool:
        for member in self._parts.members():
            if member.join.incarnation == slot.owner and not member.leaving:
                return self._owners.is_silent(slot.owner)
        return True

    def _has_no_unrecorded_runs(self, number: int) -> bool:
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
