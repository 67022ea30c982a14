"""The router's part of the fleet's retry budget, by service."""

import asyncio
from collections.abc import Callable

import structlog

from dandelioncleat.core.retry_window import RetryLimits, RetryWindow

_logger = structlog.get_logger(__name__)


class RetryBudget:
    """Counts requests and retries, and decides on each retry."""

    def __init__(
        self, terms: RetryLimits, *, router_count: Callable[[], int]
    ) -> None:
        """Initialise with the fleet's limits.

        :param router_count: returns how many routers share the budget
        """
        self._terms = terms
        self._router_count = router_count
        self._windows_by_service: dict[str, RetryWindow] = {}

    def set_terms(self, terms: RetryLimits) -> None:
        """Set new limits; what was counted so far still counts."""
        self._terms = terms
        for window in self._windows_by_service.values():
            window.limits = terms

    def note_request(self, service: str) -> None:
        """Count a request for a service."""
        self._window(service).note_request(_now())

    def take(self, request: str, service: str) -> bool:
        """Take a retry of a request; return whether the budget allows it."""
        window = self._window(service)
        routers = self._router_count()
        is_allowed = window.take(_now(), routers=routers)
        _logger.info(
            'retry allowed' if is_allowed else 'retry denied',
            request=request,
            service=service,
            requests=window.requests,
            retries=window.retries,
            window_s=self._terms.window_s,
            routers=routers,
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
