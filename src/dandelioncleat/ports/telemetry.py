"""Metrics and traces, independent of the telemetry library."""

from contextlib import AbstractContextManager, nullcontext
from typing import Protocol


class Telemetry(Protocol):
    """Records metrics and spans; no call blocks or fails."""

    def count(self, name: str, value: int = 1, /, **attributes: str) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float, /, **attributes: str) -> None:
        """Set a gauge."""

    def observe(self, name: str, value: float, /, **attributes: str) -> None:
        """Add a measurement to a histogram."""

    def span(
        self,
        name: str,
        /,
        *,
        traceparent: str = '',
        **attributes: str,
    ) -> AbstractContextManager[str]:
        """Time a block; its context value is the trace context to pass on.

        :param traceparent: the W3C trace context of the caller, if any
        """


class NullTelemetry:
    """Drops everything, for tests and replay."""

    def count(self, name: str, value: int = 1, /, **attributes: str) -> None:
        """Drop the count."""

    def gauge(self, name: str, value: float, /, **attributes: str) -> None:
        """Drop the value."""

    def observe(self, name: str, value: float, /, **attributes: str) -> None:
        """Drop the measurement."""

    def span(
        self,
        name: str,
        /,
        *,
        traceparent: str = '',
        **attributes: str,
    ) -> AbstractContextManager[str]:
        """Pass the caller's trace context on."""
        return nullcontext(traceparent)
