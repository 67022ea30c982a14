"""Tests of checkpoints: start, gaps, damage and outages beyond retention."""

import asyncio
from collections.abc import Awaitable, Callable

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, IsInstance, LessThan

from dandelioncleat.adapters.virtual_time import run
from dandelioncleat.app.checkpoint import MAX_AGE_S, CheckpointStore
from dandelioncleat.app.stream import StreamFollower
from dandelioncleat.core.checkpoint import (
    Checkpoint,
    assemble,
    chunks_of,
    manifest_of,
)
from dandelioncleat.core.envelope import ledger_codec
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.ledger import LedgerFold
from dandelioncleat.core.ledger_verdict import LedgerVerdict
from dandelioncleat.core.record import LedgerRecord
from dandelioncleat.standin.log import MemoryLog, Retention
from tests.builders.budgets import LogLink
from tests.builders.ledger import BUDGET, top_up

STREAM = 'ledger-0'
RETENTION_S = 3600.0

Follower = StreamFollower[LedgerRecord, LedgerVerdict]


class World:
    """Starts and stops followers of one stream."""

    def __init__(self) -> None:
        self.log = MemoryLog(retention=Retention(age_s=RETENTION_S))
        self.links: dict[str, LogLink] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.numbers = 0

    async def start(self, name: str) -> Follower:
        self.links[name] = LogLink(self.log)
        follower = StreamFollower(
            log=self.links[name],
            name=STREAM,
            fold=LedgerFold(),
            codec=ledger_codec(),
            producer=Incarnation(name),
        )
        self.tasks[name] = asyncio.create_task(follower.run())
        async with asyncio.timeout(600):
            await follower.caught_up.wait()
        return follower

    async def stop(self, name: str) -> None:
        self.tasks[name].cancel()
        await asyncio.gather(self.tasks.pop(name), return_exceptions=True)

    async def add(self, follower: Follower, count: int) -> None:
        for _ in range(count):
            self.numbers += 1
            await follower.submit(top_up(1, f'reference-{self.numbers}'))


def topped_up(follower: Follower) -> int:
    fold = follower.fold
    assert isinstance(fold, LedgerFold)
    return fold.balance(BUDGET).topped_up


class CheckpointTest(TestCase):
    def run_world(self, scenario: Callable[[World], Awaitable[None]]) -> None:
        async def main() -> None:
            world = World()
            await scenario(world)
            for name in tuple(world.tasks):
                await world.stop(name)

        run(main())

    def test_start_after_entries_expired_uses_a_checkpoint(self) -> None:
        async def scenario(world: World) -> None:
            first = await world.start('a/1')
            await world.add(first, 20)
            await asyncio.sleep(2 * RETENTION_S)
            await world.add(first, 5)
            second = await world.start('b/1')
            self.assertThat(topped_up(second), Equals(25))
            self.assertThat(second.position, Equals(first.position))

        self.run_world(scenario)

    def test_start_without_entries_or_checkpoint_waits(self) -> None:
        async def scenario(world: World) -> None:
            first = await world.start('a/1')
            await world.add(first, 20)
            world.links['a/1'].is_cut = True
            await asyncio.sleep(2 * RETENTION_S)
            starting = asyncio.create_task(world.start('b/1'))
            await asyncio.sleep(300)
            self.assertThat(starting.done(), Equals(False))
            world.links['a/1'].is_cut = False
            second = await starting
            self.assertThat(topped_up(second), Equals(20))

        self.run_world(scenario)

    def test_follower_behind_retention_catches_up_by_checkpoint(self) -> None:
        async def scenario(world: World) -> None:
            first = await world.start('a/1')
            second = await world.start('b/1')
            await world.add(first, 20)
            world.links['b/1'].is_cut = True
            await world.add(first, 20)
            await asyncio.sleep(2 * RETENTION_S)
            await world.add(first, 1)
            world.links['b/1'].is_cut = False
            await asyncio.sleep(MAX_AGE_S)
            self.assertThat(topped_up(second), Equals(41))
            self.assertThat(second.caught_up.is_set(), Equals(True))

        self.run_world(scenario)

    def test_submit_whose_verdict_expired_unread_fails(self) -> None:
        async def scenario(world: World) -> None:
            first = await world.start('a/1')
            second = await world.start('b/1')
            await world.add(first, 3)
            world.links['b/1'].reads_fail = True
            submitted = asyncio.create_task(second.submit(top_up(7, 'x')))
            await asyncio.sleep(2 * RETENTION_S)
            await world.add(first, 1)
            world.links['b/1'].reads_fail = False
            ends = await asyncio.gather(submitted, return_exceptions=True)
            self.assertThat(ends[0], IsInstance(FailureError))
            await asyncio.sleep(1)
            self.assertThat(topped_up(second), Equals(11))
            await world.add(second, 1)

        self.run_world(scenario)

    def test_many_followers_publish_few_checkpoints(self) -> None:
        async def scenario(world: World) -> None:
            followers = [await world.start(f'{name}/1') for name in 'abcdefgh']
            await world.add(followers[0], 10)
            await asyncio.sleep(3 * MAX_AGE_S)
            page = await world.log.read(f'{STREAM}.checkpoints', start=0)
            self.assertThat(page.end, GreaterThan(2))
            self.assertThat(page.end, LessThan(16))

        self.run_world(scenario)

    def test_damaged_checkpoint_is_skipped(self) -> None:
        async def scenario(world: World) -> None:
            store = CheckpointStore(log=world.log, stream=STREAM)
            good = Checkpoint(3, {}, b'state')
            await store.publish(good)
            await world.log.append(f'{STREAM}.checkpoints', b'\xc1')
            bad = Checkpoint(9, {}, b'other')
            chunks = chunks_of(bad)
            self.assertThat(
                assemble(manifest_of(bad, chunks, (0,)), chunks[:0]),
                Equals(None),
            )
            self.assertThat(await store.load(), Equals(good))

        self.run_world(scenario)
