"""Collects the state of the fleet for operators."""

import asyncio
from collections.abc import Callable

import msgspec

from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.configuration import Target
from dandelioncleat.core.decoding import UnreadableError, decode_bytes
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.fleet import ROUTER, SIDECAR, Member
from dandelioncleat.core.identity import Digest, Incarnation
from dandelioncleat.core.message import AskStatus, Status
from dandelioncleat.core.operator_view import (
    FleetView,
    HolderView,
    MemberView,
    SuspectView,
    TargetView,
)
from dandelioncleat.ports.ledger_view import LedgerView
from dandelioncleat.ports.peer import Peers

STATUS_TIMEOUT_S = 2.0
CONCURRENT_CALLS = 64


class FleetStatus:
    """Builds views of the fleet from its members and the local folds."""

    def __init__(
        self,
        *,
        configuration: ConfigurationKeeper,
        fleet: FleetKeeper,
        ledger: LedgerView,
        peers: Peers,
        own_status: Callable[[], Status],
    ) -> None:
        """Take the router's own state and the peers to ask."""
        self._configuration = configuration
        self._fleet = fleet
        self._ledger = ledger
        self._peers = peers
        self._own_status = own_status

    async def fleet(self) -> FleetView:
        """Return every process's state and what needs an operator's action."""
        members = await self._members()
        current = self._configuration.current
        newest = max((current.version, *(item.version for item in members)))
        return FleetView(
            version=current.version,
            digest=current.digest,
            log_failing=self._configuration.log_failing,
            members=members,
            lagging=tuple(
                member.incarnation
                for member in members
                if member.version < newest
            ),
            diverged=tuple(
                member.incarnation
                for member in members
                if self._is_diverged(member)
            ),
            stranded=self._stranded(),
            quarantined=self._quarantined(),
        )

    def holders(self) -> tuple[HolderView, ...]:
        """Return the tokens held by each holder and budget."""
        return tuple(
            HolderView(
                holder=holder,
                budget=budget,
                tokens=tokens,
                state=self._state_of(holder),
                waiting=self._fleet.fold.retirements.waiting_for(holder),
            )
            for holder, held in sorted(self._ledger.holdings().items())
            for budget, tokens in sorted(held.items())
        )

    def targets(self) -> tuple[TargetView, ...]:
        """Return every target with its sidecars."""
        targets = self._configuration.current.targets_by_name.values()
        return tuple(self._target(target) for target in targets)

    async def _members(self) -> tuple[MemberView, ...]:
        limit = asyncio.Semaphore(CONCURRENT_CALLS)
        fold = self._fleet.fold
        members = (*fold.live(ROUTER), *fold.live(SIDECAR))
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._ask(member, limit))
                for member in members
            ]
        return tuple(task.result() for task in tasks)

    async def _ask(
        self,
        member: Member,
        limit: asyncio.Semaphore,
    ) -> MemberView:
        if member.join.incarnation == self._own_status().incarnation:
            return _view_of(member, self._own_status())
        async with limit:
            try:
                reply = await self._peers.call(
                    member.join.address,
                    AskStatus(),
                    timeout_s=STATUS_TIMEOUT_S,
                )
            except FailureError as error:
                return _unreachable(member, error.failure.text)
        if isinstance(reply, Status):
            return _view_of(member, reply)
        return _unreachable(member, 'the process returned no status')

    def _stranded(self) -> tuple[HolderView, ...]:
        try:
            holders = self.holders()
        except FailureError:
            return ()
        return tuple(view for view in holders if view.waiting)

    def _is_diverged(self, member: MemberView) -> bool:
        entries = self._configuration.fold.history.entries_by_version
        entry = entries.get(member.version)
        return entry is not None and entry.digest != member.digest

    def _target(self, target: Target) -> TargetView:
        sidecars = tuple(
            member.join.incarnation
            for member in self._fleet.fold.live(SIDECAR)
            if member.join.target == target.name
        )
        return TargetView(
            name=target.name,
            service=target.service,
            data_centre=target.data_centre,
            slots=target.slots,
            drain=target.drain,
            sidecars=sidecars,
        )

    def _state_of(self, holder: Incarnation) -> str:
        fold = self._fleet.fold
        if fold.is_retired(holder):
            waits = bool(fold.retirements.waiting_for(holder))
            return 'draining' if waits else 'retired'
        member = fold.members_by_incarnation.get(holder)
        if member is None:
            return 'unknown'
        if member.ended:
            return 'ended'
        return 'leaving' if member.leaving else 'live'

    def _quarantined(self) -> tuple[SuspectView, ...]:
        limit = self._configuration.current.policy.poison_crashes
        counts = self._fleet.fold.quarantine.snapshot().counts
        return tuple(
            SuspectView(digest, crashes, crashes >= limit)
            for digest, crashes in counts
        )


def _view_of(member: Member, status: Status) -> MemberView:
    return MemberView(
        incarnation=status.incarnation,
        role=status.role,
        data_centre=member.join.data_centre,
        address=member.join.address,
        state=status.state,
        version=status.version,
        digest=status.digest,
        details=_details(status.details),
    )


def _unreachable(member: Member, text: str) -> MemberView:
    return MemberView(
        incarnation=member.join.incarnation,
        role=member.join.role,
        data_centre=member.join.data_centre,
        address=member.join.address,
        state='unreachable',
        version=0,
        digest=Digest(''),
        details={'text': text},
    )


def _details(data: bytes) -> object:
    try:
        return decode_bytes(msgspec.json.decode, data or b'null')
    except UnreadableError:
        return None
