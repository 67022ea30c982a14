"""Metrics and traces by OpenTelemetry.

Metrics are served on a Prometheus page; further exporters of metrics and
traces are passed in.
"""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram, _Gauge
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from prometheus_client import CollectorRegistry, generate_latest

from dandelioncleat.adapters.trace_context import context_of, traceparent_of

SCOPE = 'dandelioncleat'


class OtelTelemetry:
    """Implements the ``Telemetry`` port."""

    def __init__(
        self,
        *,
        registry: CollectorRegistry,
        meter_provider: MeterProvider,
        tracer_provider: TracerProvider,
    ) -> None:
        """Take the providers, which belong to this process alone."""
        self._registry = registry
        self._meter_provider = meter_provider
        self._tracer_provider = tracer_provider
        self._meter = meter_provider.get_meter(SCOPE)
        self._tracer = tracer_provider.get_tracer(SCOPE)
        self._counters_by_name: dict[str, Counter] = {}
        self._gauges_by_name: dict[str, _Gauge] = {}
        self._histograms_by_name: dict[str, Histogram] = {}

    def count(self, name: str, value: int = 1, /, **attributes: str) -> None:
        """Add to a counter."""
        counter = self._counters_by_name.get(name)
        if counter is None:
            counter = self._meter.create_counter(name)
            self._counters_by_name[name] = counter
        counter.add(value, attributes)

    def gauge(self, name: str, value: float, /, **attributes: str) -> None:
        """Set a gauge."""
        gauge = self._gauges_by_name.get(name)
        if gauge is None:
            gauge = self._meter.create_gauge(name)
            self._gauges_by_name[name] = gauge
        gauge.set(value, attributes)

    def observe(self, name: str, value: float, /, **attributes: str) -> None:
        """Add a measurement to a histogram."""
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(name)
            self._histograms_by_name[name] = histogram
        histogram.record(value, attributes)

    @contextmanager
    def span(
        self,
        name: str,
        /,
        *,
        traceparent: str = '',
        **attributes: str,
    ) -> Iterator[str]:
        """Time a block and yield the trace context to propagate."""
        span = self._tracer.start_span(
            name, context=context_of(traceparent), attributes=attributes
        )
        with span:
            yield traceparent_of(span)

    def metrics_page(self) -> bytes:
        """Return the Prometheus page of all metrics."""
        return generate_latest(self._registry)

    def stop(self) -> None:
        """Export pending data and stop; this may block."""
        self._tracer_provider.shutdown()
        self._meter_provider.shutdown()


def new_telemetry(
    *,
    role: str,
    incarnation: str,
    metric_readers: Sequence[MetricReader] = (),
    span_processors: Sequence[SpanProcessor] = (),
) -> OtelTelemetry:
    """Set up the metrics and traces of one process.

    :param metric_readers: further exporters of metrics
    :param span_processors: receivers of finished spans
    """
    resource = Resource.create(
        {'service.name': f'{SCOPE}-{role}', 'service.instance.id': incarnation}
    )
    registry = CollectorRegistry()
    page_reader = PrometheusMetricReader(registry=registry)
    return OtelTelemetry(
        registry=registry,
        meter_provider=MeterProvider(
            (page_reader, *metric_readers),
            resource=resource,
            shutdown_on_exit=False,
        ),
        tracer_provider=_new_tracer_provider(resource, span_processors),
    )


def _new_tracer_provider(
    resource: Resource,
    processors: Sequence[SpanProcessor],
) -> TracerProvider:
    provider = TracerProvider(resource=resource, shutdown_on_exit=False)
    for processor in processors:
        provider.add_span_processor(processor)
    return provider
