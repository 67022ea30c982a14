"""Plays soaks by hand: ``python -m tests.soak --seed 1 fail kill``.

The programs need ``sh deploy/build.sh`` first. Exits with 1 if a promise was
broken.
"""

import argparse
import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

import fleet as fleets

from tests.soak.play import Plan, play
from tests.soak.troubles import TROUBLES


def main():
    """Play the plan that the arguments say, for each seed."""
    parser = argparse.ArgumentParser(prog='tests.soak')
    parser.add_argument('troubles', nargs='*', choices=sorted(TROUBLES))
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--length', type=float, default=40.0, help='seconds')
    parser.add_argument('--rate', type=float, default=60.0)
    parser.add_argument('--routers', type=int, default=4)
    parser.add_argument('--targets', type=int, default=4)
    parser.add_argument('--prepaid', type=int, default=1_000_000_000)
    parser.add_argument('--attempts', type=int, default=2)
    parser.add_argument('--descriptors', type=int, help='limit of each process')
    parser.add_argument('--memory', type=int, help='limit in MiB, and settings')
    parser.add_argument(
        '--programs', type=Path, help='checkout whose programs are played'
    )
    parser.add_argument('--folder', type=Path, help='where records are kept')
    arguments = parser.parse_args()
    if arguments.programs is not None:
        fleets.ROOT = arguments.programs.resolve()
    folder = arguments.folder or Path(tempfile.mkdtemp(prefix='soak-'))
    folder.mkdir(parents=True, exist_ok=True)
    is_broken = False
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        plan = Plan(
            seed,
            tuple(arguments.troubles),
            routers=arguments.routers,
            targets=arguments.targets,
            length_s=arguments.length,
            rate=arguments.rate,
            prepaid=arguments.prepaid,
            attempts=arguments.attempts,
            limits=_limits(arguments),
            memory_mb=arguments.memory,
        )
        record = fleets.Record(folder / f'record-{seed}.txt')
        os.environ['KEEP_LOGS'] = str(folder / f'logs-{seed}')
        verdict = asyncio.run(_play(record, plan))
        for each in (*verdict.lost, *verdict.overdue):
            record(
                'lost' if each in verdict.lost else 'overdue', **_fields(each)
            )
        print(f'seed {seed} {" ".join(plan.troubles)}: {verdict}', flush=True)
        is_broken = is_broken or max(verdict.used_by_service.values()) > 1
        is_broken = is_broken or bool(verdict.lost or verdict.not_refused)
        is_broken = is_broken or bool(verdict.limits.broken)
        is_broken = is_broken or verdict.sound.is_broken
    sys.exit(int(is_broken))


async def _play(record, plan):
    """Play a plan; a soak that is told to end also ends its programs."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await play(record, plan)


def _limits(arguments):
    limits = {'maxFds': arguments.descriptors, 'memoryMb': arguments.memory}
    return {name: most for name, most in limits.items() if most is not None}


def _fields(sent):
    fields = sent._asdict()
    kind = fields.pop('kind')
    return {**fields, 'kind': kind.name}


if __name__ == '__main__':
    main()
