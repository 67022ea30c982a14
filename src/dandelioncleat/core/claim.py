"""Claims of non-idempotent requests, applied in log order."""

from collections import OrderedDict
from enum import StrEnum
from typing import NamedTuple

import msgspec

from dandelioncleat.core.claim_readers import ClaimReaders, ReadersState
from dandelioncleat.core.identity import (
    Digest,
    Incarnation,
    RequestKey,
    RunId,
    request_key_of,
)
from dandelioncleat.core.record import (
    Claim,
    ClaimRecord,
    Outcome,
    Seal,
    TakeSlots,
)
from dandelioncleat.core.slot import (
    MAX_SLOTS,
    MAX_WINDOW_S,
    NO_OWNER,
    Slot,
    reopens_at,
    taken_slot,
)


class VoidReason(StrEnum):
    """Why a record of a claim stream has no effect."""

    STALE = 'stale'
    CLOSED = 'closed'
    CONFLICT = 'conflict'
    SEALED = 'sealed'
    INVALID = 'invalid'
    UNCLAIMED = 'unclaimed'


class SlotsTaken(NamedTuple):
    """Names the slots that a record took over."""

    slots: tuple[int, ...]


class Claimed(NamedTuple):
    """Permits the one run of a request."""

    run: RunId


class AlreadyClaimed(NamedTuple):
    """Names the claim that a request already has."""

    claim: 'LiveClaim'


class Noted(NamedTuple):
    """Confirms an outcome or a seal."""


class Void(NamedTuple):
    """States that a record has no effect, and who owns its slot."""

    reason: VoidReason
    owner: Incarnation = NO_OWNER


ClaimVerdict = SlotsTaken | Claimed | AlreadyClaimed | Noted | Void


class LiveClaim(NamedTuple):
    """The valid claim of a request until the log time ``expires_at``.

    ``status`` is the HTTP status of the run, ``None`` if it is unknown.
    """

    body: Digest
    run: RunId
    executor: Incarnation
    expires_at: float
    status: int | None = None
    sealed: bool = False


class _State(NamedTuple):
    log_time: float
    slots: tuple[tuple[int, Slot], ...]
    readers: ReadersState
    claims: tuple[tuple[RequestKey, LiveClaim], ...]


class ClaimFold:
    """Grants at most one run to each request of a service."""

    def __init__(self) -> None:
        """Start with unowned slots and no claims."""
        self.slots_by_number: dict[int, Slot] = {}
        self.log_time = float(0)
        self.readers = ClaimReaders()
        self._claim_by_request: OrderedDict[RequestKey, LiveClaim] = (
            OrderedDict()
        )

    def slot(self, number: int) -> Slot:
        """Return a slot; before its first owner it has epoch 0."""
        return self.slots_by_number.get(number, Slot())

    def claim_of(self, request: RequestKey) -> LiveClaim | None:
        """Return a request's claim unless it has expired."""
        claim = self._claim_by_request.get(request)
        if claim is None or claim.expires_at <= self.log_time:
            return None
        return claim

    def apply(
        self,
        offset: int,
        appended_at: float,
        producer: Incarnation,
        record: ClaimRecord,
    ) -> ClaimVerdict:
        """Apply one record and return its verdict.

        :param offset: offset of the entry in the stream
        :param appended_at: log time of the append, in seconds
        :param producer: the process that appended the record
        """
        self.log_time = max(self.log_time, appended_at)
        self._expire()
        match record:
            case TakeSlots():
                return self._take_slots(producer, record)
            case Claim():
                return self._claim(producer, record)
            case Seal():
                return self._seal(producer, record)
            case Outcome():
                return self._record_outcome(producer, record)

    def snapshot(self) -> bytes:
        """Encode the state for a checkpoint."""
        return msgspec.msgpack.encode(
            _State(
                self.log_time,
                tuple(self.slots_by_number.items()),
                self.readers.snapshot(),
                tuple(self._claim_by_request.items()),
            ),
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a checkpoint."""
        state = msgspec.msgpack.decode(data, type=_State)
        self.log_time = state.log_time
        self.slots_by_number = dict(state.slots)
        self.readers.restore(state.readers)
        self._claim_by_request = OrderedDict(state.claims)

    def _take_slots(
        self, producer: Incarnation, record: TakeSlots
    ) -> ClaimVerdict:
        if not _is_valid_takeover(producer, record):
            return Void(VoidReason.INVALID)
        self.readers.add_candidate(record.owner, self.log_time)
        taken = []
        for number, epoch in zip(record.slots, record.epochs, strict=True):
            slot = self.slot(number)
            if slot.epoch != epoch:
                continue
            taken.append(number)
            closed_until = reopens_at(
                slot,
                record,
                seen=self.readers.seen_by(slot.owner),
                taken_at=self.log_time,
            )
            self.slots_by_number[number] = taken_slot(
                slot,
                record,
                closed_until=closed_until,
            )
        self.readers.note_seen(record.owner, record.seen)
        self.readers.retain_owners(
            slot.owner for slot in self.slots_by_number.values()
        )
        return SlotsTaken(tuple(taken))

    def _claim(self, producer: Incarnation, record: Claim) -> ClaimVerdict:
        slot = self.slot(record.slot)
        if producer != record.run.home:
            return Void(VoidReason.INVALID, slot.owner)
        if not _is_current(slot, producer, record.epoch):
            return Void(VoidReason.STALE, slot.owner)
        if self.log_time < slot.closed_until:
            return Void(VoidReason.CLOSED, slot.owner)
        rejection = self._claim_rejection(record)
        if rejection is not None:
            return rejection
        self._claim_by_request.pop(record.request, None)
        self._claim_by_request[record.request] = LiveClaim(
            record.body,
            record.run,
            record.executor,
            self.log_time + slot.window_s,
        )
        return Claimed(record.run)

    def _claim_rejection(self, record: Claim) -> AlreadyClaimed | Void | None:
        if request_key_of(record.run) != record.request:
            return Void(VoidReason.INVALID)
        existing = self.claim_of(record.request)
        if existing is None:
            return None
        if existing.body != record.body:
            return Void(VoidReason.CONFLICT)
        if not existing.sealed:
            return AlreadyClaimed(existing)
        if record.run.attempt <= existing.run.attempt:
            return Void(VoidReason.SEALED)
        return None

    def _seal(self, producer: Incarnation, record: Seal) -> ClaimVerdict:
        slot = self.slot(record.slot)
        if not _is_current(slot, producer, record.epoch):
            return Void(VoidReason.STALE, slot.owner)
        existing = self.claim_of(record.request)
        if existing is None or existing.run.attempt != record.attempt:
            return Void(VoidReason.UNCLAIMED)
        if existing.status is not None:
            return AlreadyClaimed(existing)
        self._claim_by_request[record.request] = existing._replace(sealed=True)
        return Noted()

    def _record_outcome(
        self,
        producer: Incarnation,
        record: Outcome,
    ) -> ClaimVerdict:
        request = request_key_of(record.run)
        existing = self.claim_of(request)
        if existing is None or existing.run != record.run:
            return Void(VoidReason.UNCLAIMED)
        if producer not in {existing.executor, existing.run.home}:
            return Void(VoidReason.INVALID)
        if existing.sealed:
            return Void(VoidReason.SEALED)
        self._claim_by_request[request] = existing._replace(
            status=record.status
        )
        return Noted()

    def _expire(self) -> None:
        while self._claim_by_request:
            request, oldest = next(iter(self._claim_by_request.items()))
            if oldest.expires_at > self.log_time:
                return
            self._claim_by_request.pop(request)


def _is_current(slot: Slot, producer: Incarnation, epoch: int) -> bool:
    return slot.owner == producer and slot.epoch == epoch


def _is_valid_takeover(producer: Incarnation, record: TakeSlots) -> bool:
    if producer != record.owner or len(record.slots) != len(record.epochs):
        return False
    if not 0 < record.window_s <= MAX_WINDOW_S:
        return False
    return all(0 <= number < MAX_SLOTS for number in record.slots)
