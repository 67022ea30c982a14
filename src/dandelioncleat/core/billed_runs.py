"""The runs that were billed, for as long as a repeat may arrive."""

from collections import deque
from enum import Enum
from typing import NamedTuple

from dandelioncleat.core.identity import RequestKey, RunId, request_key_of

KEY_MEMORY_S = 7200


class Billing(Enum):
    """What a bill is to the bills that were read before it."""

    FIRST = 'first'
    REPEATED = 'repeated'
    SECOND_RUN = 'second_run'


class BilledRequest(NamedTuple):
    """The runs billed for a request; the bill of the first one stands."""

    billed_at: float
    request: RequestKey
    runs: list[RunId]


class BilledRuns:
    """Remembers billed runs by request, for a time of the log's own clock."""

    def __init__(self) -> None:
        """Start with no request."""
        self._by_request: dict[RequestKey, BilledRequest] = {}
        self._in_order: deque[BilledRequest] = deque()

    def note(self, run: RunId, billed_at: float) -> Billing:
        """Remember a billed run and return what its bill is."""
        self._forget(billed_at - KEY_MEMORY_S)
        request = request_key_of(run)
        billed = self._by_request.get(request)
        if billed is None:
            self._keep(BilledRequest(billed_at, request, [run]))
            return Billing.FIRST
        if run in billed.runs:
            return Billing.REPEATED
        billed.runs.append(run)
        return Billing.SECOND_RUN

    def knows(self, run: RunId) -> bool:
        """Return whether a bill of this run was read."""
        billed = self._by_request.get(request_key_of(run))
        return billed is not None and run in billed.runs

    def snapshot(self) -> list[BilledRequest]:
        """Return the whole state, oldest request first."""
        return list(self._in_order)

    def restore(self, requests: list[BilledRequest]) -> None:
        """Replace the state by that of a snapshot."""
        self._by_request.clear()
        self._in_order.clear()
        for request in requests:
            self._keep(request)

    def _keep(self, billed: BilledRequest) -> None:
        self._by_request[billed.request] = billed
        self._in_order.append(billed)

    def _forget(self, before: float) -> None:
        while self._in_order and self._in_order[0].billed_at < before:
            billed = self._in_order.popleft()
            self._by_request.pop(billed.request)
