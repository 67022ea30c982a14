"""Decides whether a run may begin without a claim in a log outage."""

import asyncio

from dandelioncleat.app.guard_notices import GuardNotices
from dandelioncleat.app.home_parts import HomeParts
from dandelioncleat.core.configuration import LogOutagePolicy, Service

GUARD_AFTER_S = 40.0
MAX_LIST_AGE_S = 5.0
MIN_OUTAGE_S = 3.0


def guard_after_s(service: Service) -> float:
    """Return the guard time that a service's policy sets, 0 for none."""
    if service.on_log_outage is LogOutagePolicy.GUARDED:
        return GUARD_AFTER_S
    return 0


class LogGuard:
    """Lets a slot's owner permit runs from memory during a log outage.

    It may do so if all sidecars that could take the slot over were notified,
    or if the log was silent for the guard time that the owner declared and
    the platform lists its host, so that no other sidecar regards the owner
    as stopped.
    """

    def __init__(self, parts: HomeParts, notices: GuardNotices) -> None:
        """Take the home's components and the notices to other sidecars."""
        self._parts = parts
        self._notices = notices
        self._released: frozenset[int] = frozenset()

    def release(self, slots: tuple[int, ...]) -> None:
        """Permit no run for slots whose guard is about to end."""
        self._released = frozenset(slots)

    def end_release(self) -> None:
        """Apply the slots' own guard again."""
        self._released = frozenset()

    def is_log_out(self, service: Service) -> bool:
        """Return whether a call should not wait for the log.

        A guarded service need not wait. Any other service would refuse the
        call, so it does that only once the outage is no short disturbance.
        """
        outage = self._parts.follower.outage
        if guard_after_s(service) > 0:
            return outage.is_on
        return outage.lasted_s() >= MIN_OUTAGE_S

    async def permits(self, service: Service, number: int) -> bool:
        """Return whether a run of a slot may begin now."""
        if not self._is_still_owner(service, number):
            return False
        if self._is_log_silent(number):
            return True
        if not self._parts.follower.log_failing:
            return False
        return await self._notices.notify_all() and self._is_still_owner(
            service, number
        )

    def _is_still_owner(self, service: Service, number: int) -> bool:
        """Return whether no other owner can have opened the slot."""
        parts = self._parts
        slot = parts.claims.slot(number)
        if slot.guard_after_s <= 0 or guard_after_s(service) <= 0:
            return False
        if number in self._released:
            return False
        if slot.owner != parts.incarnation or parts.is_closed():
            return False
        if parts.claims.log_time < slot.closed_until:
            return False
        now = asyncio.get_running_loop().time()
        return now - parts.follower.current_at < slot.window_s

    def _is_log_silent(self, number: int) -> bool:
        parts = self._parts
        now = asyncio.get_running_loop().time()
        silence_s = now - parts.follower.last_answer_at
        if silence_s < parts.claims.slot(number).guard_after_s:
            return False
        return parts.hosts.is_listed(parts.incarnation, within_s=MAX_LIST_AGE_S)
