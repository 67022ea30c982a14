"""Exports metrics and traces to an OTLP collector.

A separate module because its libraries take much memory, which a process
without a collector saves.
"""

from typing import NamedTuple

from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
    OTLPMetricExporter,
)
from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.metrics.export import (
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.trace import SpanProcessor
from opentelemetry.sdk.trace.export import BatchSpanProcessor

EXPORT_INTERVAL_MS = 15000


class Exporters(NamedTuple):
    """The exporters to a collector; empty without one."""

    metric_readers: tuple[MetricReader, ...] = ()
    span_processors: tuple[SpanProcessor, ...] = ()


def new_exporters(endpoint: str | None) -> Exporters:
    """Return the exporters to a collector.

    :param endpoint: base URL of the collector, if there is one
    """
    if endpoint is None:
        return Exporters()
    metrics = OTLPMetricExporter(endpoint=f'{endpoint}/v1/metrics')
    spans = OTLPSpanExporter(endpoint=f'{endpoint}/v1/traces')
    return Exporters(
        (PeriodicExportingMetricReader(metrics, EXPORT_INTERVAL_MS),),
        (BatchSpanProcessor(spans),),
    )
