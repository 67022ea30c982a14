"""Dependencies shared by the components of a home."""

from collections.abc import Callable
from typing import NamedTuple

from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.host_watch import HostWatch
from dandelioncleat.app.stream import StreamFollower
from dandelioncleat.core.claim import ClaimFold, ClaimVerdict
from dandelioncleat.core.configuration import Configuration, Service
from dandelioncleat.core.fleet import SIDECAR, Member
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.record import ClaimRecord
from dandelioncleat.core.slot import MAX_WINDOW_S
from dandelioncleat.ports.telemetry import Telemetry

Follower = StreamFollower[ClaimRecord, ClaimVerdict]


class HomeParts(NamedTuple):
    """The dependencies of a home.

    ``is_closed`` returns whether this process neither takes over slots nor
    runs anything without a claim, because it has not joined or is leaving.
    """

    incarnation: Incarnation
    service_name: str
    configuration: Callable[[], Configuration]
    fleet: FleetKeeper
    hosts: HostWatch
    claims: ClaimFold
    follower: Follower
    telemetry: Telemetry
    is_closed: Callable[[], bool]

    def service(self) -> Service | None:
        """Return the service as configured."""
        return self.configuration().services_by_name.get(self.service_name)

    def window_s(self) -> float:
        """Return how long requests are remembered, in seconds."""
        policy = self.configuration().policy
        return min(policy.retry_window_s, MAX_WINDOW_S)

    def members(self) -> tuple[Member, ...]:
        """Return the live sidecars of the service."""
        return tuple(
            member
            for member in self.fleet.fold.live(SIDECAR)
            if member.join.service == self.service_name
        )

    def has_successor(self, member: Member) -> bool:
        """Return whether a newer process has taken a member's address."""
        address = member.join.address
        return any(
            other.join.address == address and other.offset > member.offset
            for other in self.members()
        )

    def may_still_answer(self, executor: Incarnation) -> bool:
        """Return whether an executor is not known to have ended."""
        member = self.fleet.fold.members_by_incarnation.get(executor)
        return member is not None and not member.ended
