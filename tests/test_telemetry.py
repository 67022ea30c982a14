"""Tests of metrics, traces and log lines."""

import io
import json
import logging

import structlog
import testtools
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from dandelioncleat.adapters.log_lines import configure_log_lines
from dandelioncleat.adapters.telemetry import new_telemetry
from dandelioncleat.ports.telemetry import NullTelemetry
from tests.builders.logs import restore_log

REMOTE = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


class TelemetryTest(testtools.TestCase):
    """Metrics appear on the page and spans form one trace."""

    def test_metrics_appear_on_the_page(self):
        telemetry = new_telemetry(role='router', incarnation='h/1')
        other = new_telemetry(role='router', incarnation='h/2')
        telemetry.count('router.requests', 2, service='s')
        telemetry.count('router.requests', service='s')
        telemetry.gauge('budget.held', 7, budget='o')
        telemetry.observe('wait_s', 0.5)
        page = telemetry.metrics_page().decode()
        for name, number in (
            ('router_requests_total', '3.0'),
            ('budget_held', '7.0'),
            ('wait_s_count', '1.0'),
        ):
            lines = [
                line for line in page.splitlines() if line.startswith(name)
            ]
            self.assertEqual([number], [line.split()[-1] for line in lines])
        self.assertNotIn('router_requests', other.metrics_page().decode())

    def test_spans_of_each_hop_form_one_trace(self):
        exporter = InMemorySpanExporter()
        hops = [
            new_telemetry(
                role=role,
                incarnation='h/1',
                span_processors=[SimpleSpanProcessor(exporter)],
            )
            for role in ('router', 'sidecar')
        ]
        with hops[0].span('router', traceparent=REMOTE) as passed_on:
            with hops[1].span('sidecar', traceparent=passed_on, run='r'):
                pass
        sidecar, router = exporter.get_finished_spans()
        self.assertEqual(router.context.span_id, sidecar.parent.span_id)
        self.assertEqual(0xB7AD6B7169203331, router.parent.span_id)
        self.assertEqual(router.context.trace_id, sidecar.context.trace_id)
        self.assertEqual('r', sidecar.attributes['run'])

    def test_a_malformed_trace_context_starts_a_new_trace(self):
        telemetry = new_telemetry(role='router', incarnation='h/1')
        with telemetry.span('router', traceparent='no context') as passed_on:
            self.assertEqual(4, len(passed_on.split('-')))

    def test_the_null_telemetry_propagates_the_context(self):
        with NullTelemetry().span('router', traceparent=REMOTE) as passed_on:
            self.assertEqual(REMOTE, passed_on)


class LogLinesTest(testtools.TestCase):
    """Lines are JSON with the fields of the process."""

    def test_json_lines_carry_the_context(self):
        restore_log(self)
        stream = io.StringIO()
        configure_log_lines('json', stream=stream, incarnation='h/1')
        structlog.get_logger().info('ready', version=3)
        line = json.loads(stream.getvalue())
        self.assertEqual('ready', line['event'])
        self.assertEqual(('h/1', 3), (line['incarnation'], line['version']))


class LeftLogHandlerTest(testtools.TestCase):
    """A test of the log leaves no handler to those that run after it."""

    def test_handlers_are_as_before(self):
        root = logging.getLogger()
        before = list(root.handlers), root.level
        self.addCleanup(setattr, root, 'handlers', before[0])
        self.addCleanup(root.setLevel, before[1])
        LogLinesTest('test_json_lines_carry_the_context').run()
        self.assertEqual(before, (root.handlers, root.level))
