"""Runs configuration keepers under seeded faults and checks invariants."""

import asyncio
import random

from testtools import TestCase

from dandelioncleat.adapters import virtual_time
from dandelioncleat.app.configuration import (
    CONFIGURATION_STREAM,
    ConfigurationKeeper,
)
from dandelioncleat.app.log_relay import LogRelay
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.patch_verdict import PatchAccepted, PatchConflict
from dandelioncleat.core.relay import LiveRouter
from dandelioncleat.standin.log import MemoryLog, Retention
from tests.builders.configuration import build_patch
from tests.test_configuration_keeper import new_keeper, reach, running

SEEDS = range(12)
STEPS = 60


def failure(code, peer):
    return failure_error(code, step='call', peer=peer, text='parted')


class LinkedLog:
    """Forwards to the log unless its process is partitioned from it."""

    def __init__(self, world, name):
        self.world = world
        self.name = name

    async def append(self, stream, data):
        self.check()
        return await self.world.log.append(stream, data)

    async def read(self, stream, **options):
        self.check()
        page = await self.world.log.read(stream, **options)
        self.check()
        return page

    def check(self):
        if self.name in self.world.partitioned:
            raise failure(Code.LOG, 'log')


class Process:
    """One process; each restart gives it a new incarnation."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.starts = 0
        self.start()

    def start(self):
        self.starts += 1
        self.highest_served = 0
        self.highest_received = 0
        self.incarnation = Incarnation(f'{self.name}/{self.starts}')
        self.relay = LogRelay(
            log=LinkedLog(self.world, self.name),
            incarnation=self.incarnation,
            data_centre='klang-a',
            peers=self,
            streams=(CONFIGURATION_STREAM,),
        )
        self.relay.routers = self.world.places
        self.keeper = ConfigurationKeeper(
            log=self.relay, producer=self.incarnation
        )
        self.keeper.on_newer_peer(
            lambda peer: self.relay.note_newer_peer(CONFIGURATION_STREAM, peer)
        )
        self.task = asyncio.create_task(self.keeper.run())

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def call(self, address, message, *, timeout_s):
        other = self.world.processes_by_name[address]
        if self.world.is_cut(self.name, address):
            await asyncio.sleep(timeout_s)
            raise failure(Code.UNREACHABLE, address)
        other.receive_version(self)
        reply = await other.relay.answer(message)
        if self.world.is_cut(self.name, address):
            raise failure(Code.UNREACHABLE, address)
        self.receive_version(other)
        return reply

    def receive_version(self, other):
        """Note the version in a frame from another process."""
        version = other.keeper.current.version
        self.highest_received = max(self.highest_received, version)
        self.keeper.note_peer_version(version, other.name)

    def serve(self):
        """Serve a request if ready; its version must never go backwards."""
        if not self.keeper.ready:
            return
        version = self.keeper.current.version
        assert version >= max(self.highest_served, self.highest_received)
        self.highest_served = version


class World:
    """Six processes with random faults; four of them relay the log."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.log = MemoryLog(generator=random.Random(seed))
        self.partitioned = set()
        self.cuts = set()
        self.verdict_tasks = []
        self.processes_by_name = {}
        for number in range(6):
            name = f'router-{number}'
            self.processes_by_name[name] = Process(self, name)

    def places(self):
        return tuple(
            LiveRouter(process.incarnation, 'klang-a', name)
            for name, process in self.processes_by_name.items()
        )

    def is_cut(self, start, end):
        return (start, end) in self.cuts or (end, start) in self.cuts

    async def step(self):
        names = list(self.processes_by_name)
        process = self.processes_by_name[self.random.choice(names)]
        other = self.processes_by_name[self.random.choice(names)]
        match self.random.randrange(9):
            case 0 | 1:
                self.submit(process)
            case 2:
                self.partitioned ^= {process.name}
            case 3:
                self.cuts ^= {(process.name, other.name)}
            case 4:
                await process.stop()
                process.start()
            case 5:
                self.log.outage = not self.log.outage
            case 6:
                self.log.lost_answer_share = self.random.choice([0, 0.6])
            case _:
                if not self.is_cut(process.name, other.name):
                    process.receive_version(other)
        await asyncio.sleep(self.random.choice([0, 0.01, 1, 4]))
        for each in self.processes_by_name.values():
            each.serve()

    def submit(self, process):
        against = process.keeper.current.version
        number = self.random.randrange(1, 4)
        patch = build_patch(
            {'policy': {'subset_size': number}},
            against=against,
            patch=f'{against}-{number}',
        )
        task = asyncio.create_task(process.keeper.submit(patch))
        self.verdict_tasks.append((patch, task))

    async def heal(self):
        self.partitioned.clear()
        self.cuts.clear()
        self.log.outage = False
        self.log.lost_answer_share = 0
        await asyncio.sleep(60)


async def run_world(seed):
    world = World(seed)
    for _ in range(STEPS):
        await world.step()
    await world.heal()
    keepers = [p.keeper for p in world.processes_by_name.values()]
    verdicts = [
        (patch, task.result())
        for patch, task in world.verdict_tasks
        if task.done() and not task.cancelled()
    ]
    ready = [keeper.ready for keeper in keepers]
    versions = {(k.current.version, k.current.digest) for k in keepers}
    for process in world.processes_by_name.values():
        await process.stop()
    for _, task in world.verdict_tasks:
        task.cancel()
    return verdicts, ready, versions, keepers[0].fold.history


class RacesTest(TestCase):
    """Partitions, restarts, outages and lost answers, by seed."""

    def test_faults_neither_fork_nor_revert_the_configuration(self):
        accepted = 0
        for seed in SEEDS:
            verdicts, ready, versions, history = virtual_time.run(
                run_world(seed)
            )
            self.assertEqual([True] * 6, ready, f'seed {seed}')
            self.assertEqual(1, len(versions), f'seed {seed}')
            winners = {
                number: entry.patch.patch
                for number, entry in history.entries_by_version.items()
            }
            for patch, verdict in verdicts:
                winner = winners.get(patch.against + 1)
                if isinstance(verdict, PatchAccepted):
                    self.assertEqual(patch.patch, winner)
                    accepted += 1
                elif isinstance(verdict, PatchConflict):
                    self.assertNotEqual(patch.patch, winner)
                    self.assertIn(verdict.winner, {winner, ''})
        self.assertGreater(accepted, len(SEEDS))


class RetentionTest(TestCase):
    """A stream is still readable after its entries have expired."""

    def test_process_starts_from_a_checkpoint(self):
        async def scenario():
            log = MemoryLog(retention=Retention(age_s=3600))
            first = new_keeper(log, 'router-1')
            async with running(first):
                for number in range(3):
                    document = {'policy': {'subset_size': number + 1}}
                    await first.submit(
                        build_patch(
                            document, against=number, patch=f'patch-{number}'
                        )
                    )
                await asyncio.sleep(7200)
                late = new_keeper(log, 'router-2')
                async with running(late):
                    await reach(late, 3)
                    again = build_patch(
                        {'policy': {'subset_size': 3}},
                        against=2,
                        patch='patch-2',
                    )
                    verdict = await late.submit(again)
                    return first.current, late.current, verdict

        first, late, verdict = virtual_time.run(scenario())
        self.assertEqual(first, late)
        self.assertEqual(PatchAccepted(3, first.digest), verdict)
