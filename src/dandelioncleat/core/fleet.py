"""The fleet: its members, its retired holders and its quarantine."""

from typing import NamedTuple

import msgspec

from dandelioncleat.core.fleet_verdict import FleetVerdict, Ignored, Noted
from dandelioncleat.core.identity import Incarnation, host_of
from dandelioncleat.core.poison import Quarantine, QuarantineState
from dandelioncleat.core.record import (
    Absolve,
    Crash,
    Drained,
    End,
    FleetRecord,
    Join,
    Leave,
    Replace,
    Retire,
)
from dandelioncleat.core.retirement import Retirement, Retirements

ROUTER = 'router'
SIDECAR = 'sidecar'

NO_OFFSET = -1


class Member(NamedTuple):
    """A process, as described by its records.

    ``replaced_at`` is the offset of the record that replaced a sidecar which
    did not end by itself, so that some of its work may never be billed.
    """

    join: Join
    offset: int
    leaving: bool = False
    ended: bool = False
    replaced_at: int = NO_OFFSET


class FleetFold:
    """Keeps the members, the retired holders and the quarantine.

    A retirement waits for every sidecar that joined before it. A sidecar
    that joins later reads the retirement before it takes any work. A sidecar
    that was replaced takes no new work, but tokens that its runs consumed may
    still be unbilled; retirements of holders that it could have served wait
    for it until an operator releases them.
    """

    def __init__(self) -> None:
        """Start with no member."""
        self.members_by_incarnation: dict[Incarnation, Member] = {}
        self.retirements = Retirements()
        self.quarantine = Quarantine()

    @property
    def retired_by_holder(self) -> dict[Incarnation, Retirement]:
        """Return the retirements by holder."""
        return self.retirements.by_holder

    def apply(
        self,
        offset: int,
        appended_at: float,
        producer: Incarnation,
        record: FleetRecord,
    ) -> FleetVerdict:
        """Apply one record and return its verdict."""
        match record:
            case Join():
                return self._join(record, offset)
            case Leave() | End():
                return self._leave(record)
            case Retire():
                return self._retire(record, offset, appended_at)
            case Drained():
                return self._drain(record)
            case Replace():
                return self._replace(record, offset)
            case Crash() | Absolve():
                return self._update_quarantine(record)

    def live(self, role: str) -> tuple[Member, ...]:
        """Return the members of a role that have not ended or been retired.

        Of several incarnations on one host, beside the same target if any,
        only the newest counts.
        """
        newest_by_host_and_target: dict[tuple[str, str], Member] = {}
        for incarnation, member in self.members_by_incarnation.items():
            if member.join.role == role and not member.ended:
                host_and_target = (host_of(incarnation), member.join.target)
                newest_by_host_and_target[host_and_target] = member
        return tuple(
            newest
            for newest in newest_by_host_and_target.values()
            if not self.is_retired(newest.join.incarnation)
        )

    def is_retired(self, holder: Incarnation) -> bool:
        """Return whether a holder's grants are refused."""
        return holder in self.retirements.by_holder

    def retirement_complete(self, holder: Incarnation) -> bool:
        """Return whether no sidecar can still spend a holder's grants."""
        is_retired = self.is_retired(holder)
        return is_retired and not self.retirements.waiting_for(holder)

    def snapshot(self) -> bytes:
        """Encode the state for a checkpoint."""
        return msgspec.msgpack.encode(
            _Snapshot(
                self.members_by_incarnation,
                self.retirements.by_holder,
                self.quarantine.snapshot(),
            ),
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a checkpoint."""
        state = msgspec.msgpack.decode(data, type=_Snapshot)
        self.members_by_incarnation = state.members
        self.retirements.by_holder = state.retired
        self.quarantine = Quarantine(state.quarantine)

    def _join(self, record: Join, offset: int) -> FleetVerdict:
        if record.incarnation in self.members_by_incarnation:
            return Ignored('the incarnation has joined already')
        if self.is_retired(record.incarnation):
            return Ignored('the incarnation is retired')
        self.members_by_incarnation[record.incarnation] = Member(record, offset)
        return Noted()

    def _leave(self, record: Leave | End) -> FleetVerdict:
        member = self.members_by_incarnation.get(record.incarnation)
        if member is None:
            return Ignored('the incarnation never joined')
        left = member._replace(leaving=True)
        if isinstance(record, End):
            left = left._replace(ended=True, replaced_at=NO_OFFSET)
            self.retirements.drain_all(record.incarnation)
        self.members_by_incarnation[record.incarnation] = left
        return Noted()

    def _retire(
        self,
        record: Retire,
        offset: int,
        appended_at: float,
    ) -> FleetVerdict:
        if self.is_retired(record.holder):
            return Ignored('the holder is retired already')
        holder = self.members_by_incarnation.get(record.holder)
        joined_at = NO_OFFSET if holder is None else holder.offset
        waiting = tuple(
            incarnation
            for incarnation, member in self.members_by_incarnation.items()
            if member.join.role == SIDECAR
            and _may_have_unbilled_runs(member, joined_at)
        )
        self.retirements.by_holder[record.holder] = Retirement(
            offset,
            appended_at,
            record.reason,
            waiting,
        )
        return Noted()

    def _drain(self, record: Drained) -> FleetVerdict:
        if record.sidecar not in self.retirements.waiting_for(record.holder):
            return Ignored('the retirement does not wait for the sidecar')
        self.retirements.drain(record.holder, record.sidecar)
        return Noted()

    def _replace(self, record: Replace, offset: int) -> FleetVerdict:
        member = self.members_by_incarnation.get(record.predecessor)
        if member is None or member.ended:
            return Ignored('the predecessor is not a member')
        if record.successor not in self.members_by_incarnation:
            return Ignored('the successor never joined')
        self.members_by_incarnation[record.predecessor] = member._replace(
            leaving=True,
            ended=True,
            replaced_at=offset,
        )
        return Noted()

    def _update_quarantine(self, record: Crash | Absolve) -> FleetVerdict:
        match record:
            case Crash():
                has_effect = self.quarantine.record(record)
            case Absolve():
                has_effect = self.quarantine.absolve(record.digest)
        return Noted() if has_effect else Ignored('quarantine unchanged')


def _may_have_unbilled_runs(sidecar: Member, holder_joined_at: int) -> bool:
    return not sidecar.ended or sidecar.replaced_at > holder_joined_at


class _Snapshot(msgspec.Struct, array_like=True):
    """The encoded form of the fleet's state."""

    members: dict[Incarnation, Member]
    retired: dict[Incarnation, Retirement]
    quarantine: QuarantineState
