"""Tests of calls between processes over loopback sockets."""

import asyncio
from contextlib import aclosing

from testtools import ExpectedException, TestCase
from testtools.matchers import Equals

from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import (
    AskStatus,
    Refusal,
    Resume,
    SealRun,
    WatchLoad,
)
from tests.builders.message import run_id
from tests.builders.peers import ScriptedHandler, served

HOME = Incarnation('home-1/a')


class WebSocketPeersTest(TestCase):
    def test_yields_every_reply_in_order(self) -> None:
        async def main() -> list[int]:
            versions: list[tuple[str, int]] = []
            handler = ScriptedHandler()
            async with served(handler, versions) as (peers, address, _):
                resume = Resume(run_id(), HOME, 0)
                stream = peers.stream(address, resume, traceparent='trace')
                starts = [reply.start async for reply in stream]
            self.assertThat(handler.contexts[0].sender, Equals('router-1/a'))
            self.assertThat(handler.contexts[0].version, Equals(3))
            self.assertThat(handler.contexts[0].traceparent, Equals('trace'))
            self.assertIn((address, 5), versions)
            return starts

        self.assertThat(asyncio.run(main()), Equals([0, 1, 2]))

    def test_a_caller_that_leaves_closes_the_answer(self) -> None:
        async def main() -> None:
            handler = ScriptedHandler()
            async with served(handler, []) as (peers, address, _):
                stream = peers.stream(address, WatchLoad())
                async with aclosing(stream):
                    async for _reply in stream:
                        break
                await asyncio.wait_for(handler.cancelled.wait(), 5)

        asyncio.run(main())

    def test_a_failure_arrives_as_a_refusal(self) -> None:
        async def main() -> None:
            async with served(ScriptedHandler(), []) as (peers, address, _):
                seal = SealRun(run_id(), HOME)
                reply = await peers.call(address, seal, timeout_s=5)
            assert isinstance(reply, Refusal)
            self.assertThat(reply.step, Equals('seal'))
            self.assertThat(reply.ran, Equals(True))

        asyncio.run(main())

    def test_a_crash_of_the_handler_fails_the_call(self) -> None:
        async def main() -> None:
            async with served(ScriptedHandler(), []) as (peers, address, _):
                with ExpectedException(FailureError, '.*call was interrupted'):
                    await peers.call(address, AskStatus(), timeout_s=5)

        asyncio.run(main())

    def test_a_stop_of_the_server_fails_the_call(self) -> None:
        async def main() -> None:
            async with served(ScriptedHandler(), []) as (peers, address, app):
                stream = peers.stream(address, WatchLoad())
                await anext(stream)
                await app.cleanup()
                with ExpectedException(FailureError):
                    await anext(stream)

        asyncio.run(main())

    def test_a_wrong_secret_is_rejected(self) -> None:
        async def main() -> None:
            handler = ScriptedHandler()
            serving = served(handler, [], secret='other')
            async with serving as (peers, address, _):
                with ExpectedException(FailureError):
                    await peers.call(address, AskStatus(), timeout_s=5)
            self.assertThat(handler.contexts, Equals([]))

        asyncio.run(main())
