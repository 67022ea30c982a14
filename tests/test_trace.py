"""Tests of the trace reader: what it takes and what it refuses."""

import gzip
import json
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import ExpectedException, TestCase
from testtools.matchers import Equals

from dandelioncleat.replay.trace import TraceError, parse_trace, read_trace

DEPLOYMENT = {
    'event': 'deployment',
    'name': 'small',
    'seed': 1,
    'data_centres': {'a': {'one_way_ms': 1}},
    'routers': {'r1': 'a'},
    'targets': {'t1': {'data_centre': 'a', 'service': 's', 'slots': 2}},
    'services': {'s': {'kind': 'plain', 'price_tokens': 1, 'service_ms': 5}},
    'organisations': {'o': {'budget': 10}},
}
REQUEST = {
    'event': 'request',
    'at': 2,
    'key': 'k',
    'organisation': 'o',
    'service': 's',
    'router': 'r1',
    'idempotent': True,
}


def lines(*others: object) -> bytes:
    texts = (json.dumps(line) for line in (DEPLOYMENT, *others))
    return '\n'.join(texts).encode()


class TraceTest(TestCase):
    def test_orders_events_by_time(self) -> None:
        stop = {'event': 'stop', 'at': 1, 'router': 'r1'}
        trace = parse_trace(lines(REQUEST, stop), name='t')
        self.assertThat([line.at for line in trace.events], Equals([1, 2]))

    def test_reads_a_compressed_trace(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder, 'small.jsonl.gz')
            path.write_bytes(gzip.compress(lines(REQUEST)))
            self.assertThat(len(read_trace(path).events), Equals(1))

    def test_reports_every_wrong_line(self) -> None:
        wrong = (
            {**REQUEST, 'organisation': 'x', 'router': 'y'},
            {**REQUEST, 'colour': 'red'},
            {'event': 'fault', 'at': 1, 'kind': 'flood', 'of': 'a'},
            {'event': 'expect', 'measure': 'speed', 'at_most': 1},
            DEPLOYMENT,
        )
        try:
            parse_trace(lines(*wrong), name='t')
        except TraceError as error:
            numbers = [text.partition(':')[0] for text in error.errors]
        expected = ['3', '2', '2', '4', '4', '5', '6']
        found = [number.removeprefix('line ') for number in numbers]
        self.assertThat(found, Equals(expected))

    def test_a_partition_names_two_ends(self) -> None:
        fault = {
            'event': 'fault',
            'at': 1,
            'kind': 'partition',
            'of': 'a',
            'for_s': 5,
        }
        with ExpectedException(TraceError):
            parse_trace(lines(fault), name='t')

    def test_refuses_a_trace_without_deployment(self) -> None:
        with ExpectedException(TraceError):
            parse_trace(json.dumps(REQUEST).encode(), name='t')
