"""Compares the placement policies under delayed load reports, in memory.

Routers send requests to targets that serve them first come, first served in
a fixed number of slots. The decisions and the correction of load reports
are the router's own code. Run with ``python bench/placement_policies.py``.
"""

import heapq
import itertools
import json
import random
import sys
from collections import OrderedDict, deque
from typing import Any, NamedTuple

from dandelioncleat.app.target_record import SentRun, TargetRecord
from dandelioncleat.core.identity import Digest, Incarnation
from dandelioncleat.core.message import Load
from dandelioncleat.core.placement import (
    POLICIES_BY_NAME,
    Candidate,
    PlacementContext,
)
from dandelioncleat.core.record import Join

ROUTERS = 4
TARGETS = 10
SLOTS = 8
KV_TOKENS = 40000
REPORT_INTERVAL_S = 0.5
PREFIXES = 60
CACHED_PREFIXES = 8
PREFILL_TOKENS_S = 4000
DECODE_TOKENS_S = 40
REQUESTS = 6000
SEEDS = (1, 2, 3)
WORKLOADS = {
    'chat': (642, 262),
    'agents': (1660, 373),
    'contracts': (5900, 499),
}


class Job(NamedTuple):
    """One request and when it arrived, in seconds."""

    arrived_at: float
    prompt: int
    output: int
    prefix: Digest
    done: Any


class Target:
    """Serves jobs in slots and caches the last prefixes that it served."""

    def __init__(self) -> None:
        self.running: list[Job] = []
        self.queue: deque[Job] = deque()
        self.cache: OrderedDict[Digest, bool] = OrderedDict()

    def load(self, name: str) -> Load:
        """Return a report of the present state."""
        jobs = [*self.running, *self.queue]
        demand = sum(job.prompt + job.output for job in jobs)
        return Load(
            name, Incarnation(name), False, SLOTS, len(self.running),
            len(self.queue), demand, KV_TOKENS, 0, tuple(self.cache),
        )  # fmt: skip

    def service_s(self, job: Job) -> tuple[float, float]:
        """Return the time to the first token and to the last."""
        hit = job.prefix in self.cache
        self.cache[job.prefix] = True
        self.cache.move_to_end(job.prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        prompt = job.prompt * (0.2 if hit else 1)
        first_s = prompt / PREFILL_TOKENS_S
        return first_s, first_s + job.output / DECODE_TOKENS_S


def new_jobs(generator: random.Random, workload: str, load: float) -> list[Job]:
    """Return requests at a share ``load`` of what the targets can serve."""
    prompt, output = WORKLOADS[workload]
    mean_s = prompt / PREFILL_TOKENS_S + output / DECODE_TOKENS_S
    rate = load * TARGETS * SLOTS / mean_s
    now = 0.0
    jobs = []
    for _ in range(REQUESTS):
        now += generator.expovariate(rate)
        spread = generator.lognormvariate(-0.5, 1)
        prefix = int(PREFIXES * generator.random() ** 3)
        jobs.append(
            Job(
                now,
                max(1, int(prompt * generator.lognormvariate(-0.5, 1))),
                max(1, int(output * spread)),
                Digest(str(prefix)),
                None,
            )
        )
    return jobs


def run(policy: str, workload: str, load: float, lag_s: float, seed: int):
    """Return the times to the first token of all requests, in s."""
    generator = random.Random(seed)
    jobs = new_jobs(generator, workload, load)
    targets = [Target() for _ in range(TARGETS)]
    records = [
        [
            TargetRecord(Join(Incarnation(str(t)), 'sidecar', 'a', '', str(t)))
            for t in range(TARGETS)
        ]
        for _ in range(ROUTERS)
    ]
    order = itertools.count()
    events: list[tuple[float, int, str, Any]] = []
    first_token_times_s: list[float] = []
    choose = POLICIES_BY_NAME[policy]

    def push(at: float, kind: str, what: Any) -> None:
        heapq.heappush(events, (at, next(order), kind, what))

    def start(now: float, index: int) -> None:
        target = targets[index]
        while target.queue and len(target.running) < SLOTS:
            job = target.queue.popleft()
            target.running.append(job)
            first_s, last_s = target.service_s(job)
            first_token_times_s.append(now + first_s - job.arrived_at)
            push(now + last_s, 'end', (index, job))

    def place(now: float, number: int, job: Job) -> None:
        own = records[number % ROUTERS]
        found = [each.candidate(now) for each in own]
        candidates: list[Candidate] = [each for each in found if each]
        context = PlacementContext(
            'a', (job.prefix,), number // ROUTERS, generator
        )
        index = int(choose(candidates, context).sidecar)
        own[index].begin(number, SentRun(now, job.prompt + job.output))
        targets[index].queue.append(job._replace(done=(own[index], number)))
        start(now, index)

    for index in range(TARGETS):
        push(0, 'told', (index, 0, targets[index].load(str(index))))
        push(index * REPORT_INTERVAL_S / TARGETS, 'report', index)
    for number, job in enumerate(jobs):
        push(job.arrived_at, 'arrive', (number, job))
    left = len(jobs)
    while left:
        now, _, kind, what = heapq.heappop(events)
        if kind == 'arrive':
            place(now, *what)
        elif kind == 'end':
            index, job = what
            targets[index].running.remove(job)
            record, ticket = job.done
            record.end(ticket, now)
            left -= 1
            start(now, index)
        elif kind == 'report':
            report = targets[what].load(str(what))
            push(now + lag_s, 'told', (what, now, report))
            push(now + REPORT_INTERVAL_S, 'report', what)
        else:
            index, made_at, report = what
            for own in records:
                own[index].take(report, made_at)
    return first_token_times_s


def p95(values: list[float]) -> float:
    """Return the 95th percentile."""
    return sorted(values)[int(len(values) * 0.95)]


def main() -> None:
    """Print a table of 95th percentiles, as ratios to round robin."""
    rows = []
    for workload, load, lag_s in itertools.product(
        WORKLOADS, (0.6, 0.85), (0.1, 1.0, 5.0)
    ):
        row: dict[str, Any] = {
            'workload': workload,
            'load': load,
            'lag_s': lag_s,
        }
        base = 0.0
        for policy in (
            'round_robin',
            'least_reported_load',
            'two_choices',
            'kv_demand',
        ):
            value = sum(
                p95(run(policy, workload, load, lag_s, seed)) for seed in SEEDS
            ) / len(SEEDS)
            base = base or value
            row[policy] = round(value / base, 2)
        row['round_robin_s'] = round(base, 2)
        rows.append(row)
        sys.stdout.write(json.dumps(row) + '\n')


if __name__ == '__main__':
    main()
