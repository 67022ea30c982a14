"""Tells other sidecars before a request runs without a claim."""

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
    """Keeps what owners told this process, and tells the others in turn.

    Who was told by an owner does not vouch that it left nothing unrecorded,
    until the log shows that the owner has read on: its claims come first.
    """

    def __init__(self, parts: HomeParts, peers: Peers) -> None:
        """Take the home's surroundings and the way to the others."""
        self._parts = parts
        self._peers = peers
        self._told_by_owner: dict[Incarnation, float] = {}
        self._vouched: frozenset[Incarnation] = frozenset()
        self._accepted_at: float | None = None

    def take(self, notice: NoteGuard) -> Accepted | Refusal:
        """Note that an owner runs requests without a claim from now on."""
        if notice.owner in self._vouched:
            # The log may open its slots already.
            return Refusal(
                Code.CONFLICT,
                NOTICE_STEP,
                self._parts.incarnation,
                'the slots are being taken over',
            )
        told = self._told_by_owner.get(notice.owner, float(0))
        self._told_by_owner[notice.owner] = max(told, notice.seen)
        return Accepted()

    def is_known_to(self, owner: Incarnation) -> bool:
        """Return whether an owner would have told this process."""
        return self._parts.claims.readers.knows(owner, self._parts.incarnation)

    def may_vouch_for(self, owner: Incarnation) -> bool:
        """Return whether a stopped owner left nothing unrecorded."""
        told = self._told_by_owner.get(owner)
        if not self.is_known_to(owner):
            return False
        return told is None or self._seen_by(owner) > told

    def begin_vouching(self, owners: frozenset[Incarnation]) -> None:
        """Refuse notices of these owners while a takeover is under way."""
        self._vouched = owners

    def end_vouching(self) -> None:
        """Accept notices again; the log shows the takeover."""
        self._vouched = frozenset()

    async def tell(self) -> bool:
        """Tell all that could take slots; return whether all accepted.

        What was accepted holds until this process reads on in the log.
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
            *(self._tell_one(candidate, notice) for candidate in others),
        )
        if not all(told) or self._parts.claims.log_time != seen:
            return False
        self._accepted_at = seen
        return True

    def _seen_by(self, owner: Incarnation) -> float:
        return self._parts.claims.readers.seen_by(owner)

    async def _tell_one(
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
        if member.ended or self._parts.is_succeeded(member):
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
