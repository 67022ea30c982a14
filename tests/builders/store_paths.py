"""Builders of a process's path to the store, which can fall silent."""

import asyncio

from dandelioncleat.app.direct.topic_follower import CONFIRM_LIMIT_S
from dandelioncleat.core.failure import Code, failure_error


class FreshTopic:
    """A topic of which everything is always known."""

    age_s = 0.0

    async def confirm(self, *, max_age_s):
        """Return that what is known is not older."""
        return True


class SilentTopic:
    """A topic of a store that does not answer."""

    age_s = 9.0

    async def confirm(self, *, max_age_s):
        """Return that what is known is still as old, after a while."""
        await asyncio.sleep(CONFIRM_LIMIT_S)
        return False


class LosingPath:
    """A way to the store that loses what is sent while it is silent.

    A call that is sent, or waits, while it is silent fails after its time
    limit, also if the store answers again before.
    """

    def __init__(self, store, *, limit_s=1.0):
        """Initialise with the store; the path is open."""
        self.calls = 0
        self._store = store
        self._limit_s = limit_s
        self._is_silent = False
        self._lost = asyncio.Event()

    def fall_silent(self):
        """Lose all calls from now on, and those that are under way."""
        self._is_silent = True
        self._lost.set()
        self._lost = asyncio.Event()

    def open(self):
        """Let the calls pass that are sent from now on."""
        self._is_silent = False

    async def newest(self, topic):
        """Return the newest record of each key."""
        return await self._call(self._store.newest(topic), 0)

    async def read(self, topic, *, start, wait_s):
        """Return the records from ``start`` on."""
        call = self._store.read(topic, start=start, wait_s=wait_s)
        return await self._call(call, wait_s)

    async def append(self, topic, records, *, at=None, producer=None):
        """Append records and return the new end of the topic."""
        call = self._store.append(topic, records, at=at, producer=producer)
        return await self._call(call, 0)

    async def _call(self, call, wait_s):
        self.calls += 1
        ends_at = _now() + wait_s + self._limit_s
        if self._is_silent:
            call.close()
            raise await _time_out(ends_at)
        answer = asyncio.ensure_future(call)
        lost = asyncio.ensure_future(self._lost.wait())
        try:
            await asyncio.wait(
                (answer, lost), return_when=asyncio.FIRST_COMPLETED
            )
            if answer.done():
                return answer.result()
            raise await _time_out(ends_at)
        finally:
            answer.cancel()
            lost.cancel()


async def _time_out(ends_at):
    """Return the error of a call that got no answer, once that is due."""
    await asyncio.sleep(ends_at - _now())
    return failure_error(Code.LOG, step='call', peer='store', text='no answer')


def _now():
    return asyncio.get_running_loop().time()


class StorePath:
    """One process's way to the store.

    While it is silent, calls wait: those that were sent before get their
    answers afterwards.
    """

    def __init__(self, store):
        """Initialise with the store; the path is open."""
        self._store = store
        self._open = asyncio.Event()
        self._open.set()

    @property
    def era(self):
        """Return the era of the store."""
        return self._store.era

    def fall_silent(self):
        """Hold all calls and answers from now on."""
        self._open.clear()

    def open(self):
        """Let all calls and answers pass again."""
        self._open.set()

    async def newest(self, topic):
        """Return the newest record of each key."""
        await self._open.wait()
        page = await self._store.newest(topic)
        await self._open.wait()
        return page

    async def read(self, topic, *, start, wait_s):
        """Return the records from ``start`` on."""
        await self._open.wait()
        page = await self._store.read(topic, start=start, wait_s=wait_s)
        await self._open.wait()
        return page

    async def append(self, topic, records, *, at=None, producer=None):
        """Append records and return the new end of the topic."""
        await self._open.wait()
        appended = await self._store.append(
            topic, records, at=at, producer=producer
        )
        await self._open.wait()
        return appended
