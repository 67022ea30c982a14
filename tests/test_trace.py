"""Tests of which traces the reader accepts and rejects."""

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
    def test_events_are_ordered_by_time(self) -> None:
        stop = {'event': 'stop', 'at': 1, 'router': 'r1'}
        trace = parse_trace(lines(REQUEST, stop), name='t')
        self.assertThat([line.at for line in trace.events], Equals([1, 2]))

    def test_compressed_trace_is_read(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder, 'small.jsonl.gz')
            path.write_bytes(gzip.compress(lines(REQUEST)))
            self.assertThat(len(read_trace(path).events), Equals(1))

    def test_every_invalid_line_is_reported(self) -> None:
        invalid = (
            {**REQUEST, 'organisation': 'x', 'router': 'y'},
            {**REQUEST, 'colour': 'red'},
            {'event': 'fault', 'at': 1, 'kind': 'flood', 'of': 'a'},
            {'event': 'expect', 'measure': 'speed', 'at_most': 1},
            DEPLOYMENT,
        )
        try:
            parse_trace(lines(*invalid), name='t')
        except TraceError as error:
            numbers = [text.partition(':')[0] for text in error.errors]
        expected = ['3', '2', '2', '4', '4', '5', '6']
        found = [number.removeprefix('line ') for number in numbers]
        self.assertThat(found, Equals(expected))

    def test_partition_with_one_end_is_rejected(self) -> None:
        fault = {
            'event': 'fault',
            'at': 1,
            'kind': 'partition',
            'of': 'a',
            'for_s': 5,
        }
        with ExpectedException(TraceError):
            parse_trace(lines(fault), name='t')

    def test_trace_without_deployment_is_rejected(self) -> None:
        with ExpectedException(TraceError):
            parse_trace(json.dumps(REQUEST).encode(), name='t')
