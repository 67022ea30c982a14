"""Builders of a process's path to the store, which can fall silent."""

import asyncio


class FreshTopic:
    """A topic of which everything is always known."""

    age_s = 0.0

    async def confirm(self, *, max_age_s):
        """Return that what is known is not older."""
        return True


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
