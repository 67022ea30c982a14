"""Whether a run may begin without a claim while the log is out."""

import asyncio

from dandelioncleat.app.guard_notices import GuardNotices
from dandelioncleat.app.home_parts import HomeParts
from dandelioncleat.core.configuration import LogOutagePolicy, Service

GUARD_AFTER_S = 40.0
LIST_AGE_S = 5.0
KNOWN_OUTAGE_S = 3.0


def guard_after_s(service: Service) -> float:
    """Return the guard that a service's policy asks for, 0 for none."""
    if service.on_log_outage is LogOutagePolicy.GUARDED:
        return GUARD_AFTER_S
    return 0


class LogGuard:
    """Lets a slot's owner go by its own memory while the log is out.

    It may if all who could take the slot over were told of it, or if the
    log was silent for the time that the owner declared and the platform
    lists its host, so that no other takes it for stopped.
    """

    def __init__(self, parts: HomeParts, notices: GuardNotices) -> None:
        """Take the home's surroundings and the notices to the others."""
        self._parts = parts
        self._notices = notices
        self._released: frozenset[int] = frozenset()

    def release(self, slots: tuple[int, ...]) -> None:
        """Permit nothing for slots whose guard is about to end."""
        self._released = frozenset(slots)

    def end_release(self) -> None:
        """Go by the slots' own guard again."""
        self._released = frozenset()

    def is_log_out(self, service: Service) -> bool:
        """Return whether it is of little use to wait for the log.

        A guarded service need not wait; another one would refuse the call,
        and does so only once an outage is no mere hiccup.
        """
        outage = self._parts.follower.outage
        if guard_after_s(service) > 0:
            return outage.is_on
        return outage.lasted_s() >= KNOWN_OUTAGE_S

    async def permits(self, service: Service, number: int) -> bool:
        """Return whether a run of a slot may begin now."""
        if not self._is_open(service, number):
            return False
        if self._is_silent(number):
            return True
        if not self._parts.follower.log_failing:
            return False
        return await self._notices.notify_all() and self._is_open(
            service, number
        )

    def _is_open(self, service: Service, number: int) -> bool:
        """Return whether no other may have opened the slot since."""
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

    def _is_silent(self, number: int) -> bool:
        parts = self._parts
        now = asyncio.get_running_loop().time()
        silence_s = now - parts.follower.heard_at
        if silence_s < parts.claims.slot(number).guard_after_s:
            return False
        return parts.hosts.is_listed(parts.incarnation, within_s=LIST_AGE_S)
