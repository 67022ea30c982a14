"""Requests that a home has reported as not run.

The router that asked may then report ``not-run`` to its caller. A delayed
earlier attempt of the same request must not begin a run after that.
"""

from collections import OrderedDict

from dandelioncleat.core.identity import RequestKey

MAX_REPLIES = 20_000


class NotRunReplies:
    """Records when each request was last reported as not run."""

    def __init__(self) -> None:
        """Start with no request."""
        self._told_at_by_request: OrderedDict[RequestKey, float] = OrderedDict()

    def note(self, request: RequestKey, now: float) -> None:
        """Record that a request was reported as not run."""
        self._told_at_by_request[request] = now
        self._told_at_by_request.move_to_end(request)
        if len(self._told_at_by_request) > MAX_REPLIES:
            self._told_at_by_request.popitem(last=False)

    def bars(self, request: RequestKey, arrived_at: float) -> bool:
        """Return whether an attempt that arrived then must not run."""
        told_at = self._told_at_by_request.get(request)
        return told_at is not None and arrived_at < told_at

    def expire(self, before: float) -> None:
        """Drop the replies from before a time."""
        while self._told_at_by_request:
            request, told_at = next(iter(self._told_at_by_request.items()))
            if told_at >= before:
                return
            self._told_at_by_request.pop(request)
