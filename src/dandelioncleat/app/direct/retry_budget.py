"""The router's part of the fleet's retry budget, by service."""

import asyncio

import structlog

from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.app.direct.taken_retry import TakenRetry
from dandelioncleat.core.retry_window import RetryLimits, RetryWindow
from dandelioncleat.core.slack_share import SlackShare

_logger = structlog.get_logger(__name__)


class RetryBudget:
    """Counts requests and retries, and decides on each retry."""

    def __init__(self, terms: RetryLimits) -> None:
        """Initialise with the fleet's limits."""
        self._terms = terms
        self._slack = SlackShare(terms.window_s)
        self._windows_by_service: dict[str, RetryWindow] = {}

    def set_terms(self, terms: RetryLimits) -> None:
        """Set new limits; what was counted so far still counts."""
        self._terms = terms
        self._slack.window_s = terms.window_s
        for window in self._windows_by_service.values():
            window.limits = terms

    def set_routers(self, count: int) -> None:
        """Set how many routers share the budget."""
        self._slack.set_routers(count, _now())

    def join(self) -> None:
        """Note that the other routers can know this one."""
        self._slack.join(_now())

    def leave(self) -> None:
        """Leave the slack to the other routers."""
        self._slack.leave()

    def begin(self, context: RunContext) -> bool:
        """Count a request; return whether it may be sent to a target.

        What another router has sent to a target before is a retry.
        """
        if not context.is_counted:
            context.is_counted = True
            service = context.admitted.service.name
            self._window(service).note_request(_now())
        return not context.arrivals or self.take(context)

    def take(self, context: RunContext) -> bool:
        """Take a retry of a request; return whether the budget allows it.

        The context keeps it until it is sent.
        """
        service = context.admitted.service.name
        window = self._window(service)
        share = self._slack.part(_now())
        is_allowed = window.take(_now(), share=share)
        if is_allowed:
            context.retry = TakenRetry(window)
        _logger.info(
            'retry allowed' if is_allowed else 'retry denied',
            request=context.request.id,
            arrivals=context.arrivals,
            service=service,
            requests=window.requests,
            retries=window.retries,
            unread=window.unread,
            window_s=self._terms.window_s,
            routers=self._slack.routers(),
            slack_share=round(share, 4),
        )
        return is_allowed

    def _window(self, service: str) -> RetryWindow:
        window = self._windows_by_service.get(service)
        if window is None:
            window = RetryWindow(self._terms)
            self._windows_by_service[service] = window
        return window


def _now() -> float:
    return asyncio.get_running_loop().time()
