"""Relays on loopback, as links that can be slow, silent or reset."""

import asyncio
import contextlib
import re
from enum import StrEnum
from types import SimpleNamespace

READ_BYTES = 65_536
SLOW_S = 0.05
_REQUEST_ID = re.compile(rb'Request-Id: ([0-9a-f]+)\r\n')
# Of the links that are harmed, how many are reset as well.
RESET_SHARE = 0.3


class LinkMode(StrEnum):
    """How a link treats what it carries."""

    SOUND = 'sound'
    SLOW = 'slow'
    SILENT = 'silent'
    """It keeps the bytes of both directions until it is sound again."""
    NO_ANSWERS = 'no answers'
    """It keeps what comes back."""
    RESET = 'reset'
    """It resets connections as soon as they carry something."""


class Link:
    """Carries connections to an address from one of its own.

    ``broken`` has the ids of the requests that did not get through, or whose
    answers it has cut off.
    """

    def __init__(self, upstream):
        """Initialise with the ``ip:port`` that it leads to."""
        self.upstream = upstream
        self.address = ''
        self._mode = LinkMode.SOUND
        self._goes_on = asyncio.Event()
        self._goes_on.set()
        self._answered_by_writer = {}
        self._server = None
        self.broken = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def close(self):
        """Reset all connections, and listen no more."""
        self._server.close()
        self.reset()

    @property
    def mode(self):
        """Return how it treats what it carries."""
        return self._mode

    @mode.setter
    def mode(self, mode):
        self._mode = mode
        if mode in {LinkMode.SILENT, LinkMode.NO_ANSWERS}:
            self._goes_on.clear()
        else:
            self._goes_on.set()

    def reset(self):
        """Reset the connections that are open now."""
        for writer, answered in self._answered_by_writer.items():
            self.broken.update(answered[-1:])
            writer.transport.abort()

    async def _serve(self, reader, writer):
        host, _, port = self.upstream.partition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            # Nobody listens there, so nobody has read this request.
            data = await reader.read(READ_BYTES)
            self.broken.update(_REQUEST_ID.findall(data))
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        answered = []
        self._answered_by_writer.update(dict.fromkeys(pair, answered))
        there = self._carry(reader, far_writer)
        back = self._carry(far_reader, writer, answered)
        try:
            await asyncio.gather(there, back)
        except OSError:
            self.broken.update(answered[-1:])
            # Both ends see a reset.
            for each in pair:
                each.transport.abort()
        finally:
            for each in pair:
                del self._answered_by_writer[each]
                each.close()

    async def _carry(self, reader, writer, answered=None):
        is_answer = answered is not None
        while data := await reader.read(READ_BYTES):
            requests = _REQUEST_ID.findall(data)
            if is_answer:
                answered += requests
            kept = set(requests) - self.broken
            self.broken |= kept
            await self._pass(is_answer=is_answer)
            writer.write(data)
            await writer.drain()
            if not writer.is_closing():
                self.broken -= kept
        await self._pass(is_answer=is_answer)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _pass(self, *, is_answer):
        if self._mode is LinkMode.RESET:
            raise ConnectionResetError
        if self._mode is LinkMode.SLOW:
            await asyncio.sleep(SLOW_S)
        if is_answer or self._mode is not LinkMode.NO_ANSWERS:
            await self._goes_on.wait()


class Links:
    """The links of a soak: to each target and router, and to the store."""

    def __init__(self, soak):
        """Lay no link yet."""
        self.to_targets = []
        self.to_store = []
        self.to_callers = []
        self._soak = soak

    async def lay(self):
        """Lay all links; the targets run, the other processes don't yet."""
        for target in self._soak.targets:
            link = await _started(target.address)
            target.address = link.address
            target.register()
            self.to_targets.append(link)
        for router in self._soak.routers:
            front = f'127.0.0.1:{router.ports["front"]}'
            self.to_callers.append(await _started(front))
            await self._lay_to_store(router)

    def fronts(self):
        """Return the addresses that callers use, with the routers' names."""
        return [
            SimpleNamespace(name=router.name, front=_pair(link.address))
            for router, link in zip(
                self._soak.routers, self.to_callers, strict=False
            )
        ]

    async def _lay_to_store(self, router):
        link = await _started(self._soak.store.address)
        self.to_store.append(link)
        settings = router.settings
        router.settings = lambda: {
            **settings(),
            'platform': {'address': link.address},
        }

    def broken(self):
        """Return the requests that were cut off before or behind a router."""
        links = (*self.to_targets, *self.to_callers)
        return {name.decode() for link in links for name in link.broken}

    def close(self):
        """Close all links."""
        for links in (
            self.to_targets,
            self.to_store,
            self.to_callers,
        ):
            for link in links:
                link.close()


async def _started(upstream):
    link = Link(upstream)
    await link.start()
    return link


def _pair(address):
    host, _, port = address.partition(':')
    return host, int(port)


async def harm_links(soak, links, source, *, modes, most_s):
    """Harm some links at once, for some time, again and again."""
    while True:
        await asyncio.sleep(source.uniform(0.2, 2))
        for link in source.sample(links, source.randint(1, len(links))):
            link.mode = source.choice(modes)
            if LinkMode.RESET in modes and source.random() < RESET_SHARE:
                link.reset()
            soak.record('link', to=link.upstream, mode=link.mode.value)
        await asyncio.sleep(source.uniform(0.1, most_s))
        for link in links:
            link.mode = LinkMode.SOUND


ALL_MODES = (
    LinkMode.SLOW,
    LinkMode.SILENT,
    LinkMode.NO_ANSWERS,
    LinkMode.RESET,
)


async def harm_targets(soak, source):
    """Harm the links to targets."""
    await harm_links(
        soak, soak.links.to_targets, source, modes=ALL_MODES, most_s=3
    )


async def harm_store(soak, source):
    """Harm the links of single routers to the store."""
    await harm_links(
        soak, soak.links.to_store, source, modes=ALL_MODES, most_s=4
    )


async def slow_callers(soak, source):
    """Slow down, or silence, the links of callers."""
    modes = (LinkMode.SLOW, LinkMode.SILENT, LinkMode.NO_ANSWERS)
    await harm_links(soak, soak.links.to_callers, source, modes=modes, most_s=1)
