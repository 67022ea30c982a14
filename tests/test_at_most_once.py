"""Runs sidecars through random faults and counts the runs of each key."""

import asyncio
import random
from collections import Counter

from msgspec import structs
from testtools import TestCase

from dandelioncleat.core.configuration import LogOutagePolicy
from dandelioncleat.core.failure import Code
from dandelioncleat.core.identity import host_of
from dandelioncleat.core.message import (
    Begin,
    Finished,
    Message,
    NotHome,
    Placed,
    Refusal,
    Report,
    Resume,
    Sealed,
    SealRun,
)
from dandelioncleat.ports.target import Ended, Piece
from tests.builders.sidecar import new_dispatch
from tests.builders.sidecar_fleet import (
    CONTEXT,
    Node,
    SidecarFleet,
    collect,
    new_attach,
    run_on_fleet,
)

HOSTS = ('a', 'b', 'c')
RETRY_WINDOW_S = 300.0
DURATION_S = 700.0
CALLER_RETRY_S = 200.0
CALL_TIMEOUT_S = 8.0


class Trial:
    """Runs retrying callers and random faults from one seed."""

    def __init__(self, fleet: SidecarFleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.answered: Counter[str] = Counter()
        self.sealed: set = set()
        self.keys = 0
        self.targets = []
        policy = fleet.configuration.current.policy
        fleet.configuration.set(
            fleet.configuration.current._replace(
                policy=policy._replace(retry_window_s=RETRY_WINDOW_S),
            ),
        )

    @property
    def live(self) -> list[Node]:
        """Return the nodes whose process is running."""
        return [node for node in self.fleet.nodes if not node.task.done()]

    @property
    def runs(self) -> Counter:
        """Return the number of calls that reached any target, by key."""
        return Counter(
            call.run.key for target in self.targets for call in target.calls
        )

    def running_node(self, incarnation: str) -> Node | None:
        """Return the running node of an incarnation, if any."""
        for node in self.live:
            if node.incarnation == incarnation:
                return node
        return None

    async def start(self, host: str) -> None:
        node = await self.fleet.start(host, ready=False)
        self.targets.append(node.target)
        self.answer_calls(node)

    def answer_calls(self, node: Node) -> None:
        """Have a target answer every call after a random delay."""
        target = node.target
        run = target.run

        async def run_delayed(call):
            wait_s = self.random.choice((0.01, 0.5, 5))
            end = Ended(200, 'text/plain', 0, 0, 'stop')
            asyncio.get_running_loop().call_later(
                wait_s, target.feed, call.run, Piece(b'done', 0), end
            )
            async for event in run(call):
                yield event

        target.run = run_delayed

    async def inject_faults(self) -> None:
        """Inject random faults until cancelled."""
        faults = (
            self.outage,
            self.partition,
            self.replace_node,
            self.lose_answers,
        )
        while True:
            await asyncio.sleep(self.random.uniform(5, 40))
            await self.random.choice(faults)()

    async def outage(self) -> None:
        self.fleet.log.outage = True
        await asyncio.sleep(self.random.choice((3, 30, 90)))
        self.fleet.log.outage = False

    async def partition(self) -> None:
        node = self.random.choice(self.live)
        self.fleet.partition(node)
        node.hosts.is_cut_off = self.random.random() < 0.5
        host = host_of(node.incarnation)
        if self.random.random() < 0.3:
            self.fleet.hosts.leaving_by_host.pop(host, None)
        await asyncio.sleep(self.random.choice((2, 20, 100)))
        self.fleet.hosts.leaving_by_host[host] = False
        node.hosts.is_cut_off = False
        self.fleet.reconnect(node)

    async def replace_node(self) -> None:
        node = self.random.choice(self.live)
        host = host_of(node.incarnation)
        await self.fleet.kill(node)
        if self.random.random() < 0.5:
            self.fleet.hosts.leaving_by_host.pop(host, None)
        await asyncio.sleep(self.random.choice((1, 10, 60)))
        await self.start(host)

    async def lose_answers(self) -> None:
        self.fleet.log.lost_answer_share = self.random.choice((0, 0.5))

    async def call(self) -> None:
        """Start callers until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.random.uniform(1, 8))
                self.keys += 1
                group.create_task(self.retry_until_answered(f'key {self.keys}'))

    async def retry_until_answered(self, key: str) -> None:
        """Retry one request until it is answered or the time is over."""
        loop = asyncio.get_running_loop()
        until = loop.time() + CALLER_RETRY_S
        while loop.time() < until and not self.answered[key]:
            attempts = [
                asyncio.create_task(self.attempt(key))
                for _ in range(self.random.choice((1, 1, 2)))
            ]
            await asyncio.wait(attempts)
            for attempt in attempts:
                attempt.result()
            await asyncio.sleep(self.random.choice((0.1, 5, 30)))

    async def attempt(self, key: str) -> None:
        """Act as a router: find the home, then run or resume."""
        if not self.live:
            return
        home = self.random.choice(self.live)
        executor = self.random.choice(self.live)
        reply = None
        for _ in range(3):
            reply = await self.ask(home, new_attach(key, executor))
            named = reply.owner if isinstance(reply, NotHome) else ''
            if not named or self.running_node(named) is None:
                break
            home = self.running_node(named)
        match reply:
            case Begin(run, incarnation):
                if self.random.random() < 0.2:
                    await asyncio.sleep(self.random.choice((1, 15)))
                order = new_dispatch(
                    service='app', idempotent=False, prompt_bound=5, cap=0
                )
                order = structs.replace(order, run=run, executor=incarnation)
                await self.read(key, home, run, incarnation, order)
            case Placed(run, incarnation):
                await self.read(
                    key, home, run, incarnation, Resume(run, incarnation, 0)
                )

    async def read(self, key, home, run, incarnation, message) -> None:
        """Read an answer; if refused, seal the run and report it."""
        node = self.running_node(incarnation)
        if node is None:
            return
        messages = await self.read_all(node, message)
        last = messages[-1] if messages else None
        if isinstance(last, Finished) and last.complete:
            self.answered[key] += 1
        elif isinstance(last, Refusal) and last.code != Code.UNKNOWN:
            sealed = await self.ask(node, SealRun(run, incarnation))
            if isinstance(sealed, Sealed) and not sealed.ran:
                self.sealed.add(run)
                await self.ask(home, Report(run, 0, False))

    async def ask(self, node: Node, message: Message) -> Message | None:
        messages = await self.read_all(node, message)
        return messages[0] if messages else None

    async def read_all(self, node: Node, message: Message) -> list[Message]:
        """Return the replies, or nothing if the call timed out."""
        if node.task.done():
            return []
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await collect(
                    node.sidecar.answer(message, CONTEXT),
                )
        except TimeoutError:
            return []

    async def run(self) -> None:
        for host in HOSTS:
            await self.start(host)
        await asyncio.sleep(20)
        work = [
            asyncio.create_task(self.call()),
            asyncio.create_task(self.inject_faults()),
        ]
        await asyncio.sleep(DURATION_S)
        for task in work:
            task.cancel()
        ended = await asyncio.gather(*work, return_exceptions=True)
        for result in ended:
            assert isinstance(result, asyncio.CancelledError), result


class AtMostOnceTest(TestCase):
    """No key reaches targets twice, and a sealed run reaches none."""

    def check(self, seed: int, **settings) -> None:
        trial = None

        async def scenario(fleet: SidecarFleet) -> None:
            nonlocal trial
            trial = Trial(fleet, seed)
            await trial.run()

        run_on_fleet(scenario, **settings)
        repeated = {key: n for key, n in trial.runs.items() if n > 1}
        self.assertEqual({}, repeated, f'seed {seed}')
        called = {call.run for target in trial.targets for call in target.calls}
        self.assertEqual(set(), called & trial.sealed, f'seed {seed}')
        self.assertGreater(len(trial.runs), trial.keys * 0.3, f'seed {seed}')

    def test_key_runs_at_most_once_with_the_refuse_policy(self) -> None:
        for seed in range(4):
            self.check(seed)

    def test_key_runs_at_most_once_with_the_guarded_policy(self) -> None:
        for seed in (1, 7, 8, 17):
            self.check(seed, on_log_outage=LogOutagePolicy.GUARDED)
