"""Detects dead grant holders from the fleet and the host list."""

from enum import StrEnum
from typing import NamedTuple

from dandelioncleat.core.fleet import ROUTER, FleetFold, Member
from dandelioncleat.core.identity import Incarnation, host_of

ABSENCE_GRACE_S = 30.0
NEW_HOST_GRACE_S = 300.0
ENDED_GRACE_S = 30.0


class RetirementReason(StrEnum):
    """Why a holder is retired and its grants are fenced."""

    REPLACED = 'a newer incarnation joined at its host'
    ABSENT = 'its host is absent from the host list'
    ENDED = 'it ended and left grants open'


class DeadHolder(NamedTuple):
    """A holder that counts as dead, and why."""

    holder: Incarnation
    reason: RetirementReason


class HostAbsences:
    """Tracks since when each host is absent from the host list.

    A host that was never listed has a longer grace period, because the list
    lags behind new hosts.
    """

    def __init__(self) -> None:
        """Start with no list read."""
        self._absent_since_by_host: dict[str, float] = {}
        self._seen_hosts: dict[str, None] = {}

    def note(
        self,
        listed: tuple[str, ...],
        wanted: tuple[str, ...],
        now: float,
    ) -> None:
        """Apply a host list; ``wanted`` are the hosts to track."""
        self._seen_hosts.update(dict.fromkeys(listed))
        missing = [host for host in wanted if host not in listed]
        self._absent_since_by_host = {
            host: self._absent_since_by_host.get(host, now) for host in missing
        }

    def is_absent(self, host: str, now: float) -> bool:
        """Return whether a host's absence exceeds its grace period."""
        since = self._absent_since_by_host.get(host)
        if since is None:
            return False
        limit_s = (
            ABSENCE_GRACE_S if host in self._seen_hosts else NEW_HOST_GRACE_S
        )
        return now - since >= limit_s


class EndedHolders:
    """Tracks since when ended holders have open grants."""

    def __init__(self) -> None:
        """Start with no ended holder."""
        self._since_by_holder: dict[Incarnation, float] = {}

    def note(self, holders: tuple[Incarnation, ...], now: float) -> None:
        """Update the ended holders that have open grants."""
        self._since_by_holder = {
            holder: self._since_by_holder.get(holder, now) for holder in holders
        }

    def is_overdue(self, holder: Incarnation, now: float) -> bool:
        """Return whether the grace period for late records is over."""
        since = self._since_by_holder.get(holder)
        return since is not None and now - since >= ENDED_GRACE_S


def dead_holders(
    fleet: FleetFold,
    hosts: HostAbsences,
    ends: EndedHolders,
    now: float,
) -> tuple[DeadHolder, ...]:
    """Return the routers whose grants should be fenced."""
    newest = {member.join.incarnation for member in fleet.live(ROUTER)}
    dead: list[DeadHolder] = []
    for holder, member in fleet.members_by_incarnation.items():
        if member.join.role == ROUTER and not fleet.is_retired(holder):
            reason = _reason_to_retire(
                member,
                is_replaced=holder not in newest,
                is_absent=hosts.is_absent(host_of(holder), now),
                is_overdue=ends.is_overdue(holder, now),
            )
            if reason is not None:
                dead.append(DeadHolder(holder, reason))
    return tuple(dead)


def _reason_to_retire(
    member: Member,
    *,
    is_replaced: bool,
    is_absent: bool,
    is_overdue: bool,
) -> RetirementReason | None:
    if member.ended:
        return RetirementReason.ENDED if is_overdue else None
    if is_replaced:
        return RetirementReason.REPLACED
    return RetirementReason.ABSENT if is_absent else None
