"""Homes of idempotent requests: where each runs and how it ended."""

from collections import OrderedDict
from collections.abc import Iterable
from functools import partial
from typing import NamedTuple

import xxhash

from dandelioncleat.core.failure import Code
from dandelioncleat.core.identity import (
    Digest,
    Incarnation,
    RequestKey,
    RunId,
    request_key_of,
)
from dandelioncleat.core.message import (
    Attach,
    Begin,
    Placed,
    Refusal,
    Report,
)
from dandelioncleat.core.slot import key_bytes

MAX_KEYS = 60_000
ATTACH_STEP = 'attach'


def home_order(
    request: RequestKey,
    members: Iterable[Incarnation],
) -> tuple[Incarnation, ...]:
    """Rank a service's sidecars as homes of a request, best first.

    The order of the others stays the same when one joins or leaves.
    """
    key = key_bytes(request)
    return tuple(sorted(members, key=partial(_rank, key)))


class KnownRequest(NamedTuple):
    """What a home remembers of a request.

    ``status`` is the HTTP status of a finished run, ``None`` before that.
    ``is_usable`` is false if the run never ran or its answer was lost, so
    that another run may begin.
    """

    body: Digest
    run: RunId
    executor: Incarnation
    attached_at: float
    status: int | None = None
    is_usable: bool = True


class Home:
    """Assigns runs to the idempotent requests whose home this process is."""

    def __init__(
        self,
        incarnation: Incarnation,
        *,
        max_keys: int = MAX_KEYS,
    ) -> None:
        """Set the process and the number of requests to remember."""
        self._incarnation = incarnation
        self._max_keys = max_keys
        self._known_by_request: OrderedDict[RequestKey, KnownRequest] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of requests that are remembered."""
        return len(self._known_by_request)

    def attach(self, attach: Attach, now: float) -> Begin | Placed | Refusal:
        """Begin a run of a request, or find the one that serves it.

        :param now: monotonic time in seconds
        """
        known = self._known_by_request.get(attach.request)
        if not attach.executor and (known is None or not known.is_usable):
            return run_not_found(self._incarnation)
        if known is None:
            return self._begin(attach, 1, now)
        if known.body != attach.body:
            return key_conflict(self._incarnation)
        if known.is_usable:
            self._remember(attach.request, known._replace(attached_at=now))
            return Placed(known.run, known.executor)
        return self._begin(attach, known.run.attempt + 1, now)

    def report(self, report: Report) -> None:
        """Record how a run ended; reports of earlier runs have no effect."""
        request = request_key_of(report.run)
        known = self._known_by_request.get(request)
        if known is None or known.run != report.run:
            return
        if known.status is not None and report.ran and report.status:
            return
        answered = report.ran and report.status > 0
        self._known_by_request[request] = known._replace(
            status=report.status if answered else None,
            is_usable=answered,
        )

    def expire(self, before: float) -> None:
        """Forget the requests that were last attached before a time."""
        while self._known_by_request:
            request, oldest = next(iter(self._known_by_request.items()))
            if oldest.attached_at >= before:
                return
            self._known_by_request.pop(request)

    def _begin(self, attach: Attach, attempt: int, now: float) -> Begin:
        run = RunId(
            attach.request.organisation,
            attach.request.key,
            self._incarnation,
            attempt,
        )
        entry = KnownRequest(attach.body, run, attach.executor, now)
        self._remember(attach.request, entry)
        return Begin(run, attach.executor)

    def _remember(self, request: RequestKey, entry: KnownRequest) -> None:
        self._known_by_request[request] = entry
        self._known_by_request.move_to_end(request)
        if len(self._known_by_request) > self._max_keys:
            self._known_by_request.popitem(last=False)


def key_conflict(home: Incarnation) -> Refusal:
    """Refuse a key that was reused with another body."""
    return Refusal(
        Code.CONFLICT,
        ATTACH_STEP,
        home,
        'the key was used with another request',
    )


def run_not_found(home: Incarnation) -> Refusal:
    """Refuse a look-up of a run that does not exist."""
    return Refusal(
        Code.NOT_FOUND,
        ATTACH_STEP,
        home,
        'the request has no run',
    )


def _rank(key: bytes, member: Incarnation) -> tuple[int, Incarnation]:
    weight = xxhash.xxh3_64_intdigest(b'\0'.join((member.encode(), key)))
    return -weight, member
