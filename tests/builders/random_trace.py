"""Builder of small traces with random load and random faults."""

import json
import random

from dandelioncleat.replay.trace import Trace, parse_trace

DURATION_S = 30.0
SAFETY_MEASURES = (
    'overspend_tokens',
    'double_runs',
    'double_bills',
    'unbilled_requests',
    'bill_error_tokens',
    'wrong_answers',
    'untrue_not_run',
    'config_reverts',
)
DATA_CENTRES = ('a', 'b', 'c')
ROUTERS = {f'r-{name}': name for name in DATA_CENTRES}
MODEL_TARGETS = {f'm-{number}': DATA_CENTRES[number] for number in range(3)}
PLAIN_TARGETS = {f'p-{number}': DATA_CENTRES[number] for number in range(3)}
PROCESS_FAULTS = (
    'router_crash',
    'router_pause',
    'sidecar_crash',
    'sidecar_pause',
    'target_crash',
)


def random_trace(seed: int) -> Trace:
    """Return a trace of 30 seconds with one to six faults."""
    generator = random.Random(seed)
    timed = _requests(generator) + _faults(generator) + _changes(generator)
    timed.sort(key=lambda line: line['at'])
    expected = [
        {'event': 'expect', 'measure': measure, 'at_most': 0}
        for measure in SAFETY_MEASURES
    ]
    lines = [_deployment(generator, seed), *timed, *expected]
    text = '\n'.join(json.dumps(line) for line in lines)
    return parse_trace(text.encode(), name=f'random {seed}')


def _deployment(generator: random.Random, seed: int) -> dict:
    fencing = generator.random() < 0.5
    engine = {
        'service': 'm',
        'slots': 2,
        'prefill_tokens_s': 8000,
        'decode_tokens_s': 80,
        'kv_tokens': 8000,
        'checks_fencing': fencing,
    }
    targets = {
        name: {'data_centre': data_centre, **engine}
        for name, data_centre in MODEL_TARGETS.items()
    }
    targets.update(
        (name, {'data_centre': data_centre, 'service': 'p', 'slots': 4})
        for name, data_centre in PLAIN_TARGETS.items()
    )
    return {
        'event': 'deployment',
        'name': f'random-{seed}',
        'seed': seed,
        'data_centres': {name: {'one_way_ms': 1} for name in DATA_CENTRES},
        'routers': ROUTERS,
        'targets': targets,
        'services': {
            'm': {'kind': 'model'},
            'p': {
                'kind': 'plain',
                'price_tokens': 5,
                'service_ms': generator.choice((5, 50, 500)),
                'on_log_outage': generator.choice(('refuse', 'guarded')),
            },
        },
        'organisations': {
            'rich': {'budget': 100_000},
            'poor': {'budget': generator.randrange(100, 3000)},
        },
    }


def _requests(generator: random.Random) -> list[dict]:
    lines = []
    for number in range(90):
        line = _request(generator, number)
        lines.append(line)
        while generator.random() < 0.3:
            # A caller that lost its answer retries through any router.
            line = {
                **line,
                'at': line['at'] + generator.expovariate(0.5),
                'router': generator.choice(list(ROUTERS)),
            }
            lines.append(line)
    return lines


def _request(generator: random.Random, number: int) -> dict:
    line = {
        'event': 'request',
        'at': generator.uniform(0, DURATION_S),
        'key': f'k{number}',
        'organisation': generator.choice(('rich', 'poor')),
        'router': generator.choice(list(ROUTERS)),
        'deadline_s': generator.choice((2, 10, 30)),
    }
    if generator.random() < 0.5:
        output = generator.randrange(1, 60)
        return {
            **line,
            'service': 'm',
            'idempotent': True,
            'prompt_tokens': generator.randrange(10, 500),
            'max_tokens': output + generator.randrange(20),
            'output_tokens': output,
            'prefix': generator.choice(('', 'x', 'y')),
            'poison': generator.random() < 0.02,
        }
    idempotent = generator.random() < 0.3
    return {**line, 'service': 'p', 'idempotent': idempotent}


def _faults(generator: random.Random) -> list[dict]:
    return [_fault(generator) for _ in range(generator.randrange(1, 7))]


def _fault(generator: random.Random) -> dict:
    line = {
        'event': 'fault',
        'at': generator.uniform(0, DURATION_S),
        'for_s': generator.uniform(0.5, 15),
    }
    match generator.randrange(4):
        case 0:
            ends = generator.sample((*DATA_CENTRES, 'log'), 2)
            return {**line, 'kind': 'partition', 'of': sorted(ends)}
        case 1:
            kind = generator.choice(
                ('log_outage', 'log_slow', 'log_answers_lost')
            )
            extent = {'by_ms': generator.randrange(50, 2000), 'share': 0.5}
            return {**line, 'kind': kind, 'of': 'log', **extent}
        case 2:
            return {
                **line,
                'kind': 'host_list_lag',
                'of': 'host_list',
                'by_s': 5,
            }
        case _:
            kind = generator.choice(PROCESS_FAULTS)
            names = (
                ROUTERS
                if kind.startswith('router')
                else MODEL_TARGETS | PLAIN_TARGETS
            )
            return {**line, 'kind': kind, 'of': generator.choice(list(names))}


def _changes(generator: random.Random) -> list[dict]:
    lines: list[dict] = []
    if generator.random() < 0.4:
        router = generator.choice(list(ROUTERS))
        lines.append(
            {'event': 'stop', 'at': generator.uniform(5, 25), 'router': router},
        )
    if generator.random() < 0.4:
        target = generator.choice(list(MODEL_TARGETS | PLAIN_TARGETS))
        lines.append(
            {
                'event': 'leave',
                'at': generator.uniform(5, 25),
                'target': target,
            },
        )
    for number in range(generator.randrange(3)):
        lines.append(
            {
                'event': 'top_up',
                'at': generator.uniform(0, DURATION_S),
                'organisation': 'poor',
                'tokens': generator.randrange(50, 500),
            },
        )
        lines.append(
            {
                'event': 'patch',
                'at': generator.uniform(0, DURATION_S),
                'id': f'patch-{number}',
                'against': generator.randrange(1, 3),
                'router': generator.choice(list(ROUTERS)),
                'patch': {'organisations': {f'n{number}': {'budget': 10}}},
            },
        )
    return lines
