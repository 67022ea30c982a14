"""Tests of the configuration keeper."""

import asyncio
import random
from contextlib import asynccontextmanager

from testtools import TestCase

from dandelioncleat.adapters import virtual_time
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.configuration_operations import ConfigurationOperations
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.patch_verdict import PatchAccepted, PatchConflict
from dandelioncleat.standin.log import MemoryLog
from tests.builders.configuration import build_document, build_patch


@asynccontextmanager
async def running(*keepers):
    """Run keepers during a ``with`` block."""
    tasks = [asyncio.create_task(keeper.run()) for keeper in keepers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def new_keeper(log, name):
    return ConfigurationKeeper(log=log, producer=Incarnation(f'{name}/1'))


async def reach(keeper, version):
    """Wait until a keeper has a version in force."""
    changed = asyncio.Event()
    keeper.on_change(changed.set)
    while keeper.current.version < version:
        await changed.wait()
        changed.clear()


class KeeperTest(TestCase):
    """Each patch takes effect once, at every process."""

    def test_racing_patches_at_four_routers_have_one_winner(self):
        async def scenario():
            log = MemoryLog(
                generator=random.Random(1),
            )
            log.lost_answer_share = 0.7
            keepers = [new_keeper(log, f'router-{n}') for n in range(4)]
            async with running(*keepers):
                verdicts = await asyncio.gather(
                    *(
                        keeper.submit(
                            build_patch(
                                {'policy': {'subset_size': n + 1}},
                                patch=f'patch-{n}',
                            )
                        )
                        for n, keeper in enumerate(keepers)
                    )
                )
                for keeper in keepers:
                    await reach(keeper, 1)
            return verdicts, [keeper.current for keeper in keepers]

        verdicts, versions = virtual_time.run(scenario())
        winners = [v for v in verdicts if isinstance(v, PatchAccepted)]
        losers = [v for v in verdicts if isinstance(v, PatchConflict)]
        self.assertEqual((1, 3), (len(winners), len(losers)))
        winner = f'patch-{verdicts.index(winners[0])}'
        self.assertEqual({winner}, {loser.winner for loser in losers})
        self.assertEqual([versions[0]] * 4, versions)
        self.assertEqual(1, versions[0].version)

    def test_same_patch_at_two_routers_has_one_effect(self):
        async def scenario():
            log = MemoryLog()
            keepers = [new_keeper(log, f'router-{n}') for n in range(2)]
            async with running(*keepers):
                patch = build_patch(build_document())
                verdicts = [await keeper.submit(patch) for keeper in keepers]
                return verdicts, keepers[1].current.version

        verdicts, version = virtual_time.run(scenario())
        self.assertEqual((verdicts[0], 1), (verdicts[1], version))

    def test_restarted_process_is_not_ready_below_a_reported_version(self):
        async def scenario():
            log = MemoryLog()
            first = new_keeper(log, 'router-1')
            restarted = new_keeper(log, 'router-1')
            async with running(first):
                await first.submit(build_patch(build_document()))
            log.outage = True
            readiness = [restarted.ready]
            async with running(restarted):
                await asyncio.sleep(5)
                readiness.append(restarted.ready)
                restarted.note_peer_version(1, 'router-2/1')
                log.outage = False
                await reach(restarted, 1)
                readiness.append(restarted.ready)
            return readiness

        self.assertEqual([False, False, True], virtual_time.run(scenario()))

    def test_partitioned_process_is_not_ready_after_newer_version(self):
        async def scenario():
            log = MemoryLog()
            keeper = new_keeper(log, 'router-1')
            async with running(keeper):
                await keeper.submit(build_patch(build_document()))
                log.outage = True
                await asyncio.sleep(60)
                readiness = [keeper.ready]
                keeper.note_peer_version(2, 'router-2/1')
                readiness.append(keeper.ready)
            return readiness, keeper.current.version

        self.assertEqual(([True, False], 1), virtual_time.run(scenario()))

    def test_process_that_is_behind_waits_for_the_version(self):
        async def scenario():
            log = MemoryLog()
            ahead = new_keeper(log, 'router-1')
            behind = new_keeper(log, 'router-2')
            newer_peers = []
            behind.on_newer_peer(newer_peers.append)
            async with running(ahead, behind):
                await reach(ahead, 0)
                await behind.caught_up.wait()
                behind.note_peer_version(1, 'router-1/1')
                refused = await behind.wait_ready(1)
                waiting = asyncio.create_task(behind.wait_ready(60))
                await ahead.submit(build_patch(build_document()))
                return refused, await waiting, newer_peers

        self.assertEqual(
            (False, True, ['router-1/1']), virtual_time.run(scenario())
        )

    def test_patch_at_a_router_that_lags_waits_for_the_version(self):
        async def scenario():
            log = MemoryLog()
            ahead = new_keeper(log, 'router-1')
            behind = new_keeper(log, 'router-2')
            second = build_patch(
                {'policy': {'subset_size': 3}}, against=1, patch='patch-2'
            )
            operations = ConfigurationOperations(behind)
            async with running(ahead, behind):
                too_early = await operations.submit(second)
                waiting = asyncio.create_task(operations.submit(second))
                await ahead.submit(build_patch(build_document()))
                return too_early, await waiting

        too_early, verdict = virtual_time.run(scenario())
        self.assertEqual(PatchConflict(1, 0, '', ''), too_early)
        self.assertEqual(2, verdict.version)
