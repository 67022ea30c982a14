"""Requests of which a home has said that they have no run.

A router that asked may tell its caller ``not-run``. An older attempt of the
same request, held up on its way, must not begin a run after that.
"""

from collections import OrderedDict

from dandelioncleat.core.identity import RequestKey

MAX_REPLIES = 20_000


class NotRunReplies:
    """Remembers when each request was last said to have no run."""

    def __init__(self) -> None:
        """Start with none."""
        self._denied_at_by_request: OrderedDict[RequestKey, float] = (
            OrderedDict()
        )

    def note(self, request: RequestKey, now: float) -> None:
        """Remember that a request was said to have no run."""
        self._denied_at_by_request[request] = now
        self._denied_at_by_request.move_to_end(request)
        if len(self._denied_at_by_request) > MAX_REPLIES:
            self._denied_at_by_request.popitem(last=False)

    def bars(self, request: RequestKey, arrived_at: float) -> bool:
        """Return whether an attempt that arrived then must not begin."""
        denied_at = self._denied_at_by_request.get(request)
        return denied_at is not None and arrived_at < denied_at

    def expire(self, before: float) -> None:
        """Forget what was said before a time."""
        while self._denied_at_by_request:
            request, denied_at = next(iter(self._denied_at_by_request.items()))
            if denied_at >= before:
                return
            self._denied_at_by_request.pop(request)
