"""Builder of small traces with random load and random faults."""

import json
import random

from dandelioncleat.replay.trace import Trace, parse_trace

DURATION_S = 30.0
SAFETY = (
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
MODELS = {f'm-{number}': DATA_CENTRES[number] for number in range(3)}
PLAINS = {f'p-{number}': DATA_CENTRES[number] for number in range(3)}
PROCESS_FAULTS = (
    'router_crash',
    'router_pause',
    'sidecar_crash',
    'sidecar_pause',
    'target_crash',
)


def random_trace(seed: int) -> Trace:
    """Return a trace of half a minute with a handful of faults."""
    chance = random.Random(seed)
    timed = _requests(chance) + _faults(chance) + _changes(chance)
    timed.sort(key=lambda line: line['at'])
    expected = [
        {'event': 'expect', 'measure': measure, 'at_most': 0}
        for measure in SAFETY
    ]
    lines = [_deployment(chance, seed), *timed, *expected]
    text = '\n'.join(json.dumps(line) for line in lines)
    return parse_trace(text.encode(), name=f'random {seed}')


def _deployment(chance: random.Random, seed: int) -> dict:
    fencing = chance.random() < 0.5
    engine = {
        'service': 'm',
        'slots': 2,
        'prefill_tokens_s': 8000,
        'decode_tokens_s': 80,
        'kv_tokens': 8000,
        'checks_fencing': fencing,
    }
    targets = {
        name: {'data_centre': place, **engine} for name, place in MODELS.items()
    }
    targets.update(
        (name, {'data_centre': place, 'service': 'p', 'slots': 4})
        for name, place in PLAINS.items()
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
                'service_ms': chance.choice((5, 50, 500)),
                'on_log_outage': chance.choice(('refuse', 'guarded')),
            },
        },
        'organisations': {
            'rich': {'budget': 100_000},
            'poor': {'budget': chance.randrange(100, 3000)},
        },
    }


def _requests(chance: random.Random) -> list[dict]:
    lines = []
    for number in range(90):
        line = _request(chance, number)
        lines.append(line)
        while chance.random() < 0.3:
            # A caller that lost its answer asks again through any router.
            line = {
                **line,
                'at': line['at'] + chance.expovariate(0.5),
                'router': chance.choice(list(ROUTERS)),
            }
            lines.append(line)
    return lines


def _request(chance: random.Random, number: int) -> dict:
    line = {
        'event': 'request',
        'at': chance.uniform(0, DURATION_S),
        'key': f'k{number}',
        'organisation': chance.choice(('rich', 'poor')),
        'router': chance.choice(list(ROUTERS)),
        'deadline_s': chance.choice((2, 10, 30)),
    }
    if chance.random() < 0.5:
        output = chance.randrange(1, 60)
        return {
            **line,
            'service': 'm',
            'idempotent': True,
            'prompt_tokens': chance.randrange(10, 500),
            'max_tokens': output + chance.randrange(20),
            'output_tokens': output,
            'prefix': chance.choice(('', 'x', 'y')),
            'poison': chance.random() < 0.02,
        }
    idempotent = chance.random() < 0.3
    return {**line, 'service': 'p', 'idempotent': idempotent}


def _faults(chance: random.Random) -> list[dict]:
    return [_fault(chance) for _ in range(chance.randrange(1, 7))]


def _fault(chance: random.Random) -> dict:
    line = {
        'event': 'fault',
        'at': chance.uniform(0, DURATION_S),
        'for_s': chance.uniform(0.5, 15),
    }
    match chance.randrange(4):
        case 0:
            ends = chance.sample((*DATA_CENTRES, 'log'), 2)
            return {**line, 'kind': 'partition', 'of': sorted(ends)}
        case 1:
            kind = chance.choice(('log_outage', 'log_slow', 'log_answers_lost'))
            extent = {'by_ms': chance.randrange(50, 2000), 'share': 0.5}
            return {**line, 'kind': kind, 'of': 'log', **extent}
        case 2:
            return {
                **line,
                'kind': 'host_list_lag',
                'of': 'host_list',
                'by_s': 5,
            }
        case _:
            kind = chance.choice(PROCESS_FAULTS)
            names = ROUTERS if kind.startswith('router') else MODELS | PLAINS
            return {**line, 'kind': kind, 'of': chance.choice(list(names))}


def _changes(chance: random.Random) -> list[dict]:
    lines: list[dict] = []
    if chance.random() < 0.4:
        router = chance.choice(list(ROUTERS))
        lines.append(
            {'event': 'stop', 'at': chance.uniform(5, 25), 'router': router},
        )
    if chance.random() < 0.4:
        target = chance.choice(list(MODELS | PLAINS))
        lines.append(
            {'event': 'leave', 'at': chance.uniform(5, 25), 'target': target},
        )
    for number in range(chance.randrange(3)):
        lines.append(
            {
                'event': 'top_up',
                'at': chance.uniform(0, DURATION_S),
                'organisation': 'poor',
                'tokens': chance.randrange(50, 500),
            },
        )
        lines.append(
            {
                'event': 'patch',
                'at': chance.uniform(0, DURATION_S),
                'id': f'patch-{number}',
                'against': chance.randrange(1, 3),
                'router': chance.choice(list(ROUTERS)),
                'patch': {'organisations': {f'n{number}': {'budget': 10}}},
            },
        )
    return lines
