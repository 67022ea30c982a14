"""Generates the traces in this directory from fixed seeds.

``python traces/write_traces.py`` rewrites every trace; the files do not
change unless this script does. Lengths of prompts and answers have the
means of the public traces that KUNSERVE reports (EuroSys '26, section 5).
"""

import argparse
import gzip
import itertools
import json
import random
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

Line = dict[str, Any]

DURATION_S = 120.0
MAX_PROMPT_TOKENS = 16000
LENGTH_SIGMA = 0.6

CHAT = (642, 262)
CODE = (1660, 373)
LONG = (5900, 499)

ENGINE = {
    'slots': 4,
    'prefill_tokens_s': 8000,
    'decode_tokens_s': 160,
    'kv_tokens': 40000,
}
SAFETY_MEASURES = (
    'overspend_tokens',
    'double_runs',
    'double_bills',
    'unbilled_requests',
    'bill_error_tokens',
    'wrong_answers',
    'untrue_not_run',
    'config_reverts',
    'cut_in_planned_stop',
)


class DeploymentTemplate(NamedTuple):
    """A deployment, with its load in requests per second."""

    name: str
    data_centres: tuple[str, ...]
    model: str
    model_targets: int
    plain: str
    plain_targets: int
    price_tokens: int
    outage_policy: str
    model_rate: float
    plain_rate: float
    lengths: tuple[tuple[int, int], ...]


PELABUHAN = DeploymentTemplate(
    'pelabuhan',
    ('klang-a', 'klang-b', 'klang-c'),
    'dues-llm',
    5,
    'billing-app',
    3,
    20,
    'refuse',
    1.3,
    4,
    (CHAT, CHAT, CODE),
)
CUPONRED = DeploymentTemplate(
    'cuponred',
    ('bogota-a', 'bogota-b', 'medellin', 'cali'),
    'asistente',
    10,
    'caja',
    4,
    5,
    'guarded',
    2.5,
    8,
    (CHAT, CHAT, CHAT, LONG),
)
ORGANISATIONS = tuple(f'org-{number}' for number in range(10))
WEIGHTS = (30, 20, 15, 10, 8, 6, 5, 3, 2, 1)


class Writer:
    """Collects the lines of one trace."""

    def __init__(
        self, template: DeploymentTemplate, scenario: str, seed: int
    ) -> None:
        self.template = template
        self.scenario = scenario
        self.random = random.Random(f'{template.name}/{scenario}/{seed}')
        self.seed = seed
        self.budgets = dict.fromkeys(ORGANISATIONS, 5_000_000)
        self.lines: list[Line] = []
        self.keys = itertools.count(1)
        self.bounds: dict[str, tuple[str, float]] = {}
        for measure in SAFETY_MEASURES:
            self.at_most(measure, 0)
        self.at_most('ttft_p95_s', 1.1)
        self.at_most('token_gap_p95_ms', 28)

    @property
    def routers(self) -> dict[str, str]:
        return {f'r-{name}': name for name in self.template.data_centres}

    @property
    def model_targets(self) -> dict[str, Line]:
        template = self.template
        return {
            f'{template.model}-{number}': {
                'data_centre': self._data_centre(number),
                'service': template.model,
                'checks_fencing': template.name == 'pelabuhan',
                **ENGINE,
            }
            for number in range(template.model_targets)
        }

    @property
    def plain_targets(self) -> dict[str, Line]:
        template = self.template
        return {
            f'{template.plain}-{number}': {
                'data_centre': self._data_centre(number),
                'service': template.plain,
                'slots': 16,
            }
            for number in range(template.plain_targets)
        }

    def at_most(self, measure: str, bound: float) -> None:
        self.bounds[measure] = ('at_most', bound)

    def at_least(self, measure: str, bound: float) -> None:
        self.bounds[measure] = ('at_least', bound)

    def add(self, event: str, at: float, **fields: object) -> None:
        self.lines.append({'event': event, 'at': round(at, 4), **fields})

    def fault(
        self,
        kind: str,
        at: float,
        of: str | list[str],
        for_s: float,
        **fields: object,
    ) -> None:
        self.add('fault', at, kind=kind, of=of, for_s=for_s, **fields)

    def model_request(self, at: float, **fields: object) -> Line:
        mean_in, mean_out = self.random.choice(self.template.lengths)
        output = self._length(mean_out, 1500)
        request = {
            'key': f'{self.scenario}-{next(self.keys)}',
            'organisation': self._organisation(),
            'service': self.template.model,
            'router': self.random.choice(list(self.routers)),
            'idempotent': True,
            'prompt_tokens': self._length(mean_in, MAX_PROMPT_TOKENS),
            'max_tokens': output + self.random.randrange(200),
            'output_tokens': output,
            'prefix': f'p{self.random.randrange(12)}',
            **fields,
        }
        self.add('request', at, **request)
        return self.lines[-1]

    def plain_request(self, at: float, **fields: object) -> Line:
        request = {
            'key': f'{self.scenario}-{next(self.keys)}',
            'organisation': self._organisation(),
            'service': self.template.plain,
            'router': self.random.choice(list(self.routers)),
            'idempotent': self.random.random() < 0.6,
            'deadline_s': 10,
            **fields,
        }
        self.add('request', at, **request)
        return self.lines[-1]

    def load(
        self,
        start: float = 1,
        end: float = DURATION_S,
        factor: float = 1,
    ) -> None:
        for at in self._arrivals(start, end, self.template.model_rate * factor):
            self.model_request(at)
        for at in self._arrivals(start, end, self.template.plain_rate * factor):
            self.plain_request(at)

    def retry(self, request: Line, at: float, router: str) -> None:
        again = {name: request[name] for name in request if name != 'event'}
        again.update(at=at, router=router)
        self.add('request', **again)

    def write(self, folder: Path) -> None:
        template = self.template
        deployment = {
            'event': 'deployment',
            'name': f'{template.name}-{self.scenario}',
            'seed': self.seed,
            'data_centres': {
                name: {'one_way_ms': 1} for name in template.data_centres
            },
            'routers': self.routers,
            'targets': {**self.model_targets, **self.plain_targets},
            'services': {
                template.model: {'kind': 'model'},
                template.plain: {
                    'kind': 'plain',
                    'price_tokens': template.price_tokens,
                    'service_ms': 8,
                    'on_log_outage': template.outage_policy,
                },
            },
            'organisations': {
                name: {'budget': budget}
                for name, budget in self.budgets.items()
            },
        }
        timed = sorted(self.lines, key=lambda line: line['at'])
        expected = [
            {'event': 'expect', 'measure': measure, side: bound}
            for measure, (side, bound) in self.bounds.items()
        ]
        text = '\n'.join(
            json.dumps(line, separators=(',', ':'))
            for line in (deployment, *timed, *expected)
        )
        path = folder / f'{template.name}-{self.scenario}.jsonl.gz'
        path.write_bytes(gzip.compress(text.encode(), mtime=0))

    def _data_centre(self, number: int) -> str:
        names = self.template.data_centres
        return names[number % len(names)]

    def _organisation(self) -> str:
        return self.random.choices(ORGANISATIONS, WEIGHTS)[0]

    def _length(self, mean: int, max_tokens: int) -> int:
        drawn = self.random.lognormvariate(0, LENGTH_SIGMA) * mean / 1.2
        return max(4, min(max_tokens, round(drawn)))

    def _arrivals(
        self,
        start: float,
        end: float,
        rate: float,
    ) -> Iterator[float]:
        at = start + self.random.expovariate(rate)
        while at < end:
            yield at
            at += self.random.expovariate(rate)


def _expect_load_served(writer: Writer) -> None:
    """Expect nearly all requests of a load within capacity to succeed."""
    writer.at_most('false_refusal_share', 0.001)
    writer.at_most('unknown_outcomes', 0)
    writer.at_least('goodput_share', 0.99)


def ordinary(writer: Writer) -> None:
    writer.load()
    _expect_load_served(writer)
    leaving = f'{writer.template.model}-1'
    writer.add('leave', 60, target=leaving)
    writer.at_most('work_after_leave_s', 3)
    writer.at_most('stranded_tokens', 0)


def burst(writer: Writer) -> None:
    writer.load()
    writer.load(30, 90, factor=1)
    # The bound on the time to the first token holds for ordinary load.
    writer.bounds.pop('ttft_p95_s')
    writer.at_most('false_refusal_share', 0.001)
    writer.at_most('unknown_outcomes', 0)
    writer.at_least('goodput_share', 0.95)


def partition(writer: Writer) -> None:
    """Cut one data centre off from the rest and the log, amid top-ups."""
    writer.load()
    isolated = writer.template.data_centres[0]
    for other in writer.template.data_centres[1:]:
        writer.fault('partition', 30, [isolated, other], 60)
    writer.fault('partition', 30, [isolated, 'log'], 60)
    for at in (40, 50, 70):
        writer.add('top_up', at, organisation='org-0', tokens=50_000)
        writer.add('top_up', at + 1, organisation='org-1', tokens=50_000)
    writer.at_most('false_refusal_share', 0.01)


def log_outage(writer: Writer) -> None:
    writer.load()
    writer.fault('log_outage', 30, 'log', 60)
    writer.at_most('false_refusal_share', 0.01)


def slow_log(writer: Writer) -> None:
    writer.load()
    writer.fault('log_slow', 30, 'log', 60, by_ms=400)
    writer.at_most('false_refusal_share', 0.001)
    writer.at_most('unknown_outcomes', 0)


def lost_answers(writer: Writer) -> None:
    writer.load()
    writer.fault('log_answers_lost', 20, 'log', 80, share=0.5)
    _expect_load_served(writer)


def rolling_restart(writer: Writer) -> None:
    writer.load()
    at = 15.0
    for router in writer.routers:
        writer.add('stop', at, router=router)
        at += 12
    for target in (*writer.model_targets, *writer.plain_targets)[:5]:
        writer.fault('sidecar_crash', at, target, 3)
        at += 8
    writer.at_most('false_refusal_share', 0.001)


def router_death(writer: Writer) -> None:
    """Crash a router with open streams; all its callers retry at once."""
    writer.load()
    crashed, *others = writer.routers
    writer.fault('router_crash', 60, crashed, 20)
    for line in tuple(writer.lines):
        is_in_progress = line['event'] == 'request' and 40 < line['at'] < 60
        if is_in_progress and line['router'] == crashed:
            router = writer.random.choice(others)
            writer.retry(line, 61 + writer.random.random(), router)
        elif line.get('router') == crashed and 60 <= line['at'] < 80:
            line['router'] = writer.random.choice(others)
    writer.at_most('false_refusal_share', 0.001)
    writer.at_most('unknown_outcomes', 0)


def paused_holder(writer: Writer) -> None:
    writer.load()
    paused = next(iter(writer.routers))
    writer.fault('router_pause', 40, paused, 40)
    writer.at_most('false_refusal_share', 0.001)


def racing_patches(writer: Writer) -> None:
    writer.load()
    version = 1
    for number, at in enumerate((20, 40, 60, 80)):
        routers = list(writer.routers)[:2]
        for racer, router in enumerate(routers):
            organisation = f'new-{number}-{racer}'
            patch = {'organisations': {organisation: {'budget': 1000}}}
            writer.add(
                'patch',
                at,
                id=f'patch-{number}-{racer}',
                against=version,
                router=router,
                patch=patch,
            )
        version += 1
    _expect_load_served(writer)
    writer.at_most('patches_accepted', 4)
    writer.at_least('patches_accepted', 4)
    writer.at_most('config_convergence_s', 3)


def poison(writer: Writer) -> None:
    writer.load()
    for number in range(6):
        writer.model_request(
            30 + 6 * number,
            poison=True,
            body='deadly',
            organisation='org-9',
            prompt_tokens=100,
            max_tokens=50,
            output_tokens=50,
        )
    writer.at_most('false_refusal_share', 0.01)
    writer.at_least('goodput_share', 0.97)


def last_token(writer: Writer) -> None:
    """Exhaust two budgets through every router at once."""
    writer.budgets['org-0'] = 40_000
    writer.budgets['org-1'] = 30_000
    writer.load(end=100)
    writer.at_most('false_refusal_share', 0.001)
    writer.at_most('unknown_outcomes', 0)


def many_faults(writer: Writer) -> None:
    template = writer.template
    writer.budgets['org-0'] = 120_000
    writer.load()
    writer.fault('log_answers_lost', 10, 'log', 100, share=0.3)
    writer.fault('log_outage', 35, 'log', 15)
    writer.fault('router_crash', 40, f'r-{template.data_centres[1]}', 10)
    writer.fault('router_pause', 55, f'r-{template.data_centres[2]}', 25)
    writer.fault('sidecar_crash', 60, f'{template.plain}-0', 5)
    writer.fault('target_crash', 65, f'{template.model}-2', 5)
    first, second, *_ = template.data_centres
    writer.fault('partition', 70, [first, second], 20)
    writer.fault('host_list_lag', 20, 'host_list', 80, by_s=8)
    writer.fault('load_report_lag', 20, 'engines', 80, by_s=2)
    writer.fault('cache_events_late', 20, 'engines', 80, by_s=3, gap_share=0.2)
    writer.add('top_up', 75, organisation='org-0', tokens=60_000)
    writer.at_most('false_refusal_share', 0.05)


SCENARIOS: dict[str, Callable[[Writer], None]] = {
    'ordinary': ordinary,
    'burst': burst,
    'partition': partition,
    'log-outage': log_outage,
    'slow-log': slow_log,
    'lost-answers': lost_answers,
    'rolling-restart': rolling_restart,
    'router-death': router_death,
    'paused-holder': paused_holder,
    'racing-patches': racing_patches,
    'poison': poison,
    'last-token': last_token,
    'many-faults': many_faults,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--folder', type=Path, default=Path(__file__).parent)
    folder = parser.parse_args().folder
    for template in (PELABUHAN, CUPONRED):
        for seed, (name, scenario) in enumerate(SCENARIOS.items(), start=1):
            writer = Writer(template, name, seed)
            scenario(writer)
            writer.write(folder)


if __name__ == '__main__':
    main()
