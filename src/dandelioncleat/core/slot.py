"""Slots of a service's key space, and who owns them."""

from typing import NamedTuple

import xxhash

from dandelioncleat.core.identity import Incarnation, RequestKey

MAX_SLOTS = 4096
MAX_WINDOW_S = 86400.0
CLOSED_WINDOWS = 2
NOBODY = Incarnation('')


class Slot(NamedTuple):
    """A part of a service's key space under one owner.

    ``epoch`` counts the owners. ``closed_until`` is the log time in seconds
    before which no claim is valid.
    """

    owner: Incarnation = NOBODY
    epoch: int = 0
    window_s: float = 3600.0
    guarded: bool = False
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


def taken_slot(
    slot: Slot,
    *,
    owner: Incarnation,
    window_s: float,
    guarded: bool,
    taken_at: float,
) -> Slot:
    """Return a slot after it was taken over.

    A guarded owner may not know for one window that it lost the slot, and
    its last request may be retried for one window more.

    :param window_s: how long claims are remembered, in seconds
    :param taken_at: log time of the takeover, in seconds
    """
    closed_until = slot.closed_until
    if slot.guarded and slot.owner != owner:
        closed_s = CLOSED_WINDOWS * slot.window_s
        closed_until = max(closed_until, taken_at + closed_s)
    return Slot(owner, slot.epoch + 1, window_s, guarded, closed_until)
