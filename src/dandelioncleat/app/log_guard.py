"""Whether a run may begin without a claim while the log is out."""

import asyncio

from dandelioncleat.app.home_parts import HomeParts
from dandelioncleat.core.configuration import LogOutagePolicy, Service

GUARD_AFTER_S = 40.0
LIST_AGE_S = 5.0


def guard_after_s(service: Service) -> float:
    """Return the guard that a service's policy asks for, 0 for none."""
    if service.on_log_outage is LogOutagePolicy.GUARDED:
        return GUARD_AFTER_S
    return 0


def is_guarding(parts: HomeParts, service: Service, number: int) -> bool:
    """Return whether a slot's owner may go by its own memory now.

    It may once it has not heard from the log for the time that it declared,
    while the platform lists its host, so that no other takes it for stopped,
    and while no other may have opened the slot again.
    """
    slot = parts.claims.slot(number)
    if slot.guard_after_s <= 0 or guard_after_s(service) <= 0:
        return False
    if slot.owner != parts.incarnation or parts.closed():
        return False
    if parts.claims.log_time < slot.closed_until:
        return False
    if not parts.hosts.is_listed(parts.incarnation, within_s=LIST_AGE_S):
        return False
    now = asyncio.get_running_loop().time()
    if now - parts.follower.heard_at < slot.guard_after_s:
        return False
    return now - parts.follower.current_at < slot.window_s
