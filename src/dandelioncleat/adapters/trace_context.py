"""Converts between ``traceparent`` texts and OpenTelemetry contexts."""

from opentelemetry.context import Context
from opentelemetry.trace import Span, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

TRACEPARENT = 'traceparent'

_PROPAGATOR = TraceContextTextMapPropagator()


def context_of(traceparent: str) -> Context:
    """Return the context of a ``traceparent``; empty if there is none."""
    if not traceparent:
        return Context()
    return _PROPAGATOR.extract({TRACEPARENT: traceparent}, Context())


def traceparent_of(span: Span) -> str:
    """Return the ``traceparent`` of a span."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, set_span_in_context(span, Context()))
    return carrier.get(TRACEPARENT, '')
