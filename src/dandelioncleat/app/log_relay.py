"""Reads shared streams through a few routers of each data centre.

Every process needs the configuration and the fleet. A few routers wait at
the log for new entries and the other processes wait at these routers, so
that the log serves a handful of waiting readers instead of the whole fleet.
Entries are relayed unchanged, so each process folds them itself.
"""

import asyncio
from collections.abc import Callable

from dandelioncleat.app.signal import Signal
from dandelioncleat.core.failure import Code, FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import (
    AskEntries,
    Refusal,
    StreamEntries,
    StreamEntry,
)
from dandelioncleat.core.relay import LiveRouter, relay_order, relays_of
from dandelioncleat.core.stream_tail import StreamTail
from dandelioncleat.ports.log import Entry, Log, Page
from dandelioncleat.ports.peer import Peers

RELAY_WAIT_S = 1.5
RELAY_TIMEOUT_S = 2.0
LOG_WAIT_S = 1.5
LOG_TIMEOUT_S = 2.0
AVOID_S = 10.0
NEWER_PEER_INTERVAL_S = 0.25
MAX_ENTRIES_PER_READ = 500

Routers = Callable[[], tuple[LiveRouter, ...]]


class LogRelay:
    """Implements the ``Log`` port over the log itself and the relays.

    Reads that do not wait, as at start-up, and all appends go to the log.
    So does a read that no relay answers. A relay that gets no answer from
    the log in time refuses to answer others, but keeps waiting itself.
    """

    def __init__(
        self,
        *,
        log: Log,
        incarnation: Incarnation,
        data_centre: str,
        peers: Peers,
        streams: tuple[str, ...],
    ) -> None:
        """Take the log, this process's identity and the streams to relay."""
        self.routers: Routers = _no_routers
        self.reads_by_source = {'log': 0, 'relay': 0}
        self._log = log
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._peers = peers
        self._streams_by_name = {name: _Stream() for name in streams}
        self._avoid_until_by_address: dict[str, float] = {}

    async def append(self, stream: str, data: bytes) -> int:
        """Append one entry to the log and return its offset."""
        return await self._log.append(stream, data)

    async def read(
        self,
        stream: str,
        *,
        start: int,
        limit: int = MAX_ENTRIES_PER_READ,
        wait_s: float = 0,
    ) -> Page:
        """Return entries from ``start`` on; wait if there are none yet."""
        shared = self._streams_by_name.get(stream)
        if shared is None:
            return await self._log.read(
                stream,
                start=start,
                limit=limit,
                wait_s=wait_s,
            )
        ask = AskEntries(stream, start, limit, int(wait_s * 1000))
        if wait_s > 0:
            return await self._read_shared(shared, ask)
        return await self._read_log(shared, ask)

    def note_newer_peer(self, stream: str, address: str) -> None:
        """Make a waiting read ask a peer that knows of newer entries."""
        shared = self._streams_by_name[stream]
        now = asyncio.get_running_loop().time()
        if now >= shared.next_notice_at:
            shared.next_notice_at = now + NEWER_PEER_INTERVAL_S
            shared.newer_peer = address
            shared.newer_peer_known.set()

    async def answer(self, ask: AskEntries) -> StreamEntries | Refusal:
        """Answer another process from what this one has read."""
        shared = self._streams_by_name.get(ask.stream)
        if shared is None:
            return self._refuse(f'{ask.stream} is not relayed')
        if shared.is_waiting_at_log and ask.start == shared.tail.end:
            await shared.wait(min(ask.wait_ms / 1000, RELAY_WAIT_S))
        limit = min(ask.limit, MAX_ENTRIES_PER_READ)
        entries = shared.tail.from_offset(ask.start, limit)
        if entries or (shared.is_waiting_at_log and entries is not None):
            return StreamEntries(shared.tail.end, entries)
        return self._refuse(f'{ask.stream} is not being read here')

    async def _read_shared(
        self,
        shared: '_Stream',
        ask: AskEntries,
    ) -> Page:
        read_task = asyncio.ensure_future(self._read_relay_or_log(shared, ask))
        newer_peer_known = asyncio.ensure_future(shared.newer_peer_known.wait())
        try:
            await asyncio.wait(
                (read_task, newer_peer_known),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if read_task.done():
                return read_task.result()
        finally:
            read_task.cancel()
            newer_peer_known.cancel()
        shared.newer_peer_known.clear()
        page = await self._ask(shared.newer_peer, shared, ask)
        return page or await self._read_relay_or_log(shared, ask)

    async def _read_relay_or_log(
        self, shared: '_Stream', ask: AskEntries
    ) -> Page:
        relay = self._relay()
        if relay is not None:
            page = await self._ask(relay.address, shared, ask)
            if page is not None:
                return page
        return await self._read_log(shared, ask)

    async def _read_log(self, shared: '_Stream', ask: AskEntries) -> Page:
        shared.is_waiting_at_log = ask.start == shared.tail.end
        timer = asyncio.get_running_loop().call_later(
            LOG_TIMEOUT_S,
            shared.stop_waiting,
        )
        try:
            page = await self._log.read(
                ask.stream,
                start=ask.start,
                limit=ask.limit,
                wait_s=min(ask.wait_ms / 1000, LOG_WAIT_S),
            )
        except FailureError:
            shared.stop_waiting()
            raise
        finally:
            timer.cancel()
        self.reads_by_source['log'] += 1
        shared.note(ask.start, page.entries)
        shared.is_waiting_at_log = shared.tail.end == page.end
        return page

    async def _ask(
        self,
        address: str,
        shared: '_Stream',
        ask: AskEntries,
    ) -> Page | None:
        shared.is_waiting_at_log = False
        try:
            reply = await self._peers.call(
                address,
                ask,
                timeout_s=RELAY_TIMEOUT_S,
            )
        except FailureError:
            reply = None
        if not isinstance(reply, StreamEntries) or reply.end < ask.start:
            now = asyncio.get_running_loop().time()
            self._avoid_until_by_address[address] = now + AVOID_S
            return None
        self.reads_by_source['relay'] += 1
        entries = tuple(Entry(*entry) for entry in reply.entries)
        shared.note(ask.start, entries)
        return Page(ask.start, reply.end, entries)

    def _relay(self) -> LiveRouter | None:
        relays = relays_of(self._data_centre, self.routers())
        if any(relay.incarnation == self._incarnation for relay in relays):
            return None
        now = asyncio.get_running_loop().time()
        for relay in relay_order(self._incarnation, relays):
            if self._avoid_until_by_address.get(relay.address, 0) <= now:
                return relay
        return None

    def _refuse(self, text: str) -> Refusal:
        return Refusal(Code.NOT_HOME, 'answer', self._incarnation, text)


class _Stream:
    """The newest entries of a stream and the readers that wait for more."""

    def __init__(self) -> None:
        self.tail = StreamTail()
        self.is_waiting_at_log = False
        self.newer_peer_known = asyncio.Event()
        self.newer_peer = ''
        self.next_notice_at: float = 0
        self._changed = Signal()

    def note(self, start: int, entries: tuple[Entry, ...]) -> None:
        self.tail.note(start, (StreamEntry(*entry) for entry in entries))
        if entries:
            self.notify()

    def stop_waiting(self) -> None:
        self.is_waiting_at_log = False
        self.notify()

    def notify(self) -> None:
        self._changed.notify()

    async def wait(self, timeout_s: float) -> None:
        await self._changed.wait(timeout_s)


def _no_routers() -> tuple[LiveRouter, ...]:
    return ()
