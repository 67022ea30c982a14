"""Requests of which a home has said that they have no run.

A router that asked may tell its caller ``not-run``. An older attempt of the
same request, held up on its way, must not begin a run after that.
"""

from collections import OrderedDict

from dandelioncleat.core.identity import RequestKey

MAX_DENIALS = 20_000


class Denials:
    """Remembers when each request was last said to have no run."""

    def __init__(self) -> None:
        """Start with none."""
        self._told_at_by_request: OrderedDict[RequestKey, float] = OrderedDict()

    def note(self, request: RequestKey, now: float) -> None:
        """Remember that a request was said to have no run."""
        self._told_at_by_request[request] = now
        self._told_at_by_request.move_to_end(request)
        if len(self._told_at_by_request) > MAX_DENIALS:
            self._told_at_by_request.popitem(last=False)

    def covers(self, request: RequestKey, arrived_at: float) -> bool:
        """Return whether an attempt that arrived then must not begin."""
        told_at = self._told_at_by_request.get(request)
        return told_at is not None and arrived_at < told_at

    def expire(self, before: float) -> None:
        """Forget what was said before a time."""
        while self._told_at_by_request:
            request, told_at = next(iter(self._told_at_by_request.items()))
            if told_at >= before:
                return
            self._told_at_by_request.pop(request)
