"""W3C trace context: its text, and the context of a span."""

from opentelemetry.context import Context
from opentelemetry.trace import Span, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

TRACEPARENT = 'traceparent'

_PROPAGATOR = TraceContextTextMapPropagator()


def context_of(traceparent: str) -> Context:
    """Return the context that a text names, or an empty one."""
    if not traceparent:
        return Context()
    return _PROPAGATOR.extract({TRACEPARENT: traceparent}, Context())


def traceparent_of(span: Span) -> str:
    """Return the text by which a span is passed on."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, set_span_in_context(span, Context()))
    return carrier.get(TRACEPARENT, '')
