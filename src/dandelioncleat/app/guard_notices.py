"""Notifies other sidecars before a request runs without a claim."""

import asyncio

from dandelioncleat.app.home_parts import HomeParts
from dandelioncleat.core.failure import Code, FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import Accepted, NoteGuard, Refusal
from dandelioncleat.ports.peer import Peers

NOTICE_TIMEOUT_S = 1.0
GONE_S = 60.0
NOTICE_STEP = 'note_guard'


class GuardNotices:
    """Keeps the notices of other owners, and sends those of this process.

    A process that an owner notified must assume that the owner has unrecorded
    runs, until the log shows that the owner has read on: the owner's claims
    are appended before that.
    """

    def __init__(self, parts: HomeParts, peers: Peers) -> None:
        """Take the home's dependencies and the connections to peers."""
        self._parts = parts
        self._peers = peers
        self._notified_at_by_owner: dict[Incarnation, float] = {}
        self._taken_over: frozenset[Incarnation] = frozenset()
        self._accepted_at: float | None = None

    def accept(self, notice: NoteGuard) -> Accepted | Refusal:
        """Note that an owner is about to run requests without a claim."""
        if notice.owner in self._taken_over:
            # The takeover may already be in the log.
            return Refusal(
                Code.CONFLICT,
                NOTICE_STEP,
                self._parts.incarnation,
                'the slots are being taken over',
            )
        told = self._notified_at_by_owner.get(notice.owner, float(0))
        self._notified_at_by_owner[notice.owner] = max(told, notice.seen)
        return Accepted()

    def is_notified_by(self, owner: Incarnation) -> bool:
        """Return whether an owner would have notified this process."""
        return self._parts.claims.readers.knows(owner, self._parts.incarnation)

    def has_no_unrecorded_runs(self, owner: Incarnation) -> bool:
        """Return whether a stopped owner left no unrecorded runs."""
        told = self._notified_at_by_owner.get(owner)
        if not self.is_notified_by(owner):
            return False
        return told is None or self._seen_by(owner) > told

    def begin_takeover(self, owners: frozenset[Incarnation]) -> None:
        """Refuse notices of these owners while a takeover is under way."""
        self._taken_over = owners

    def end_takeover(self) -> None:
        """Accept notices again after the takeover."""
        self._taken_over = frozenset()

    async def notify_all(self) -> bool:
        """Notify all that could take slots; return whether all accepted.

        The acceptance is valid until this process reads on in the log.
        """
        seen = self._parts.claims.log_time
        if self._accepted_at == seen:
            return True
        others = [
            candidate
            for candidate in self._parts.claims.readers.candidates
            if candidate != self._parts.incarnation
        ]
        notice = NoteGuard(self._parts.incarnation, seen)
        told = await asyncio.gather(
            *(self._notify(candidate, notice) for candidate in others),
        )
        if not all(told) or self._parts.claims.log_time != seen:
            return False
        self._accepted_at = seen
        return True

    def _seen_by(self, owner: Incarnation) -> float:
        return self._parts.claims.readers.seen_by(owner)

    async def _notify(
        self,
        candidate: Incarnation,
        notice: NoteGuard,
    ) -> bool:
        fold = self._parts.fleet.fold
        member = fold.members_by_incarnation.get(candidate)
        if self._parts.hosts.is_gone(candidate, for_s=GONE_S):
            return True
        if member is None:
            return False
        if member.ended or self._parts.has_successor(member):
            return True
        return await self._call(member.join.address, notice)

    async def _call(self, address: str, notice: NoteGuard) -> bool:
        try:
            reply = await self._peers.call(
                address,
                notice,
                timeout_s=NOTICE_TIMEOUT_S,
            )
        except FailureError:
            return False
        return isinstance(reply, Accepted)
