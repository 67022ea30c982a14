"""Slots of a service's key space and their owners."""

from typing import NamedTuple

import xxhash

from dandelioncleat.core.identity import Incarnation, RequestKey
from dandelioncleat.core.record import TakeSlots

MAX_SLOTS = 4096
MAX_WINDOW_S = 86400.0
CLOSED_WINDOWS = 2
GUARD_MARGIN_S = 10.0
NO_OWNER = Incarnation('')


class Slot(NamedTuple):
    """A part of a service's key space under one owner.

    ``epoch`` counts the takeovers. ``closed_until`` is the log time in seconds
    before which no claim is valid.
    """

    owner: Incarnation = NO_OWNER
    epoch: int = 0
    window_s: float = 3600.0
    guard_after_s: float = float(0)
    closed_until: float = float(0)


def key_bytes(request: RequestKey) -> bytes:
    """Encode a request's key so that no two keys share an encoding."""
    size = len(request.organisation)
    return f'{size}:{request.organisation}{request.key}'.encode()


def slot_of(request: RequestKey, slots: int) -> int:
    """Return the slot of a request.

    :param slots: number of slots of the request's service
    """
    return xxhash.xxh3_64_intdigest(key_bytes(request)) % slots


def taken_slot(slot: Slot, record: TakeSlots, *, closed_until: float) -> Slot:
    """Return a slot after it was taken over.

    :param closed_until: log time before which no claim is valid
    """
    return Slot(
        record.owner,
        slot.epoch + 1,
        record.window_s,
        record.guard_after_s,
        max(slot.closed_until, closed_until),
    )


def reopens_at(
    slot: Slot,
    record: TakeSlots,
    *,
    seen: float,
    taken_at: float,
) -> float:
    """Return the log time from which a slot accepts claims after a takeover.

    A guarded owner may not know for one window that it lost the slot, and
    its last request may be retried for one window more. An owner that is
    known to have stopped before its guard began leaves nothing unrecorded.

    :param seen: newest log time that the previous owner is known to have read
    :param taken_at: log time of the takeover
    """
    if slot.guard_after_s <= 0 or slot.owner == record.owner:
        return float(0)
    unseen_s = taken_at - seen
    if record.replaced and unseen_s < slot.guard_after_s - GUARD_MARGIN_S:
        return float(0)
    return taken_at + CLOSED_WINDOWS * slot.window_s
